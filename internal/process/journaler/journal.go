// Package journaler keeps the journal of one partition in the store: a sequence of
// group-committed entries, and snapshots that bound the length of the replay.
//
// The key of an entry is its sequence number, and the key must not exist when the
// entry is written. A new owner first writes an entry of its own epoch, the fence,
// at the sequence number that the old owner would use next; the old owner's next
// write then fails. Fences are kept when a snapshot deletes the entries that it
// covers, so that an old owner can't reuse the fences' sequence numbers.
//
// A snapshot is stored in parts under keys of their own. A separate key, the
// snapshot head, names the snapshot in force and the epoch of the owner that wrote
// the head.
package journaler

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// closeTimeout bounds how long Close waits for queued appends to become durable.
const closeTimeout = 2 * time.Second

// Options configure a journal.
type Options struct {
	Store     storer.Store
	Partition owner.Partition
	Epoch     owner.Epoch
	Recorder  recorder.Recorder
	Now       func() time.Time
	// CommitInterval is the minimum time between the starts of two commits.
	CommitInterval time.Duration
}

// A Journal is the write-ahead log of one partition, opened by the partition's
// owner. It is safe for concurrent use.
type Journal struct {
	options Options
	// token is a random text that marks the entries and snapshots of this Journal.
	token  string
	cancel context.CancelFunc
	// done is closed when the writer has ended.
	done chan struct{}

	// snapshotMu is locked before mu. Once the journal is open, it guards the fields
	// up to hasEarlierEntries.
	snapshotMu sync.Mutex
	head       headState
	// isHeadUnknown is true after a write of the head whose outcome is unknown.
	isHeadUnknown bool
	// fences holds the sequence numbers of the entries that begin an epoch, in
	// ascending order.
	fences []int64
	// hasEarlierEntries is true while the store may hold entries of earlier
	// owners that are not fences; the next snapshot deletes them.
	hasEarlierEntries bool

	mu      sync.Mutex
	queue   []*chunk
	wake    chan struct{}
	closing bool
	// fenced is true once a later owner is known to have fenced this one.
	fenced bool
	// position is the sequence number of the last durable entry.
	position int64
	// backlog and backlogBytes are the number and the total size of the entries that
	// the last snapshot doesn't cover.
	backlog      int
	backlogBytes int64
}

// A chunk is an encoded batch of records in the queue of the writer.
type chunk struct {
	batch []byte
	taken bool       // removed from the queue for a commit
	done  chan error // receives the outcome of the commit
}

// Open replays the partition's journal through apply and fences earlier owners. It
// returns errs.ErrFenced if the journal holds a later epoch, and *CorruptError if
// an entry or a snapshot can't be decoded. It calls apply only after everything has
// been read and fenced.
func Open(ctx context.Context, options Options, apply func(*kumquatv1.Record)) (j *Journal, err error) {
	defer func() { err = eris.Wrapf(err, "open the journal of %s", options.Partition) }()
	if options.Recorder == nil {
		options.Recorder = recorder.Discard{}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	j = &Journal{
		options: options,
		token:   rand.Text(),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	records, err := j.takeOver(ctx)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		apply(record)
	}
	j.record(EventOpened, recorder.Fields{"records": itoa(int64(len(records))), "sequence": itoa(j.position)})
	var background context.Context
	background, j.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go j.write(background)
	return j, nil
}

// Append makes records durable, if possible in one entry with the records of
// concurrent calls. The records are not durable after errs.ErrFenced and
// *errs.StoreUnavailableError. After *errs.UnknownOutcomeError they may be durable,
// or may become durable, but only before the records of any later Append. Records
// that exceed one entry may be durable in part after an unknown outcome.
func (j *Journal) Append(ctx context.Context, records ...*kumquatv1.Record) (err error) {
	defer func() { err = eris.Wrapf(err, "append to the journal of %s", j.options.Partition) }()
	batches, err := encodeBatches(records, maxBatchBytes)
	if err != nil {
		return err
	}
	chunks := make([]*chunk, len(batches))
	for i, batch := range batches {
		chunks[i] = &chunk{batch: batch, done: make(chan error, 1)}
	}
	if err := j.enqueue(chunks); err != nil {
		return err
	}
	return j.await(ctx, chunks)
}

// enqueue adds chunks to the queue of the writer.
func (j *Journal) enqueue(chunks []*chunk) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.fenced {
		return errs.ErrFenced
	}
	if j.closing {
		return &errs.StoreUnavailableError{Op: "append", Cause: context.Canceled}
	}
	j.queue = append(j.queue, chunks...)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// await waits for the outcomes of all chunks and combines them into one error.
func (j *Journal) await(ctx context.Context, chunks []*chunk) error {
	var failure error
	durable := 0
	for _, c := range chunks {
		err := j.awaitOne(ctx, c)
		switch {
		case err == nil:
			durable++
		case failure == nil || isUnknown(err):
			failure = err
		}
	}
	if failure == nil || durable == 0 || isUnknown(failure) {
		return failure
	}
	return &errs.UnknownOutcomeError{Op: "a partly durable append", Cause: errors.New(failure.Error())}
}

// awaitOne waits for the outcome of one chunk. If the context ends while the chunk
// is still in the queue, the chunk is withdrawn and thus not durable.
func (j *Journal) awaitOne(ctx context.Context, c *chunk) error {
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	default:
	}
	if c.taken {
		return &errs.UnknownOutcomeError{Op: "append", Cause: ctx.Err()}
	}
	j.withdraw(c)
	return &errs.StoreUnavailableError{Op: "append", Cause: ctx.Err()}
}

// withdraw removes a chunk from the queue. The caller holds mu.
func (j *Journal) withdraw(c *chunk) {
	for i, queued := range j.queue {
		if queued == c {
			j.queue = append(j.queue[:i:i], j.queue[i+1:]...)
			return
		}
	}
}

// Position returns the sequence number of the last durable entry.
func (j *Journal) Position() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.position
}

// Backlog returns the number and the total size of the entries that the last
// snapshot doesn't cover.
func (j *Journal) Backlog() (entries int, bytes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.backlog, j.backlogBytes
}

// Close stops the journal and waits for its writer to end. Queued appends become
// durable if the store answers within closeTimeout; the others fail.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	timer := time.AfterFunc(closeTimeout, j.cancel)
	<-j.done
	timer.Stop()
	j.cancel()
	return nil
}

// record records an event with the partition and the epoch.
func (j *Journal) record(number recorder.Number, fields recorder.Fields) {
	fields["partition"] = string(j.options.Partition)
	fields["epoch"] = itoa(int64(j.options.Epoch))
	j.options.Recorder.Record(j.options.Now(), number, fields)
}
