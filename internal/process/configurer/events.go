package configurer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventInForce is recorded when a version of the declarations is in force at this daemon; fields "version", "source".
	EventInForce recorder.Number = 3301
	// EventUnreadable is recorded when a durable version can't be parsed; nothing new starts until a later one can; fields "version", "cause".
	EventUnreadable recorder.Number = 3302
	// EventAccepted is recorded when a change made through this daemon is durable; fields "version", "unconfirmed".
	EventAccepted recorder.Number = 3303
	// EventProofLost is recorded when there is no recent proof that the store holds no newer version.
	EventProofLost recorder.Number = 3304
	// EventProofRegained is recorded when there is recent proof again.
	EventProofRegained recorder.Number = 3305
)
