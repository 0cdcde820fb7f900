package configurer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventInForce is recorded when a version of the declarations comes into force at this daemon; fields "version", "source".
	EventInForce recorder.Number = 3301
	// EventUnreadable is recorded when a durable version can't be parsed; no tasks start until a later version can be; fields "version", "cause".
	EventUnreadable recorder.Number = 3302
	// EventAccepted is recorded when a change made through this daemon is durable; fields "version", "unconfirmed".
	EventAccepted recorder.Number = 3303
	// EventProofLost is recorded when the last proof that the store holds no newer version is too old for tasks to start.
	EventProofLost recorder.Number = 3304
	// EventProofRegained is recorded when there is a recent proof again that the store holds no newer version.
	EventProofRegained recorder.Number = 3305
)
