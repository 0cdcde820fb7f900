package journaler

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Events of the journal.
const (
	// EventOpened records that an owner replayed and fenced a partition.
	EventOpened recorder.Number = 2000
	// EventCorrupt records an entry or snapshot part that can't be decoded.
	EventCorrupt recorder.Number = 2001
	// EventFenced records that a later owner has fenced this one.
	EventFenced recorder.Number = 2002
	// EventUnknownResolved records a write whose lost answer was resolved.
	EventUnknownResolved recorder.Number = 2003
	// EventSnapshot records that a snapshot was switched over.
	EventSnapshot recorder.Number = 2004
)
