package journaler

import (
	"context"
	"errors"
	"hash/crc32"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// maxFences bounds the fences that are kept. Each protects against an earlier owner
// that may resume after a pause.
const maxFences = 256

// Snapshot replaces the entries up to a position, a sequence number, by records. The
// records must contain the effect of all those entries and no effect that isn't durable.
// Therefore the caller must take the position and the records while no Append is
// between its commit and its effect on the caller's state. Snapshot returns
// errs.ErrFenced if a later owner has fenced this one. After *errs.UnknownOutcomeError
// the new snapshot may be in force; after other errors the earlier snapshot is.
func (j *Journal) Snapshot(ctx context.Context, position int64, records []*kumquatv1.Record) (err error) {
	defer func() { err = eris.Wrapf(err, "snapshot of %s", j.options.Partition) }()
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	if err := j.reloadUnknownHead(ctx); err != nil {
		return err
	}
	if j.head.head.GetToken() == j.token && j.head.head.GetSequence() == position {
		return nil
	}
	batches, err := encodeBatches(records, maxPartBytes)
	if err != nil {
		return err
	}
	next := &kumquatv1.SnapshotHead{
		Epoch:    int64(j.options.Epoch),
		Sequence: position,
		Token:    j.token,
		Parts:    int32(len(batches)),
	}
	for part, batch := range batches {
		if err := j.writePart(ctx, next, part, batch); err != nil {
			return err
		}
	}
	if err := j.swapHead(ctx, j.head, next); err != nil {
		if errors.Is(err, errs.ErrFenced) {
			j.setFenced()
		}
		j.isHeadUnknown = isUnknown(err)
		return err
	}
	j.mu.Lock()
	j.backlog = int(j.position - position)
	j.backlogBytes = 0
	j.mu.Unlock()
	j.record(EventSnapshot, recorder.Fields{"sequence": itoa(position), "parts": itoa(int64(len(batches)))})
	j.deleteCovered(ctx, next)
	return nil
}

// writePart writes one part of a snapshot. The key contains this writer's token, so
// an existing part is from an earlier attempt of this writer and is overwritten.
func (j *Journal) writePart(ctx context.Context, head *kumquatv1.SnapshotHead, part int, batch []byte) error {
	value, err := proto.Marshal(&kumquatv1.JournalSnapshot{
		Sequence: head.GetSequence(),
		Epoch:    head.GetEpoch(),
		Checksum: crc32.Checksum(batch, castagnoli),
		Batch:    batch,
		Part:     int32(part),
	})
	if err != nil {
		return err
	}
	key := partKey(j.options.Partition, head.GetSequence(), head.GetToken(), part)
	found, err := j.options.Store.Get(ctx, key)
	expected := storer.Revision(0)
	switch {
	case err == nil:
		expected = found.Revision
	case !errors.Is(err, errs.ErrNotFound):
		return err
	}
	_, err = j.options.Store.CompareAndSwap(ctx, storer.Swap{Key: key, Expected: expected, Value: value})
	return err
}

// swapHead replaces the snapshot head, which brings another snapshot into force. If
// the outcome is unknown, it reads the head back. It returns errs.ErrFenced if
// another owner has changed the head.
func (j *Journal) swapHead(ctx context.Context, from headState, to *kumquatv1.SnapshotHead) error {
	value, err := proto.Marshal(to)
	if err != nil {
		return err
	}
	key := headKey(j.options.Partition)
	revision, err := j.options.Store.CompareAndSwap(ctx, storer.Swap{Key: key, Expected: from.revision, Value: value})
	if isUnknown(err) {
		revision, err = j.resolveHead(ctx, from, value)
	}
	if errors.Is(err, errs.ErrConflict) {
		return errs.ErrFenced
	}
	if err != nil {
		return err
	}
	j.head = headState{head: to, revision: revision}
	return nil
}

// resolveHead reads the head back after a write with an unknown outcome, and repeats
// the write if the head is unchanged.
func (j *Journal) resolveHead(ctx context.Context, from headState, value []byte) (storer.Revision, error) {
	key := headKey(j.options.Partition)
	policy := newRetryPolicy()
	for ctx.Err() == nil {
		pauser.Sleep(ctx, policy.NextBackOff())
		found, err := j.options.Store.Get(ctx, key)
		switch {
		case err == nil && string(found.Value) == string(value):
			return found.Revision, nil
		case err == nil && found.Revision != from.revision:
			return 0, errs.ErrConflict
		case err != nil && !errors.Is(err, errs.ErrNotFound):
			continue
		}
		revision, err := j.options.Store.CompareAndSwap(ctx, storer.Swap{Key: key, Expected: from.revision, Value: value})
		if err == nil {
			return revision, nil
		}
	}
	return 0, &errs.UnknownOutcomeError{Op: "replace the snapshot head", Cause: ctx.Err()}
}

// reloadUnknownHead reads the head again if the outcome of its last write stayed
// unknown.
func (j *Journal) reloadUnknownHead(ctx context.Context) error {
	if !j.isHeadUnknown {
		return nil
	}
	found, err := j.readHead(ctx)
	if err != nil {
		return err
	}
	j.head, j.isHeadUnknown = found, false
	return nil
}

// deleteCovered deletes the entries that the snapshot in force covers, except
// fences, and the parts of other snapshots. Failures are ignored, because the next
// snapshot deletes what is left.
func (j *Journal) deleteCovered(ctx context.Context, head *kumquatv1.SnapshotHead) {
	store := j.options.Store
	root := partsRoot(j.options.Partition)
	kept := partsPrefix(j.options.Partition, head.GetSequence(), head.GetToken())
	_ = store.DeleteRange(ctx, root, kept)
	_ = store.DeleteRange(ctx, storer.PrefixEnd(kept), storer.PrefixEnd(root))
	if j.hasEarlierEntries && j.deleteBetweenFences(ctx) {
		j.hasEarlierEntries = false
	}
	last := j.fences[len(j.fences)-1]
	if covered := head.GetSequence(); covered > last {
		_ = store.DeleteRange(ctx, entryKey(j.options.Partition, last+1), entryKey(j.options.Partition, covered+1))
	}
}

// deleteBetweenFences deletes the entries of earlier owners except the newest
// maxFences fences, and reports whether all deletions succeeded.
func (j *Journal) deleteBetweenFences(ctx context.Context) bool {
	kept := j.fences[max(0, len(j.fences)-maxFences):]
	from := int64(0)
	ok := true
	for _, fence := range kept {
		if fence > from {
			err := j.options.Store.DeleteRange(ctx, entryKey(j.options.Partition, from), entryKey(j.options.Partition, fence))
			ok = ok && err == nil
		}
		from = fence + 1
	}
	if ok {
		j.fences = append([]int64(nil), kept...)
	}
	return ok
}
