package daemon

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventStarted says that the daemon listens on all its addresses.
	EventStarted recorder.Number = 5000
	// EventStopping says that a planned stop has begun.
	EventStopping recorder.Number = 5001
	// EventStopped says that a planned stop has ended.
	EventStopped recorder.Number = 5002
	// EventHandoverIncomplete says that partitions could not be handed over
	// in time; successors wait for the lease to lapse.
	EventHandoverIncomplete recorder.Number = 5003
	// EventShardOpenFailed says that the journal of a shard or of claims could
	// not be opened; it is tried again.
	EventShardOpenFailed recorder.Number = 5004
	// EventShardOpened says that the daemon decides on the tasks of a shard.
	EventShardOpened recorder.Number = 5005
	// EventServerFailed says that a listener ended by itself.
	EventServerFailed recorder.Number = 5006
	// EventIntentUnreadable says that a confirmed intent can not be decoded.
	EventIntentUnreadable recorder.Number = 5007
	// EventAdviceRefused says that a shard did not throttle or evict tasks to
	// protect a service.
	EventAdviceRefused recorder.Number = 5008
)
