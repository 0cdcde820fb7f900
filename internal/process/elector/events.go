package elector

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventElected is recorded when this daemon becomes the owner.
	EventElected recorder.Number = 6000
	// EventDeposed is recorded when another owner has been seen.
	EventDeposed recorder.Number = 6001
	// EventTermEnded is recorded when the duties of an owner have ended.
	EventTermEnded recorder.Number = 6002
	// EventStoreFailed is recorded when a call to the store has failed.
	EventStoreFailed recorder.Number = 6003
)
