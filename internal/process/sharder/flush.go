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
	// snapshotEntries and snapshotBytes are the backlog that a snapshot replaces.
	snapshotEntries = 256
	snapshotBytes   = 4 << 20
	// snapshotTimeout bounds one snapshot.
	snapshotTimeout = 30 * time.Second
	// snapshotPause is the least time between two attempts at a snapshot.
	snapshotPause = 10 * time.Second
	// flushRetry is the pause after an append that failed.
	flushRetry = 200 * time.Millisecond
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// A flusher carries decided changes to the journal, one append at a time.
type flusher struct {
	// extras are records besides the tasks' that wait for the next append.
	extras []*kumquatv1.Record
	active bool
	// next is the number of the append that will carry what is decided now.
	next int64
	// done is the number of the last append that succeeded; appended is closed
	// and replaced with each.
	done     int64
	appended chan struct{}
	failing  bool
	// notBefore delays the next append after a failure.
	notBefore      time.Time
	snapshotActive bool
	snapshotAfter  time.Time
}

func newFlusher() flusher { return flusher{next: 1, appended: make(chan struct{})} }

// A batch is what one append carries.
type batch struct {
	number  int64
	extras  []*kumquatv1.Record
	tasks   map[*entry]lifecycler.Task
	records []*kumquatv1.Record
}

// flush starts an append of everything that is decided and not durable; the
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

// collect takes what is to be appended; the lock is held.
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
		if e.settled() {
			continue
		}
		b.tasks[e] = e.task
		b.records = append(b.records, s.taskRecord(e, e.task))
	}
	return b
}

// appendBatch makes a batch durable and applies the outcome.
func (s *Sharder) appendBatch(b *batch) {
	ctx, cancel := context.WithTimeout(s.base, appendTimeout)
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

// applyDurable notes that a batch is durable; the lock is held.
func (s *Sharder) applyDurable(b *batch) {
	f := &s.flusher
	for e, task := range b.tasks {
		e.durable = task
		e.known = true
	}
	f.done = b.number
	f.failing = false
	close(f.appended)
	f.appended = make(chan struct{})
}

// returnBatch puts a batch back after a failure. Its records may be durable;
// appending them again has the same effect. The lock is held.
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
	f.notBefore = s.options.Now().Add(flushRetry)
	if !f.failing {
		f.failing = true
		s.record(EventJournalDelayed, recorder.Fields{"error": err.Error()})
	}
}

// awaitDurable waits until everything that was decided before is durable. It
// is called without the lock, with the number of the append to wait for.
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
		case <-s.base.Done():
			return &errs.UnknownOutcomeError{Op: "journal append", Cause: context.Canceled}
		}
	}
}

// appendNumber returns the number of the append that carries what is decided
// now; the lock is held.
func (s *Sharder) appendNumber() int64 {
	if len(s.table.dirty) == 0 && len(s.flusher.extras) == 0 && !s.flusher.active {
		return s.flusher.done
	}
	if len(s.table.dirty) == 0 && len(s.flusher.extras) == 0 {
		return s.flusher.next - 1
	}
	return s.flusher.next
}

// snapshotIfDue starts a snapshot if the backlog is large; the lock is held and
// no append is in flight.
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
	f.snapshotAfter = now.Add(snapshotPause)
	s.background.Go(func() { s.writeSnapshot(position, records) })
}

// writeSnapshot writes a snapshot; the state stays in the journal if it fails.
func (s *Sharder) writeSnapshot(position int64, records []*kumquatv1.Record) {
	ctx, cancel := context.WithTimeout(s.base, snapshotTimeout)
	defer cancel()
	err := s.journal.Snapshot(ctx, position, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flusher.snapshotActive = false
	if errors.Is(err, errs.ErrFenced) {
		s.supersede()
	}
}
