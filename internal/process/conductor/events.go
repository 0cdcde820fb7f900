package conductor

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventRunnerSilent is recorded when a look at a runner is not answered.
	EventRunnerSilent recorder.Number = 6200
	// EventRecordUnreadable is recorded when a record of the store can't be
	// read; it is left alone.
	EventRecordUnreadable recorder.Number = 6201
	// EventStoreFailed is recorded when a call to the store has failed.
	EventStoreFailed recorder.Number = 6202
	// EventAdviceFailed is recorded when a question for permits was not
	// answered; it is asked again.
	EventAdviceFailed recorder.Number = 6203
)
