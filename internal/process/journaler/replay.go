package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// maxTakeOverAttempts bounds the attempts of a takeover, which is repeated if an
// earlier owner writes during it or the journal is corrupt.
const maxTakeOverAttempts = 8

// errRaced reports that an earlier owner wrote to the journal during a takeover.
var errRaced = errors.New("an earlier owner wrote during the replay")

// A headState is the snapshot head in force and its revision in the store.
type headState struct {
	head     *kumquatv1.SnapshotHead
	revision storer.Revision
}

// takeOver reads the journal and fences earlier owners. It repeats this if an
// earlier owner wrote in the meantime or if the journal looks corrupt, because a
// concurrent snapshot of an earlier owner can delete what is being read.
func (j *Journal) takeOver(ctx context.Context) (records []*kumquatv1.Record, err error) {
	policy := newRetryPolicy()
	for range maxTakeOverAttempts {
		records, err = j.takeOverOnce(ctx)
		if err == nil {
			return records, nil
		}
		var corrupt *CorruptError
		isCorrupt := errors.As(err, &corrupt)
		if !isCorrupt && !errors.Is(err, errRaced) {
			return nil, err
		}
		if isCorrupt {
			j.record(EventCorrupt, recorder.Fields{"key": corrupt.Key, "reason": corrupt.Reason})
		}
		pauser.Sleep(ctx, policy.NextBackOff())
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

// takeOverOnce reads the snapshot and the later entries, then fences earlier owners
// by writing an entry and a snapshot head of this epoch.
func (j *Journal) takeOverOnce(ctx context.Context) ([]*kumquatv1.Record, error) {
	head, err := j.readHead(ctx)
	if err != nil {
		return nil, err
	}
	records, err := j.readSnapshot(ctx, head.head)
	if err != nil {
		return nil, err
	}
	tail, err := j.readEntries(ctx, head.head.GetSequence())
	if err != nil {
		return nil, err
	}
	if err := j.fence(ctx); err != nil {
		return nil, err
	}
	next := proto.CloneOf(head.head)
	next.Epoch = int64(j.options.Epoch)
	if err := j.swapHead(ctx, head, next); err != nil {
		if errors.Is(err, errs.ErrFenced) {
			return nil, errRaced
		}
		return nil, err
	}
	return append(records, tail...), nil
}

// readHead reads the snapshot head. Without one it returns an empty head, which
// names a snapshot without parts.
func (j *Journal) readHead(ctx context.Context) (headState, error) {
	key := headKey(j.options.Partition)
	state := headState{head: &kumquatv1.SnapshotHead{}}
	found, err := j.options.Store.Get(ctx, key)
	if errors.Is(err, errs.ErrNotFound) {
		return state, nil
	}
	if err != nil {
		return state, err
	}
	if err := proto.Unmarshal(found.Value, state.head); err != nil {
		return state, &CorruptError{Key: key, Reason: err.Error()}
	}
	if state.head.GetEpoch() > int64(j.options.Epoch) {
		return state, errs.ErrFenced
	}
	state.revision = found.Revision
	return state, nil
}

// readSnapshot returns the records of the snapshot that a head names.
func (j *Journal) readSnapshot(ctx context.Context, head *kumquatv1.SnapshotHead) ([]*kumquatv1.Record, error) {
	var records []*kumquatv1.Record
	for part := range int(head.GetParts()) {
		key := partKey(j.options.Partition, head.GetSequence(), head.GetToken(), part)
		found, err := j.options.Store.Get(ctx, key)
		if errors.Is(err, errs.ErrNotFound) {
			return nil, &CorruptError{Key: key, Reason: "snapshot part is missing"}
		}
		if err != nil {
			return nil, err
		}
		decoded, err := decodePart(key, found.Value, head.GetSequence(), part)
		if err != nil {
			return nil, err
		}
		records = append(records, decoded...)
	}
	return records, nil
}

// decodePart verifies one part of a snapshot and returns its records.
func decodePart(key string, value []byte, sequence int64, part int) ([]*kumquatv1.Record, error) {
	var snapshot kumquatv1.JournalSnapshot
	if err := proto.Unmarshal(value, &snapshot); err != nil {
		return nil, &CorruptError{Key: key, Reason: err.Error()}
	}
	if snapshot.GetSequence() != sequence || int(snapshot.GetPart()) != part {
		return nil, &CorruptError{Key: key, Reason: "part of another snapshot"}
	}
	records, err := decodeBatch(snapshot.GetBatch(), snapshot.GetChecksum())
	if err != nil {
		return nil, &CorruptError{Key: key, Reason: err.Error()}
	}
	return records, nil
}

// readEntries returns the records of the entries that the snapshot doesn't cover,
// which are those after the sequence number covered, and sets the journal's
// position, backlog and fences. The sequence numbers of these entries must have no
// gap.
func (j *Journal) readEntries(ctx context.Context, covered int64) ([]*kumquatv1.Record, error) {
	listing, err := j.options.Store.List(ctx, entryPrefix(j.options.Partition))
	if err != nil {
		return nil, err
	}
	position, backlog, size := covered, 0, int64(0)
	var records []*kumquatv1.Record
	var fences []int64
	hasEarlierEntries := false
	for _, found := range listing.Entries {
		entry, err := decodeEntry(found.Key, found.Value)
		if err != nil {
			return nil, err
		}
		if entry.GetEpoch() > int64(j.options.Epoch) {
			return nil, errs.ErrFenced
		}
		if len(entry.GetBatch()) == 0 {
			fences = append(fences, entry.GetSequence())
		}
		if entry.GetSequence() <= covered {
			hasEarlierEntries = hasEarlierEntries || len(entry.GetBatch()) > 0
			continue
		}
		if entry.GetSequence() != position+1 {
			reason := fmt.Sprintf("sequence %d follows %d", entry.GetSequence(), position)
			return nil, &CorruptError{Key: found.Key, Reason: reason}
		}
		decoded, err := decodeBatch(entry.GetBatch(), entry.GetChecksum())
		if err != nil {
			return nil, &CorruptError{Key: found.Key, Reason: err.Error()}
		}
		records = append(records, decoded...)
		position++
		backlog++
		size += int64(len(found.Value))
	}
	slices.Sort(fences)
	j.fences, j.hasEarlierEntries = fences, hasEarlierEntries || backlog > 0
	j.mu.Lock()
	defer j.mu.Unlock()
	j.position, j.backlog, j.backlogBytes = position, backlog, size
	return records, nil
}

// fence writes an empty entry of this epoch at the sequence number that the old
// owner would use next. It returns errRaced if the old owner has used that number.
func (j *Journal) fence(ctx context.Context) error {
	err := j.commit(ctx, nil)
	if errors.Is(err, errs.ErrFenced) {
		j.mu.Lock()
		j.fenced = false
		j.mu.Unlock()
		return errRaced
	}
	if err != nil {
		return err
	}
	j.fences = append(j.fences, j.Position())
	return nil
}
