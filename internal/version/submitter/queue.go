package submitter

import "time"

// A Queue is the configuration of submissions of one kind.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"` // the service whose runners take the queue's tasks
	// Priority orders the queues; lower values go first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of a task that fails its submission.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Stretch and Target give the objective of a submission: the run time of its
	// longest chain of steps times Stretch, plus Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// NeedsPermits says that an external service decides on which runners a step
	// may run.
	NeedsPermits bool `json:"needsPermits,omitempty"`
}
