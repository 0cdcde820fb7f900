package slotter

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventRunnerEjected is recorded when a runner gets no requests for a while because it failed.
	EventRunnerEjected recorder.Number = 1200
	// EventRunnerReturned is recorded when an ejected runner answered again.
	EventRunnerReturned recorder.Number = 1201
	// EventRunnerLeaving is recorded when a runner announced that it is leaving.
	EventRunnerLeaving recorder.Number = 1202
	// EventQueueFull is recorded when a request is refused because the queue is full.
	EventQueueFull recorder.Number = 1203
	// EventWaitTooLong is recorded when a request is refused because its expected wait exceeds its deadline.
	EventWaitTooLong recorder.Number = 1204
	// EventPartitionDrained is recorded when no request uses the runners of a partition any more.
	EventPartitionDrained recorder.Number = 1205
)
