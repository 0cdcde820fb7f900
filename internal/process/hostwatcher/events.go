package hostwatcher

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventListUnavailable says that the list of hosts can't be read; the last
	// list stays in force.
	EventListUnavailable recorder.Number = 5200
	// EventListAvailable says that the list of hosts is read again.
	EventListAvailable recorder.Number = 5201
)
