package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An Outcome is the result of an order.
type Outcome int

// Outcomes of orders.
const (
	// Succeeded says that the runner has carried out the order.
	Succeeded Outcome = iota
	// Unanswered says that the order may have been carried out or may be carried
	// out later.
	Unanswered
	// NotSent says that no byte of the order was sent.
	NotSent
	// Unhealthy says that the runner has not carried out the order because it is
	// unhealthy.
	Unhealthy
	// NoRoom says that the task does not fit on the runner.
	NoRoom
	// TooLate says that the lease would have ended before the start.
	TooLate
	// Superseded says that this run, or one with a higher number, has ended on the
	// runner.
	Superseded
	// OtherLifetime says that the runner has been restarted and has another
	// incarnation.
	OtherLifetime
	// Invalid says that the runner does not understand the order.
	Invalid
	// NotPermitted says that the runner does not accept the ticket of the permit.
	NotPermitted
	// Fenced says that the runner has accepted the fencing token of another owner.
	Fenced
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{
		"carried", "unanswered", "notSent", "unhealthy", "noRoom", "tooLate",
		"superseded", "otherLifetime", "invalid", "notPermitted", "fenced",
	}[o]
}

// failurePause is how long a runner gets no new work after it has refused, failed or
// not answered a start.
const failurePause = 500 * time.Millisecond

