// Package journaler keeps the journal of one partition in the store: a
// sequence of group-committed entries and snapshots that bound its replay.
//
// An entry is created under its sequence number with "must not exist". A new
// owner creates an entry of its own epoch first, at the number the old owner
// would use next, which fences the old owner. Entries that begin an epoch are
// kept when others are deleted, so that the number stays taken.
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

// closeGrace bounds how long Close waits for queued appends to become durable.
const closeGrace = 2 * time.Second

// Options configure a journal.
type Options struct {
	Store     storer.Store
	Partition owner.Partition
	Epoch     owner.Epoch
	Recorder  recorder.Recorder
	Now       func() time.Time
	// CommitInterval is the least time between the starts of two commits.
	CommitInterval time.Duration
}

// A Journal is the durable log of one partition, opened by its owner. It is
// safe for concurrent use.
type Journal struct {
	options Options
	token   string
	cancel  context.CancelFunc
	done    chan struct{}

	// snapshotMu is locked before mu.
	snapshotMu sync.Mutex
	head       headState
	// headUnresolved is true after a switch whose outcome is unknown.
	headUnresolved bool
	// fences are the sequence numbers of the entries that begin an epoch.
	fences []int64
	// leftovers is true while entries of earlier owners may be covered.
	leftovers bool

	mu           sync.Mutex
	queue        []*chunk
	wake         chan struct{}
	closing      bool
	fenced       bool
	position     int64
	backlog      int
	backlogBytes int64
}

// A chunk is a batch of records that waits for its commit.
type chunk struct {
	batch []byte
	taken bool
	done  chan error
}

// Open replays the partition's journal through apply and fences earlier
// owners. It returns errs.ErrFenced if a later epoch is found and a
// *CorruptError if the journal can't be trusted. Apply is called only once
// everything has been read and fenced.
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

// Append makes records durable, together with those of concurrent calls. Its
// error is nil (durable), errs.ErrFenced or *errs.StoreUnavailableError
// (without effect), or *errs.UnknownOutcomeError: the records may be durable
// or may become so before those of any later Append. Records that exceed one
// entry may be durable in part after an unknown outcome.
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

// enqueue hands chunks to the writer.
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

// await waits for the outcome of all chunks and joins it into one.
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
	return &errs.UnknownOutcomeError{Op: "append in part", Cause: errors.New(failure.Error())}
}

// awaitOne waits for one chunk. A chunk that the writer has not taken when the
// context ends is withdrawn.
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

// withdraw removes a chunk from the queue; mu is held.
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

// Backlog returns the number of entries and bytes that the last snapshot
// doesn't cover.
func (j *Journal) Backlog() (entries int, bytes int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.backlog, j.backlogBytes
}

// Close makes queued appends durable if the store answers in time, fails the
// rest, and waits for the writer to end.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	grace := time.AfterFunc(closeGrace, j.cancel)
	<-j.done
	grace.Stop()
	j.cancel()
	return nil
}

// record records an event of the partition.
func (j *Journal) record(number recorder.Number, fields recorder.Fields) {
	fields["partition"] = string(j.options.Partition)
	fields["epoch"] = itoa(int64(j.options.Epoch))
	j.options.Recorder.Record(j.options.Now(), number, fields)
}
