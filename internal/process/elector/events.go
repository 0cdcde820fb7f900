package elector

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventElected is recorded when this daemon becomes the owner of a part.
	EventElected recorder.Number = 6000
	// EventDeposed is recorded when this daemon stops as the owner because there is
	// another owner, or because it could not confirm its record.
	EventDeposed recorder.Number = 6001
	// EventTermEnded is recorded when the duties of an owner have stopped.
	EventTermEnded recorder.Number = 6002
	// EventStoreFailed is recorded when a call to the store fails.
	EventStoreFailed recorder.Number = 6003
)