// ApplyStart applies the outcome of a start order. The lifetime is that of the runner
// that answered, or zero if unknown.
func (t *Table) ApplyStart(o Order, outcome Outcome, lifetime int64, now time.Time) {
	x := t.find(o)
	if x == nil {
		return
	}
	t.dequeue(x)
	if r := x.runner; lifetime != 0 && lifetime != r.info.Lifetime && o.Token == r.token {
		if outcome == OtherLifetime {
			t.release(x) // the incarnation that was lost never had it
		}
		t.renewToken(r)
		t.resetRunner(r, lifetime, "answer to a start", now) // this also stops the run, whose start was not confirmed
		return
	}
	if outcome == Unanswered && x.isLocated {
		return // the runner has listed the run meanwhile
	}
	if outcome == Succeeded && x.isCarriedOver && slices.Contains(x.runner.formerLifetimes, lifetime) {
		t.end(x, now, "runner was restarted")
		return
	}
	if outcome == Succeeded {
		x.confirmedAt = now
		x.isLocated = x.isLocated || (lifetime != 0 && lifetime == x.runner.info.Lifetime)
		x.st.s.markStarted()
		t.markBegun(x.st)
		if x.phase == starting {
			x.phase, x.progressedAt = running, now
			if x.isSlow {
				x.runner.bestEffortChangedAt = now
				t.paceRun(x, backgroundPercent, now)
			}
		}
		return
	}
	t.record(now, EventStartRefused, x.st.s, o.Runner, "task", o.Task.String(), "outcome", outcome.String())
	switch outcome {
	case Unanswered:
		// The order may still be carried out: only a stop, the runner's report or
		// the end of the lease shows where the task is.
		x.unansweredAt = now
		t.suspend(x.runner, now)
		t.stop(x, now, "start was not answered")
	case NotSent, Unhealthy, NoRoom, TooLate, OtherLifetime, Invalid, NotPermitted:
		if x.isCarriedOver {
			t.end(x, now, "start: "+outcome.String())
		} else if x.phase == starting {
			delete(x.st.permits, o.Runner)
			switch outcome {
			case TooLate:
			case NotPermitted:
				x.st.refusePermit(x.runner)
			default:
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

// ApplyStop applies the outcome of a stop order. A confirmed stop does not end the
// run: the end is taken from a report of the runner. A run that never began has no
// end in any report, so endUnlisted ends it once the stop must have taken effect. The
// outcome of a stop that was ordered before the runner's restart says nothing about the
// new process, which may still carry out the start.
func (t *Table) ApplyStop(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil {
		return
	}
	x.isStopQueued = false
	if o.Token != x.runner.token {
		return
	}
	switch outcome {
	case Succeeded:
		if x.stoppedAt.IsZero() {
			x.stoppedAt = now
		}
	case OtherLifetime:
		defer t.blame(x.runner.loss(), now)
		t.end(x, now, "stop: otherLifetime")
	default:
		// watchRun repeats the stop.
	}
}

// suspend keeps new work from a runner for failurePause.
func (t *Table) suspend(r *runner, now time.Time) {
	if until := now.Add(failurePause); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// find returns the run that an order refers to, or nil if it is not in the table.
func (t *Table) find(o Order) *run {
	r, ok := t.runners[o.Runner]
	if !ok {
		return nil
	}
	return r.runs[runKey{o.Task, o.Run}]
}

// PollFailed records that a poll of a runner has failed. It reports whether this is the
// first failure since the runner's last answer.
func (t *Table) PollFailed(id string, now time.Time) bool {
	r, ok := t.runners[id]
	if !ok {
		return false
	}
	if !r.silentSince.IsZero() {
		return false
	}
	r.silentSince = now
	return true
}

// A Record is a submission's progress that has to be made durable.
type Record struct {
	ID       string
	Progress *submitter.Progress
	// Version is the number of changes to the submission's progress that Progress
	// includes.
	Version int64
}

// markDirty records that a submission's progress has changed and has to be saved.
func (t *Table) markDirty(s *submission) {
	s.version++
	if !s.isDirty {
		s.isDirty = true
		t.dirty = append(t.dirty, s)
	}
}

// Unsaved returns up to limit records of submissions with unsaved progress, the one
// that has waited longest first.
func (t *Table) Unsaved(limit int) []Record {
	n := min(limit, len(t.dirty))
	records := make([]Record, 0, n)
	for _, s := range t.dirty[:n] {
		s.isDirty = false
		records = append(records, Record{ID: s.sub.ID, Progress: s.progress(false), Version: s.version})
	}
	t.dirty = append(t.dirty[:0], t.dirty[n:]...)
	return records
}

// Saved marks the progress in records as durable.
func (t *Table) Saved(records []Record) {
	for _, rec := range records {
		s, ok := t.subs[rec.ID]
		if !ok {
			continue
		}
		s.savedVersion = max(s.savedVersion, rec.Version)
		if rec.Progress.State.IsFinal() {
			s.durableState = rec.Progress.State
			s.occs = nil
		}
	}
}

// SaveFailed queues the submissions of records that could not be written, so that
// they are saved again.
func (t *Table) SaveFailed(records []Record) {
	for _, rec := range records {
		if s, ok := t.subs[rec.ID]; ok && !s.isDirty {
			s.isDirty = true
			t.dirty = append(t.dirty, s)
		}
	}
}

// FailRefused fails a submission whose progress the store does not take. That is durable already.
func (t *Table) FailRefused(id string, now time.Time) {
	s, ok := t.subs[id]
	if !ok || s.cancelled {
		return
	}
	if !s.state.IsFinal() {
		t.finish(s, submitter.Failed, now)
	}
	s.state, s.durableState, s.savedVersion = submitter.Failed, submitter.Failed, s.version
	s.occs = nil
}

// progress returns the progress of a submission in the form that is made durable, with the newest
// checkpoints or without.
func (s *submission) progress(withCheckpoints bool) *submitter.Progress {
	p := &submitter.Progress{Moves: s.sub.Moves()}
	if s.state.IsFinal() {
		p.State = s.state
		return p
	}
	p.Next = s.doneBefore
	rows := make([]submitter.OccurrenceProgress, len(s.occs))
	for i, occ := range s.occs {
		var any bool
		if rows[i], any = occ.progress(withCheckpoints); any {
			p.Next = max(p.Next, occ.index+1)
		}
	}
	for _, row := range rows {
		if row.Occurrence < p.Next {
			p.Open = append(p.Open, row)
		}
	}
	return p
}

// progress returns the progress of an occurrence that is not done, and whether it has any.
func (o *occurrence) progress(withCheckpoints bool) (p submitter.OccurrenceProgress, any bool) {
	p.Occurrence = o.index
	for step := range o.steps[0].s.sub.Steps {
		if o.isDone(step) {
			p.Done.Add(step)
			any = true
		}
	}
	for _, st := range o.steps {
		if row, hasRow := st.progress(withCheckpoints); hasRow {
			p.Steps = append(p.Steps, row)
			any = true
		}
	}
	if any && !o.ranAt.IsZero() {
		p.RanUnixMillis = o.ranAt.UnixMilli()
	}
	return p, any
}

// progress returns the progress of a step that is not done, and whether it has any.
func (st *stepState) progress(withCheckpoints bool) (p submitter.StepProgress, any bool) {
	if st.remaining == 0 {
		return p, false
	}
	p = submitter.StepProgress{Step: st.index, Begun: st.hasBegun}
	any = st.hasBegun
	for i := range st.tasks {
		k := &st.tasks[i]
		if k.done {
			p.Done.Add(i)
			any = true
			continue
		}
		if k.failures.Count() > 0 {
			putTask(&p.Failures, i, k.failures.Newest())
			any = true
		}
		if older := k.failures.Older(); older > 0 {
			putTask(&p.OlderFailures, i, older)
		}
		if checkpoint := st.checkpoint(k); withCheckpoints && checkpoint != "" {
			putTask(&p.Checkpoints, i, checkpoint)
			any = true
		}
		if len(k.crashes) > 0 {
			putTask(&p.Crashes, i, slices.Clone(k.crashes))
			any = true
		}
	}
	return p, any
}

// putTask sets the value of a task in a map by index, which is made with the first one.
func putTask[V any](values *map[int]V, index int, value V) {
	if *values == nil {
		*values = make(map[int]V)
	}
	(*values)[index] = value
}

// Acknowledgeable returns the number of the last end that can be acknowledged to a
// runner: the changes that this end and all earlier ones have caused are durable. An
// end whose submission stays unknown for unknownRunGrace is acknowledged too. It returns
// zero once the runner has received that, and while it is silent: a new incarnation, which
// numbers its ends anew, would drop those that the owner has not seen.
func (t *Table) Acknowledgeable(id string, now time.Time) int64 {
	r, ok := t.runners[id]
	if !ok || !r.silentSince.IsZero() || r.isDoubted {
		return 0
	}
	settled := r.lastEnd
	for len(r.pending) > 0 {
		if p := r.pending[0]; !p.isSettled(now) {
			settled = p.n - 1
			break
		}
		r.pending = r.pending[1:]
	}
	if settled <= r.received {
		return 0
	}
	r.acked = settled
	return settled
}

// isSettled reports whether a successor need not hear of an end: what it has changed is
// durable, or its submission has stayed unknown for unknownRunGrace.
func (p pendingEnd) isSettled(now time.Time) bool {
	if p.unclaimed != nil {
		return now.Sub(p.receivedAt) >= unknownRunGrace
	}
	return p.s == nil || p.s.savedVersion >= p.version || p.s.cancelled
}

// IsDirty reports whether any submission has unsaved progress.
func (t *Table) IsDirty() bool { return len(t.dirty) > 0 }

// Runner returns the registry entry of a runner.
func (t *Table) Runner(id string) (info RunnerInfo, ok bool) {
	r, ok := t.runners[id]
	if !ok {
		return info, false
	}
	return r.info, true
}
