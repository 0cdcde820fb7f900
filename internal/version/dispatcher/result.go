package dispatcher

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Succeeded says that the runner has done what was asked.
	Succeeded Outcome = iota
	// Unanswered says that the order may be carried out now or later.
	Unanswered
	// NotSent says that no byte of the order left.
	NotSent
	// Unhealthy says that the runner has done nothing as it is unwell.
	Unhealthy
	// NoRoom says that the task does not fit.
	NoRoom
	// TooLate says that the lease would have ended before the start.
	TooLate
	// Superseded says that this run or a higher one has ended there.
	Superseded
	// OtherLifetime says that the runner has been restarted.
	OtherLifetime
	// Invalid says that the runner does not understand the order.
	Invalid
	// NotPermitted says that the permit does not hold.
	NotPermitted
	// Fenced says that the runner obeys another owner.
	Fenced
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{
		"carried", "unanswered", "notSent", "unhealthy", "noRoom", "tooLate",
		"superseded", "otherLifetime", "invalid", "notPermitted", "fenced",
	}[o]
}

// pauseUnwell is how long a runner that refused or broke an order gets none.
const pauseUnwell = 500 * time.Millisecond

// Started takes in the outcome of a start. The lifetime is that of the runner
// that answered, or zero.
func (t *Table) Started(o Order, outcome Outcome, lifetime int64, now time.Time) {
	x := t.find(o)
	if x == nil {
		return
	}
	if r := x.runner; lifetime > r.info.Lifetime {
		t.reborn(r, lifetime, now) // the start is now one that has to be stopped
		return
	}
	if outcome == Succeeded {
		x.known = true
		if x.phase == starting {
			x.phase, x.confirmed, x.movedAt = running, now, now
		}
		return
	}
	t.record(now, EventStartRefused, x.st.s, o.Runner, "task", o.Task.String(), "outcome", outcome.String())
	switch outcome {
	case Unanswered:
		// The order may still be carried out: only a stop, the runner's list or
		// the end of the lease settles where the task is.
		t.suspend(x.runner, now)
		t.stop(x, now, "start was not answered")
	case NotSent, Unhealthy, NoRoom, TooLate, OtherLifetime, Invalid, NotPermitted:
		if x.phase == starting {
			delete(x.st.permits, o.Runner)
			if outcome != TooLate && outcome != NotPermitted {
				t.suspend(x.runner, now)
			}
			x.task().nextRun = x.number + 1
			t.end(x, now, "start: "+outcome.String())
		}
	case Superseded:
		t.end(x, now, "start: superseded")
	default:
	}
}

// Stopped takes in the outcome of a stop. The run's end is taken from the
// runner's list; a run that never began is settled by the answer.
func (t *Table) Stopped(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil {
		return
	}
	switch outcome {
	case Succeeded:
		x.known = true
		if x.stoppedAt.IsZero() {
			x.stoppedAt = now
		}
	case OtherLifetime:
		t.end(x, now, "stop: otherLifetime")
	default:
		// Repeated in time.
	}
}

func (t *Table) suspend(r *runner, now time.Time) {
	if until := now.Add(pauseUnwell); until.After(r.suspendedUntil) {
		r.suspendedUntil = until
	}
}

func (t *Table) find(o Order) *run {
	r, ok := t.runners[o.Runner]
	if !ok {
		return nil
	}
	return r.runs[runKey{o.Task, o.Run}]
}

// PollFailed takes note that a look at a runner was not answered, and whether the
// runner had closed its connection or its port. It reports whether it was the
// first one.
func (t *Table) PollFailed(id string, closed bool, now time.Time) bool {
	r, ok := t.runners[id]
	if !ok {
		return false
	}
	r.closed = closed
	t.leave(r, now)
	if !r.silentSince.IsZero() {
		return false
	}
	r.silentSince = now
	return true
}

// A Record is progress to be made durable.
type Record struct {
	ID       string
	Progress *submitter.Progress
	Version  int64
}

// touch marks a submission's progress as changed.
func (t *Table) touch(s *submission) {
	s.version++
	if !s.isDirty {
		s.isDirty = true
		t.dirty = append(t.dirty, s)
	}
}

// Unsaved returns up to limit records to be written, oldest change first.
func (t *Table) Unsaved(limit int) []Record {
	n := min(limit, len(t.dirty))
	records := make([]Record, 0, n)
	for _, s := range t.dirty[:n] {
		s.isDirty = false
		records = append(records, Record{ID: s.sub.ID, Progress: s.progress(), Version: s.version})
	}
	t.dirty = append(t.dirty[:0], t.dirty[n:]...)
	return records
}

// Saved takes note that records are durable.
func (t *Table) Saved(records []Record) {
	for _, rec := range records {
		s, ok := t.subs[rec.ID]
		if !ok {
			continue
		}
		s.saved = max(s.saved, rec.Version)
		if rec.Progress.State.IsFinal() {
			s.shown = rec.Progress.State
			s.occs = nil
		}
	}
}

// SaveFailed takes note that records could not be written.
func (t *Table) SaveFailed(records []Record) {
	for _, rec := range records {
		if s, ok := t.subs[rec.ID]; ok && !s.isDirty {
			s.isDirty = true
			t.dirty = append(t.dirty, s)
		}
	}
}

// progress returns what has to be durable of a submission.
func (s *submission) progress() *submitter.Progress {
	p := &submitter.Progress{}
	if s.state.IsFinal() {
		p.State = s.state
		return p
	}
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			if noted, any := st.progress(); any {
				p.Steps = append(p.Steps, noted)
			}
		}
	}
	return p
}

func (st *stepState) progress() (p submitter.StepProgress, any bool) {
	p = submitter.StepProgress{Occurrence: st.occ.index, Step: st.index}
	for i := range st.tasks {
		k := &st.tasks[i]
		if k.done {
			p.SetDone(i)
			any = true
		}
		if len(k.failures) > 0 {
			if p.Failures == nil {
				p.Failures = make(map[int][]int64)
			}
			p.Failures[i] = append([]int64(nil), k.failures...)
			any = true
		}
	}
	return p, any
}

// Acknowledgeable returns the number up to which a runner's ends are durable.
func (t *Table) Acknowledgeable(id string, now time.Time) int64 {
	r, ok := t.runners[id]
	if !ok {
		return 0
	}
	for len(r.pending) > 0 {
		p := r.pending[0]
		if p.unclaimed != nil && now.Sub(p.heardAt) < strangerPatience {
			return p.n - 1
		}
		if p.s != nil && p.s.saved < p.version && !p.s.cancelled {
			return p.n - 1
		}
		r.pending = r.pending[1:]
	}
	return r.lastEnd
}

// IsDirty reports whether progress has to be made durable.
func (t *Table) IsDirty() bool { return len(t.dirty) > 0 }

// Runner returns what the registry says of a runner.
func (t *Table) Runner(id string) (info RunnerInfo, ok bool) {
	r, ok := t.runners[id]
	if !ok {
		return info, false
	}
	return r.info, true
}
