package administrator

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventIntentConfirmed says that an operator's intent became durable.
	EventIntentConfirmed recorder.Number = 5100
	// EventIntentCancelled says that an operator's cancellation became durable.
	EventIntentCancelled recorder.Number = 5101
	// EventConfirmRefused says that a confirmation was refused.
	EventConfirmRefused recorder.Number = 5102
)
