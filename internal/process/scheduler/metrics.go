package scheduler

import "github.com/kumquatstack/kumquatstack/internal/process/counter"

const (
	// OwnedParts is the status of each part that the daemon owns: runners, processors,
	// awaited runners, and long-running tasks that wait.
	OwnedParts counter.Name = "ownedParts"
)
