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
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the back-off delays between retries.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func isUnknown(err error) bool {
	var unknown *errs.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// write commits queued chunks until the journal closes. It waits for the outcome of
// an entry before it writes the next one.
func (j *Journal) write(ctx context.Context) {
	defer close(j.done)
	var last time.Time
	for {
		j.awaitWork(ctx)
		pauser.Sleep(ctx, j.options.CommitInterval-time.Since(last))
		last = time.Now()
		chunks, closing := j.dequeue()
		if len(chunks) == 0 {
			if closing {
				return
			}
			continue
		}
		err := j.commit(ctx, concat(chunks))
		j.finish(chunks, err)
	}
}

// awaitWork waits until the queue has a chunk or the journal closes.
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

// dequeue removes the chunks of the next entry from the queue.
func (j *Journal) dequeue() (chunks []*chunk, closing bool) {
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

// concat concatenates the encoded batches of chunks.
func concat(chunks []*chunk) []byte {
	var batch []byte
	for _, c := range chunks {
		batch = append(batch, c.batch...)
	}
	return batch
}

// finish reports the outcome of an entry to the waiting appends. If it is an error,
// the queued chunks fail too, so that no later record becomes durable before an
// earlier one.
func (j *Journal) finish(chunks []*chunk, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range chunks {
		c.done <- err
	}
	if err == nil {
		return
	}
	queuedErr := err
	if isUnknown(err) {
		queuedErr = &errs.StoreUnavailableError{Op: "append", Cause: errors.New(err.Error())}
	}
	for _, c := range j.queue {
		c.done <- queuedErr
	}
	j.queue = nil
}

// commit writes a batch as the next entry and advances the position.
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

// setFenced makes all later appends fail with errs.ErrFenced.
func (j *Journal) setFenced() {
	j.mu.Lock()
	wasFenced := j.fenced
	j.fenced = true
	j.mu.Unlock()
	if !wasFenced {
		j.record(EventFenced, recorder.Fields{})
	}
}

// create writes a key that must not exist. If the outcome of the write is unknown,
// it reads the key back and repeats the write only if the key is absent. The
// repetition is safe, because at most one of the writes can create the key. It
// returns errs.ErrFenced if another writer has created the key.
func (j *Journal) create(ctx context.Context, key string, value []byte) error {
	policy := newRetryPolicy()
	isUnresolved := false
	for {
		err := j.tryCreate(ctx, key, value)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errs.ErrConflict) || isUnknown(err):
			isUnresolved = true
		case !isUnresolved:
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

// tryCreate sends the write of a new key once.
func (j *Journal) tryCreate(ctx context.Context, key string, value []byte) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := j.options.Store.CompareAndSwap(call, storer.Swap{Key: key, Value: value})
	return err
}

// readBack reports whether the key holds this writer's entry. It returns
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

// newRetryPolicy returns jittered back-off delays without a limit on their number.
func newRetryPolicy() *backoff.ExponentialBackOff { return pauser.NewBackoff(minBackoff, maxBackoff) }
