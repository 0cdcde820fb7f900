package hostwatcher

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventListUnavailable is recorded when the list of hosts can't be read any more;
	// the last list stays in force.
	EventListUnavailable recorder.Number = 5200
	// EventListAvailable is recorded when the list of hosts can be read again.
	EventListAvailable recorder.Number = 5201
)
