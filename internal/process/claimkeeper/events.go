package claimkeeper

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventPartitionOpened is recorded when this daemon starts to decide on the keys of a partition.
	EventPartitionOpened recorder.Number = 1300
	// EventPartitionClosed is recorded when this daemon no longer decides on the keys of a partition.
	EventPartitionClosed recorder.Number = 1301
	// EventOpenFailed is recorded when the journal of a partition could not be opened.
	EventOpenFailed recorder.Number = 1302
	// EventKeysExhausted is recorded when a claim is refused because a partition holds its most keys.
	EventKeysExhausted recorder.Number = 1303
	// EventClaimNotDurable is recorded when a claim could not be made durable.
	EventClaimNotDurable recorder.Number = 1304
	// EventKeyMismatch is recorded when a key is used with a different request.
	EventKeyMismatch recorder.Number = 1305
)
