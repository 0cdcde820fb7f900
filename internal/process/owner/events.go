package owner

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventAcquired is recorded when this daemon becomes the owner of a partition; fields "partition", "epoch", "clean".
	EventAcquired recorder.Number = 3201
	// EventReleased is recorded when this daemon gave a partition up; fields "partition", "epoch", "reason".
	EventReleased recorder.Number = 3202
	// EventRenewed is recorded when a partition was carried over to a new incarnation of the same process; fields "partition", "epoch".
	EventRenewed recorder.Number = 3203
	// EventTakeover is recorded when this daemon replaces an owner that is gone; fields "partition", "daemon", "incarnation".
	EventTakeover recorder.Number = 3204
	// EventAcquireFailed is recorded when a change of an owner record failed; fields "partition", "cause".
	EventAcquireFailed recorder.Number = 3205
)
