package sharder

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

const (
	// snapshotEntries and snapshotBytes are the sizes of the journal's backlog
	// at which a snapshot replaces it.
	snapshotEntries = 256
	snapshotBytes   = 4 << 20
	// snapshotTimeout bounds one snapshot.
	snapshotTimeout = 30 * time.Second
	// snapshotInterval is the least time between two attempts at a snapshot.
	snapshotInterval = 10 * time.Second
	// flushBackoff is the delay after an append that failed.
	flushBackoff = 200 * time.Millisecond
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// A flusher appends decided changes to the journal, one batch at a time.
type flusher struct {
	// extras are the records for the next append that are not about the state
	// of a task.
	extras []*kumquatv1.Record
	// active is true while an append is in flight.
	active bool
	// next is the number of the append that will carry the changes decided now.
	next int64
	// done is the number of the last append that succeeded. appended is closed
	// and replaced after each successful append.
	done     int64
	appended chan struct{}
	// failing is true from a failed append to the next successful one.
	failing bool
	// notBefore delays the next append after a failure.
	notBefore time.Time
	// snapshotActive is true while a snapshot is being written, and
	// snapshotAfter is the earliest time of the next one.
	snapshotActive bool
	snapshotAfter  time.Time
}

func newFlusher() flusher { return flusher{next: 1, appended: make(chan struct{})} }

// A batch is the content of one append.
type batch struct {
	number int64
	// extras are the records that are not about the state of a task.
	extras []*kumquatv1.Record
	// tasks maps each entry of the batch to the state that is appended.
	tasks map[*entry]lifecycler.Task
	// records are the extras and the records of the tasks.
	records []*kumquatv1.Record
}

// flush starts an append of all decided changes that are not durable yet. The
// lock is held.
func (s *Sharder) flush() {
	f := &s.flusher
	if f.active {
		return
	}
	s.snapshotIfDue()
	if s.options.Now().Before(f.notBefore) || (len(s.table.dirty) == 0 && len(f.extras) == 0) {
		return
	}
	b := s.collect()
	f.active = true
	f.next++
	s.background.Go(func() { s.appendBatch(b) })
}

// collect removes the changes that wait for an append and returns them as a
// batch. The lock is held.
func (s *Sharder) collect() *batch {
	b := &batch{
		number: s.flusher.next,
		extras: s.flusher.extras,
		tasks:  make(map[*entry]lifecycler.Task, len(s.table.dirty)),
	}
	s.flusher.extras = nil
	b.records = append(b.records, b.extras...)
	for id, e := range s.table.dirty {
		delete(s.table.dirty, id)
		if e.isDurable() {
			continue
		}
		b.tasks[e] = e.task
		b.records = append(b.records, s.taskRecord(e, e.task))
	}
	return b
}

// appendBatch appends a batch to the journal. If the append succeeds, the changes of the batch
// are marked as durable. If it fails, they are put back for another append, or the shard's work
// ends if a newer owner has fenced this one off.
func (s *Sharder) appendBatch(b *batch) {
	ctx, cancel := context.WithTimeout(s.baseCtx, appendTimeout)
	defer cancel()
	err := s.journal.Append(ctx, b.records...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flusher.active = false
	if err == nil {
		s.applyDurable(b)
	} else {
		s.returnBatch(b, err)
	}
	s.wake()
}

// applyDurable marks the changes of a batch as durable. The lock is held.
func (s *Sharder) applyDurable(b *batch) {
	f := &s.flusher
	for e, task := range b.tasks {
		e.durable = task
		e.isJournaled = true
	}
	f.done = b.number
	f.failing = false
	close(f.appended)
	f.appended = make(chan struct{})
}

// returnBatch puts a batch back after a failed append, so that it is appended
// again. Its records may be durable all the same; a second append of them
// changes nothing. The lock is held.
func (s *Sharder) returnBatch(b *batch, err error) {
	f := &s.flusher
	if errors.Is(err, errs.ErrFenced) {
		s.supersede()
		return
	}
	f.extras = append(b.extras, f.extras...)
	for e := range b.tasks {
		if s.table.entries[e.task.ID] == e {
			s.table.dirty[e.task.ID] = e
		}
	}
	f.notBefore = s.options.Now().Add(flushBackoff)
	if !f.failing {
		f.failing = true
		s.record(EventJournalDelayed, recorder.Fields{"error": err.Error()})
	}
}

// awaitDurable waits until the append with the given number is durable, and
// with it everything that was decided before. It is called without the lock.
func (s *Sharder) awaitDurable(ctx context.Context, number int64) error {
	for {
		s.mu.Lock()
		done, superseded, appended := s.flusher.done >= number, s.superseded, s.flusher.appended
		s.mu.Unlock()
		switch {
		case done:
			return nil
		case superseded:
			return errs.ErrFenced
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return &errs.UnknownOutcomeError{Op: "journal append", Cause: ctx.Err()}
		case <-s.baseCtx.Done():
			return &errs.UnknownOutcomeError{Op: "journal append", Cause: context.Canceled}
		}
	}
}

// appendNumber returns the number of the append that makes everything durable
// that has been decided so far. The lock is held.
func (s *Sharder) appendNumber() int64 {
	if len(s.table.dirty) == 0 && len(s.flusher.extras) == 0 && !s.flusher.active {
		return s.flusher.done
	}
	if len(s.table.dirty) == 0 && len(s.flusher.extras) == 0 {
		return s.flusher.next - 1
	}
	return s.flusher.next
}

// snapshotIfDue starts a snapshot if the journal's backlog is large. The lock
// is held and no append is in flight.
func (s *Sharder) snapshotIfDue() {
	f := &s.flusher
	now := s.options.Now()
	entries, bytes := s.journal.Backlog()
	if f.snapshotActive || now.Before(f.snapshotAfter) || (entries < snapshotEntries && bytes < snapshotBytes) {
		return
	}
	position := s.journal.Position()
	records := s.snapshotRecords()
	f.snapshotActive = true
	f.snapshotAfter = now.Add(snapshotInterval)
	s.background.Go(func() { s.writeSnapshot(position, records) })
}

// writeSnapshot writes a snapshot. If it fails, the state is still in the
// journal.
func (s *Sharder) writeSnapshot(position int64, records []*kumquatv1.Record) {
	ctx, cancel := context.WithTimeout(s.baseCtx, snapshotTimeout)
	defer cancel()
	err := s.journal.Snapshot(ctx, position, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flusher.snapshotActive = false
	if errors.Is(err, errs.ErrFenced) {
		s.supersede()
	}
}
