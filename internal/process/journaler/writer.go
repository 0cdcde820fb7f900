package journaler

import (
	"context"
	"errors"
	"hash/crc32"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
	// firstRetry and lastRetry bound the pauses while a lost answer is resolved.
	firstRetry = 10 * time.Millisecond
	lastRetry  = time.Second
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func isUnknown(err error) bool {
	var unknown *errs.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// write commits queued chunks, one entry at a time, until the journal closes.
func (j *Journal) write(ctx context.Context) {
	defer close(j.done)
	var last time.Time
	for {
		j.awaitWork(ctx)
		pauser.Sleep(ctx, j.options.CommitInterval-time.Since(last))
		last = time.Now()
		chunks, closing := j.take()
		if len(chunks) == 0 {
			if closing {
				return
			}
			continue
		}
		err := j.commit(ctx, join(chunks))
		j.finish(chunks, err)
	}
}

// awaitWork waits until there is something to commit or the journal closes.
func (j *Journal) awaitWork(ctx context.Context) {
	j.mu.Lock()
	idle := len(j.queue) == 0 && !j.closing
	j.mu.Unlock()
	if !idle {
		return
	}
	select {
	case <-j.wake:
	case <-ctx.Done():
	}
}

// take removes the chunks of the next entry from the queue.
func (j *Journal) take() (chunks []*chunk, closing bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	size := 0
	for len(j.queue) > 0 {
		c := j.queue[0]
		size += len(c.batch)
		if len(chunks) > 0 && size > maxBatchBytes {
			break
		}
		c.taken = true
		chunks = append(chunks, c)
		j.queue = j.queue[1:]
	}
	return chunks, j.closing
}

func join(chunks []*chunk) []byte {
	var batch []byte
	for _, c := range chunks {
		batch = append(batch, c.batch...)
	}
	return batch
}

// finish tells the outcome to the waiting appends. Chunks queued behind a
// failed entry fail with it, so that no later record overtakes an earlier one.
func (j *Journal) finish(chunks []*chunk, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range chunks {
		c.done <- err
	}
	if err == nil {
		return
	}
	behind := err
	if isUnknown(err) {
		behind = &errs.StoreUnavailableError{Op: "append", Cause: errors.New(err.Error())}
	}
	for _, c := range j.queue {
		c.done <- behind
	}
	j.queue = nil
}

// commit creates the next entry and advances the position.
func (j *Journal) commit(ctx context.Context, batch []byte) error {
	next := j.Position() + 1
	value, err := proto.Marshal(&kumquatv1.JournalEntry{
		Sequence: next,
		Epoch:    int64(j.options.Epoch),
		Token:    j.token,
		Checksum: crc32.Checksum(batch, castagnoli),
		Batch:    batch,
	})
	if err != nil {
		return err
	}
	if err := j.create(ctx, entryKey(j.options.Partition, next), value); err != nil {
		if errors.Is(err, errs.ErrFenced) {
			j.setFenced()
		}
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.position = next
	j.backlog++
	j.backlogBytes += int64(len(value))
	return nil
}

// setFenced makes all later appends fail.
func (j *Journal) setFenced() {
	j.mu.Lock()
	already := j.fenced
	j.fenced = true
	j.mu.Unlock()
	if !already {
		j.record(EventFenced, recorder.Fields{})
	}
}

// create creates a key that must not exist. A lost answer is resolved by
// reading the key back; the write is repeated only when the key is absent,
// which is safe because it must not exist. It returns errs.ErrFenced if
// another writer has the key.
func (j *Journal) create(ctx context.Context, key string, value []byte) error {
	policy := newRetryPolicy()
	unknown := false
	for {
		err := j.swapOnce(ctx, key, value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errs.ErrConflict) || isUnknown(err):
			unknown = true
		case !unknown:
			return err
		}
		applied, err := j.readBack(ctx, key)
		if err == nil && applied {
			j.record(EventUnknownResolved, recorder.Fields{"key": key})
			return nil
		}
		if errors.Is(err, errs.ErrFenced) {
			return err
		}
		pauser.Sleep(ctx, policy.NextBackOff())
		if ctx.Err() != nil {
			return &errs.UnknownOutcomeError{Op: "create " + key, Cause: ctx.Err()}
		}
	}
}

// swapOnce sends the write once.
func (j *Journal) swapOnce(ctx context.Context, key string, value []byte) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := j.options.Store.CompareAndSwap(call, storer.Swap{Key: key, Value: value})
	return err
}

// readBack reports whether the key holds this writer's value. It returns
// errs.ErrFenced if it holds another writer's.
func (j *Journal) readBack(ctx context.Context, key string) (applied bool, err error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := j.options.Store.Get(call, key)
	if errors.Is(err, errs.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	entry, err := decodeEntry(key, found.Value)
	if err != nil || entry.GetToken() != j.token {
		return false, errs.ErrFenced
	}
	return true, nil
}

// newRetryPolicy returns jittered pauses without an end.
func newRetryPolicy() *backoff.ExponentialBackOff { return pauser.NewBackoff(firstRetry, lastRetry) }
