package scheduler

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventDeclared is recorded when a new version of the configuration takes effect.
	EventDeclared recorder.Number = 6400
	// EventLoadFailed is recorded when a new owner can't load the stored records.
	EventLoadFailed recorder.Number = 6401
	// EventServing is recorded when a new owner has loaded the records and serves.
	EventServing recorder.Number = 6402
	// EventPeersFailed is recorded when the server for other daemons fails.
	EventPeersFailed recorder.Number = 6403
	// EventSplit is recorded when this daemon has set the number of parts.
	EventSplit recorder.Number = 6404
	// EventSplitFailed is recorded when the split, which gives the number of parts,
	// can't be read or written.
	EventSplitFailed recorder.Number = 6405
)
