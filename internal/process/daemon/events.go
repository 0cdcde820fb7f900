package daemon

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventStarted is recorded when the daemon listens on all its addresses.
	EventStarted recorder.Number = 5000
	// EventStopping is recorded when a graceful shutdown begins.
	EventStopping recorder.Number = 5001
	// EventStopped is recorded when a graceful shutdown ends.
	EventStopped recorder.Number = 5002
	// EventHandoverIncomplete is recorded when partitions could not be handed over
	// in time; successors wait until the lease has expired.
	EventHandoverIncomplete recorder.Number = 5003
	// EventShardOpenFailed is recorded when the journal of a shard could
	// not be opened; the daemon retries.
	EventShardOpenFailed recorder.Number = 5004
	// EventShardOpened is recorded when the daemon has opened a shard and starts to schedule its
	// tasks.
	EventShardOpened recorder.Number = 5005
	// EventServerFailed is recorded when a listener fails before it is shut down.
	EventServerFailed recorder.Number = 5006
	// EventIntentUnreadable is recorded when a confirmed intent can't be decoded.
	EventIntentUnreadable recorder.Number = 5007
	// EventAdviceRefused is recorded when a shard did not throttle or evict tasks
	// as it was advised to in order to protect a service.
	EventAdviceRefused recorder.Number = 5008
)
