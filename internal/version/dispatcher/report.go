package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A EndKind tells how a run has ended.
type EndKind string

// Ends of runs.
const (
	Done    EndKind = "done"
	Failure EndKind = "failed"
	Stopped EndKind = "stopped"
	Lapsed  EndKind = "lapsed"
	Broken  EndKind = "broken"
	Alone   EndKind = "alone"
)

// A RunStatus is one run in a runner's list.
type RunStatus struct {
	Task       submitter.TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Measure is the tail latency in milliseconds of a task that serves, or the
	// processor use of any other task, over the last half second.
	Measure float64
}

// An End is one ended run in a runner's list.
type End struct {
	// N numbers the ends of one lifetime from 1.
	N          int64
	Task       submitter.TaskID
	Run        int64
	How        EndKind
	Checkpoint string
}

// A Report is a runner's answer to a look.
type Report struct {
	Lifetime int64
	Clock    int64 // ms on the runner's clock
	Running  []RunStatus
	Ended    []End
}

// strangerPatience is how long a run of an unknown submission may go on before
// it is stopped: the submission may be known to the store only.
const strangerPatience = 5 * time.Second

// ObserveClock takes in a runner's clock from any answer.
func (t *Table) ObserveClock(id string, lifetime, clock int64, now time.Time) {
	r, ok := t.runners[id]
	if !ok || (lifetime != 0 && lifetime != r.info.Lifetime) {
		return
	}
	if r.heardAt.IsZero() {
		// A former owner may have renewed the lease just before.
		r.maxUntil = max(r.maxUntil, clock+t.limits.MaxLease.Milliseconds())
	}
	if clock >= r.clock {
		r.clock, r.heardAt = clock, now
	}
	r.silentSince, r.closed = time.Time{}, false
}

// Report takes in a runner's lists. They were asked for at sentAt under the
// owner's fencing token.
func (t *Table) Report(id string, rep Report, sentAt, now time.Time) {
	r, ok := t.runners[id]
	if !ok || (rep.Lifetime != 0 && rep.Lifetime < r.info.Lifetime) {
		return
	}
	if rep.Lifetime > r.info.Lifetime {
		t.reborn(r, rep.Lifetime, now)
	}
	t.ObserveClock(id, rep.Lifetime, rep.Clock, now)
	if !r.fenced {
		r.fenced, r.fencedAt = true, now
		t.recheck = true
	}
	for _, e := range rep.Ended {
		if e.N > r.lastEnd {
			r.lastEnd = e.N
			t.ended(r, e, now)
		}
	}
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		t.seen(r, key, row, now)
	}
	for key := range r.strangers {
		if _, known := t.subs[key.task.Submission]; known || !listed[key] {
			delete(r.strangers, key)
		}
	}
	t.missing(r, listed, len(rep.Ended), sentAt, now)
	t.watchTails(r, now)
}

// seen takes in one row of a runner's list of runs.
func (t *Table) seen(r *runner, key runKey, row RunStatus, now time.Time) {
	x, ok := r.runs[key]
	if !ok {
		if x = t.adopt(r, key, now); x == nil {
			return
		}
	}
	if x.phase == starting {
		x.phase, x.confirmed = running, now
	}
	x.known = true
	if row.Percent != x.percent || !x.hasRow {
		x.movedAt = now
	}
	x.percent, x.measure, x.hasRow = row.Percent, row.Measure, true
	if row.Checkpoint != "" {
		x.task().checkpoint = row.Checkpoint
	}
}

