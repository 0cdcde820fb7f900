package gateway

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventAccepted is recorded when a submission has been stored.
	EventAccepted recorder.Number = 6300
	// EventRejected is recorded when a submission is rejected: it is not stored and
	// never runs.
	EventRejected recorder.Number = 6301
	// EventOutcomeUnknown is recorded when it is unknown whether a submission has been
	// stored.
	EventOutcomeUnknown recorder.Number = 6302
	// EventCancelled is recorded when a client has requested a cancellation.
	EventCancelled recorder.Number = 6303
	// EventReportFailed is recorded when a submission or a cancellation could not be
	// reported to the owner, which then finds it in the store.
	EventReportFailed recorder.Number = 6304
)
