package owner

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventAcquired is recorded when this daemon becomes the owner of a partition; fields "partition", "epoch", "clean".
	EventAcquired recorder.Number = 3201
	// EventReleased is recorded when this daemon has given up a partition; fields "partition", "epoch", "reason".
	EventReleased recorder.Number = 3202
	// EventRenewed is recorded when this daemon keeps a partition under a new incarnation of the same process; fields "partition", "epoch".
	EventRenewed recorder.Number = 3203
	// EventTakeover is recorded when this daemon replaces an owner that is no longer registered; fields "partition", "daemon", "incarnation".
	EventTakeover recorder.Number = 3204
	// EventAcquireFailed is recorded when an attempt to acquire, renew or release a partition fails; fields "partition", "cause".
	EventAcquireFailed recorder.Number = 3205
)
