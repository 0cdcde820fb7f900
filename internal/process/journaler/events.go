package journaler

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Events of the journal.
const (
	// EventOpened records that an owner replayed a partition's journal and fenced earlier owners.
	EventOpened recorder.Number = 2000
	// EventCorrupt records an entry or snapshot part that can't be decoded.
	EventCorrupt recorder.Number = 2001
	// EventFenced records that a later owner has fenced this owner.
	EventFenced recorder.Number = 2002
	// EventUnknownResolved records a write that was found to be applied after its response was lost.
	EventUnknownResolved recorder.Number = 2003
	// EventSnapshot records that a new snapshot came into force.
	EventSnapshot recorder.Number = 2004
)
