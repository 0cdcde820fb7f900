package claimkeeper

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventPartitionOpened is recorded when this daemon starts to handle the claims of a partition.
	EventPartitionOpened recorder.Number = 1300
	// EventPartitionClosed is recorded when this daemon stops handling the claims of a partition.
	EventPartitionClosed recorder.Number = 1301
	// EventOpenFailed is recorded when the journal of a partition could not be opened.
	EventOpenFailed recorder.Number = 1302
	// EventKeysExhausted is recorded when a claim is refused because the partition holds the maximum number of keys.
	EventKeysExhausted recorder.Number = 1303
	// EventClaimNotDurable is recorded when a claim could not be made durable.
	EventClaimNotDurable recorder.Number = 1304
	// EventKeyMismatch is recorded when a claim uses an existing key for a different request.
	EventKeyMismatch recorder.Number = 1305
)
