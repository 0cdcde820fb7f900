package administrator

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventIntentConfirmed says that an intent confirmed by an operator became durable.
	EventIntentConfirmed recorder.Number = 5100
	// EventIntentCancelled says that the cancellation of an intent became durable.
	EventIntentCancelled recorder.Number = 5101
	// EventConfirmRefused says that the confirmation of a plan failed or was refused.
	EventConfirmRefused recorder.Number = 5102
)
