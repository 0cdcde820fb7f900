package conductor

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventRunnerSilent is recorded when a runner stops answering polls.
	EventRunnerSilent recorder.Number = 6200
	// EventRecordUnreadable is recorded when a stored record can't be decoded or
	// read; it is left as it is.
	EventRecordUnreadable recorder.Number = 6201
	// EventStoreFailed is recorded when a call to the store fails.
	EventStoreFailed recorder.Number = 6202
	// EventAdviceFailed is recorded when a request for permits fails; it is
	// repeated later.
	EventAdviceFailed recorder.Number = 6203
	// EventOrderDelayed is recorded when an order has waited in the daemon for long
	// before it was sent.
	EventOrderDelayed recorder.Number = 6204
	// EventFormerCallRefused is recorded when a restarted runner has refused a call that was
	// meant for its former incarnation.
	EventFormerCallRefused recorder.Number = 6205
	// EventRecordRefused is recorded when the store refuses the progress of a submission for
	// good, so that the submission fails. Level: warn.
	EventRecordRefused recorder.Number = 6206
	// EventMoved is recorded when a submission that can't go on in this part was handed to
	// another one, or could not be.
	EventMoved recorder.Number = 6207
)