// adopt takes over a run that this owner has not started, or stops it.
func (t *Table) adopt(r *runner, key runKey, now time.Time) *run {
	s, ok := t.subs[key.task.Submission]
	if !ok {
		if first, ok := r.strangers[key]; !ok {
			r.strangers[key] = now
		} else if now.Sub(first) > strangerPatience {
			t.stopStranger(r, key, now)
		}
		return nil
	}
	st := t.step(s, key.task)
	if st == nil {
		if st = s.detached(key.task); st == nil {
			t.stopStranger(r, key, now)
			return nil
		}
	}
	k := &st.tasks[key.task.Index]
	unwanted := s.state.IsFinal() || k.done || (len(k.runs) > 0 && !st.spec.Speculative)
	x := t.place(st, key.task.Index, r, key.run, now)
	x.phase, x.confirmed, x.known = running, now, true
	t.recordRun(now, EventAdopted, x, "listed by the runner")
	switch {
	case unwanted:
		t.stop(x, now, "not wanted")
	case st.spec.Fills:
		t.paceRun(x, fullPace, now) // the former owner may have halted it
	}
	return x
}

// detached returns a step of a submission that has ended, for runs that still
// take up room.
func (s *submission) detached(id submitter.TaskID) *stepState {
	if !s.contains(id) {
		return nil
	}
	spec := &s.sub.Steps[id.Step]
	st := &stepState{s: s, occ: &occurrence{index: id.Occurrence}, index: id.Step, spec: spec, tasks: make([]task, spec.Count)}
	for i := range st.tasks {
		st.tasks[i].done = true
	}
	return st
}

// stopStranger stops a run that is not in the table.
func (t *Table) stopStranger(r *runner, key runKey, now time.Time) {
	r.strangerStoppedAt = now
	t.orders = append(t.orders, Order{Kind: Stop, Runner: r.info.ID, Lifetime: r.info.Lifetime, Task: key.task, Run: key.run})
}

// step finds the state of a task's step, setting up occurrences on the way.
func (t *Table) step(s *submission, id submitter.TaskID) *stepState {
	if !s.contains(id) || s.state.IsFinal() {
		return nil // the steps of a submission that has ended may be dropped
	}
	for s.opened <= id.Occurrence {
		t.openNext(s)
	}
	return s.occs[id.Occurrence].steps[id.Step]
}

// contains reports whether a submission has a task.
func (s *submission) contains(id submitter.TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < s.sub.Occurrences() && id.Step >= 0 && id.Step < len(s.sub.Steps) &&
		id.Index >= 0 && id.Index < s.sub.Steps[id.Step].Count
}

// missing ends confirmed runs that a runner no longer lists. A run that is
// being stopped is not listed, but takes up room until its end is.
func (t *Table) missing(r *runner, listed map[runKey]bool, ends int, sentAt, now time.Time) {
	if ends >= maxEndsListed {
		return
	}
	for key, x := range r.runs {
		if listed[key] || !x.known || !x.confirmed.Before(sentAt) {
			continue
		}
		if x.phase == stopping && (x.stoppedAt.IsZero() || sentAt.Sub(x.stoppedAt) < t.stopSpan()) {
			continue
		}
		t.end(x, now, "no longer listed")
	}
}

// stopSlack is added to the longest time that a stop takes.
const stopSlack = 150 * time.Millisecond

// stopSpan returns the time after which a stop has taken effect.
func (t *Table) stopSpan() time.Duration { return scaleDrift(t.limits.StopTimeout) + stopSlack }

// maxEndsListed is the number of ends in one answer; more may follow.
const maxEndsListed = 500

// ended takes in one end.
func (t *Table) ended(r *runner, e End, now time.Time) {
	s := t.subs[e.Task.Submission]
	if s == nil {
		r.pending = append(r.pending, pendingEnd{n: e.N, unclaimed: &e, heardAt: now})
		return
	}
	t.applyEnd(r, s, e, now)
	r.pending = append(r.pending, pendingEnd{n: e.N, s: s, version: s.version})
}

// claimEnds takes in the ends of a submission that were listed before it was
// known.
func (t *Table) claimEnds(s *submission, now time.Time) {
	for _, r := range t.runners {
		for i := range r.pending {
			p := &r.pending[i]
			if p.unclaimed == nil || p.unclaimed.Task.Submission != s.sub.ID {
				continue
			}
			t.applyEnd(r, s, *p.unclaimed, now)
			p.unclaimed, p.s, p.version = nil, s, s.version
		}
	}
}

