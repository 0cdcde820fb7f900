package gateway

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventAccepted is recorded when a submission is stored.
	EventAccepted recorder.Number = 6300
	// EventRejected is recorded when a submission is turned away for good.
	EventRejected recorder.Number = 6301
	// EventOutcomeUnknown is recorded when it can't be told whether a
	// submission is stored.
	EventOutcomeUnknown recorder.Number = 6302
	// EventCancelled is recorded when a cancellation was asked for.
	EventCancelled recorder.Number = 6303
	// EventReportFailed is recorded when the owner could not be told of a
	// submission or a cancellation; it finds it in the store.
	EventReportFailed recorder.Number = 6304
)
