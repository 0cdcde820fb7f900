package journaler

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	journalRoot  = "/kumquat/v1/journal/"
	snapshotRoot = "/kumquat/v1/snapshots/"
	// maxBatchBytes bounds the encoded records of one entry.
	maxBatchBytes = 512 << 10
	// maxPartBytes bounds the encoded records of one snapshot part.
	maxPartBytes = 768 << 10
)

// castagnoli is the CRC-32 table of all checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A CorruptError reports an entry, a snapshot part or a snapshot head that can't be
// decoded, or an entry or part that is missing. Replay fails with it because the
// records that follow can't be trusted.
type CorruptError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal key %s is corrupt: %s", e.Key, e.Reason)
}

// entryPrefix returns the common prefix of the keys of a partition's entries.
func entryPrefix(partition owner.Partition) string { return journalRoot + string(partition) + "/" }

// entryKey returns the key of an entry. Keys sort in the order of the sequence
// numbers.
func entryKey(partition owner.Partition, sequence int64) string {
	return fmt.Sprintf("%s%016x", entryPrefix(partition), sequence)
}

// snapshotPrefix returns the common prefix of the keys of a partition's snapshots.
func snapshotPrefix(partition owner.Partition) string {
	return snapshotRoot + string(partition) + "/"
}

// headKey returns the key of the snapshot head, which names the snapshot in force.
func headKey(partition owner.Partition) string { return snapshotPrefix(partition) + "head" }

// partsRoot returns the common prefix of the parts of all snapshots.
func partsRoot(partition owner.Partition) string { return snapshotPrefix(partition) + "parts/" }

// partsPrefix returns the common prefix of the parts of one snapshot.
func partsPrefix(partition owner.Partition, sequence int64, token string) string {
	return fmt.Sprintf("%s%016x-%s/", partsRoot(partition), sequence, token)
}

// partKey returns the key of one part of a snapshot.
func partKey(partition owner.Partition, sequence int64, token string, part int) string {
	return fmt.Sprintf("%s%06d", partsPrefix(partition, sequence, token), part)
}

// sequenceOf returns the sequence number in an entry's key.
func sequenceOf(key string) (int64, error) {
	return strconv.ParseInt(key[strings.LastIndexByte(key, '/')+1:], 16, 64)
}

// encodeBatches encodes records into batches of at most limit bytes. Encoded
// batches can be merged by concatenation.
func encodeBatches(records []*kumquatv1.Record, limit int) ([][]byte, error) {
	var batches [][]byte
	var current []byte
	for _, record := range records {
		encoded, err := proto.Marshal(&kumquatv1.RecordBatch{Records: []*kumquatv1.Record{record}})
		if err != nil {
			return nil, err
		}
		if len(encoded) > limit {
			return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(encoded), limit)
		}
		if len(current)+len(encoded) > limit {
			batches = append(batches, current)
			current = nil
		}
		current = append(current, encoded...)
	}
	if len(current) > 0 {
		batches = append(batches, current)
	}
	return batches, nil
}

// decodeBatch verifies the checksum of an encoded batch and returns its records.
func decodeBatch(batch []byte, checksum uint32) ([]*kumquatv1.Record, error) {
	if got := crc32.Checksum(batch, castagnoli); got != checksum {
		return nil, fmt.Errorf("checksum %08x, want %08x", got, checksum)
	}
	var decoded kumquatv1.RecordBatch
	if err := proto.Unmarshal(batch, &decoded); err != nil {
		return nil, err
	}
	return decoded.GetRecords(), nil
}

// decodeEntry decodes an entry and verifies that it belongs to its key.
func decodeEntry(key string, value []byte) (*kumquatv1.JournalEntry, error) {
	sequence, err := sequenceOf(key)
	if err != nil {
		return nil, &CorruptError{Key: key, Reason: "key has no sequence number"}
	}
	entry := &kumquatv1.JournalEntry{}
	if err := proto.Unmarshal(value, entry); err != nil {
		return nil, &CorruptError{Key: key, Reason: err.Error()}
	}
	if entry.GetSequence() != sequence || entry.GetEpoch() == 0 || entry.GetToken() == "" {
		return nil, &CorruptError{Key: key, Reason: "incomplete entry or wrong sequence number"}
	}
	return entry, nil
}