// applyEnd changes a submission by the end of one of its runs.
func (t *Table) applyEnd(r *runner, s *submission, e End, now time.Time) {
	if x, ok := r.runs[runKey{e.Task, e.Run}]; ok {
		t.end(x, now, string(e.How))
	}
	st := t.step(s, e.Task)
	if st == nil {
		return
	}
	k := &st.tasks[e.Task.Index]
	if e.Checkpoint != "" {
		k.checkpoint = e.Checkpoint
	}
	k.nextRun = max(k.nextRun, e.Run+1)
	switch e.How {
	case Done:
		t.taskDone(st, e.Task.Index, r, now)
	case Failure:
		t.taskFailed(st, e.Task.Index, r, e.Run, now)
	default:
	}
}

// taskDone notes the end of a task.
func (t *Table) taskDone(st *stepState, index int, r *runner, now time.Time) {
	clear(r.strikes)
	if st.spec.LongRunning {
		return
	}
	if st.spec.Gang {
		for i := range st.tasks {
			t.markDone(st, i)
		}
	}
	t.markDone(st, index)
	t.touch(st.s)
	for _, copied := range slices.Clone(st.tasks[index].runs) {
		t.stop(copied, now, "another copy is done")
	}
	t.settle(st.s, now)
}

// taskFailed notes a failed run.
func (t *Table) taskFailed(st *stepState, index int, r *runner, number int64, now time.Time) {
	k := &st.tasks[index]
	t.strike(r, st.s.sub.ID, now)
	if st.spec.LongRunning || st.s.state.IsFinal() || k.done || slices.Contains(k.failures, number) {
		return
	}
	k.failures = append(k.failures, number)
	k.avoid = r.info.ID
	t.touch(st.s)
	if len(k.failures) >= max(1, st.s.queue.MaxAttempts) {
		t.finish(st.s, submitter.Failed, now)
	}
}

// Bounds of the suspension of runners on which different submissions fail.
const (
	suspendStrikes = 2
	suspendFor     = 3 * time.Second
)

// strike counts failures of different submissions without a success between
// them, and suspends a runner that fails them all.
func (t *Table) strike(r *runner, submission string, now time.Time) {
	r.strikes[submission] = true
	if len(r.strikes) < suspendStrikes {
		return
	}
	span := suspendFor * time.Duration(min(4, len(r.strikes)-suspendStrikes+1))
	r.suspendedUntil = now.Add(span)
	t.recordRunner(now, EventRunnerSuspended, r, "tasks of different submissions failed in a row")
}

// end removes a run from the table.
func (t *Table) end(x *run, now time.Time, reason string) {
	r, st, k := x.runner, x.st, x.task()
	key := runKey{x.id(), x.number}
	if r.runs[key] != x {
		return
	}
	delete(r.runs, key)
	r.used = r.used.Minus(st.spec.Reserved())
	r.countImages(st, -1)
	if st.spec.Fills {
		r.fillLeftAt = now
	}
	if st.byHost != nil {
		st.byHost[r.info.ID]--
	}
	k.runs = slices.DeleteFunc(k.runs, func(o *run) bool { return o == x })
	if len(k.runs) == 0 && !k.done {
		st.wait++
	}
	k.endedAt = now
	t.recheck = true
	t.recordRun(now, EventEnded, x, reason)
}

// stop orders the end of a run.
func (t *Table) stop(x *run, now time.Time, reason string) {
	if x.phase == stopping {
		return
	}
	x.phase, x.orderedAt, x.stoppedAt = stopping, now, time.Time{}
	t.recordRun(now, EventStopping, x, reason)
	t.orders = append(t.orders, t.stopOrder(x))
}

func (t *Table) stopOrder(x *run) Order {
	return Order{Kind: Stop, Runner: x.runner.info.ID, Lifetime: x.runner.info.Lifetime, Task: x.id(), Run: x.number}
}
