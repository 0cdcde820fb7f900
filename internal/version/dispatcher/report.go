package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An EndKind says how a run has ended.
type EndKind string

// Ends of runs. Done and Failure are results of the task; after any other end, the
// task has to run again.
const (
	Done    EndKind = "done"
	Failure EndKind = "failed"
	Stopped EndKind = "stopped"
	Lapsed  EndKind = "lapsed"
	Broken  EndKind = "broken"
	Alone   EndKind = "alone"
)

// A RunStatus is the status of one run in a runner's report.
type RunStatus struct {
	Task       submitter.TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Measure is the tail latency in milliseconds of a serving task, or the
	// processor use in milliCores of any other task, over the last half second. The
	// runner decides which quantile the tail latency is; the step's TailTarget is
	// compared with the same quantile.
	Measure float64
}

// An End is one ended run in a runner's report.
type End struct {
	// N is the number of the end. Each incarnation of a runner numbers its ends from
	// 1.
	N          int64
	Task       submitter.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// A Report is a runner's answer to a poll.
type Report struct {
	Token    int64 // fencing token of the poll
	Lifetime int64 // incarnation of the runner, or zero if unknown
	Clock    int64 // ms on the runner's clock
	Running  []RunStatus
	Ended    []End
	// Capacity is the runner's capacity at the time of the report, if the report states
	// it.
	Capacity holder.Optional[submitter.Resources]
}

// unknownRunGrace is how long a run of an unknown submission may go on before it is
// stopped: the submission may be in the store but not in the table yet.
const unknownRunGrace = 5 * time.Second

// ObserveClock records an answer of a runner to an order. The argument clock is the
// reading of the runner's clock in that answer, in milliseconds, and lifetime is the
// incarnation that answered, or zero if unknown. The reading of an unknown incarnation is
// not used: the answer may be a late one of a former incarnation, whose clock was ahead. It
// shows a restart if the clock of the known one was further when the order was sent. Nor
// is that of an incarnation that has not seen its token: calls for a former one may renew its
// leases after the answer.
func (t *Table) ObserveClock(o Order, lifetime, clock int64, now time.Time) {
	r, ok := t.runners[o.Runner]
	switch {
	case !ok:
	case lifetime == 0:
		r.silentSince = time.Time{}
		if clock < o.clock && o.Token == r.token {
			t.doubt(r, now)
		}
	case lifetime == r.info.Lifetime && o.Token == r.token:
		t.observeClock(r, clock, now)
	}
}

// observeClock updates the last known reading of the clock of a runner's current
// incarnation.
func (t *Table) observeClock(r *runner, clock int64, now time.Time) {
	if r.answeredAt.IsZero() {
		// A former owner may have renewed the runner's leases just before.
		r.maxLeaseEnd = max(r.maxLeaseEnd, clock+t.limits.MaxLease.Milliseconds())
	}
	if clock >= r.clock {
		r.clock, r.answeredAt = clock, now
	}
	r.silentSince = time.Time{}
}

// Report applies a runner's report, which was requested at sentAt. A report that was requested
// under another token than the current one was meant for a former incarnation. One of an
// incarnation that is new to the owner only shows the restart: calls for a former one may
// change what it lists.
func (t *Table) Report(id string, rep Report, sentAt, now time.Time) {
	r, ok := t.runners[id]
	if !ok || rep.Token != r.token {
		return
	}
	switch {
	case rep.Lifetime == 0 || rep.Lifetime == r.info.Lifetime:
	case r.isDoubted:
		t.resetRunner(r, rep.Lifetime, "answer to a poll", now) // it has seen its token
	default:
		t.renewToken(r)
		t.resetRunner(r, rep.Lifetime, "answer to a poll", now)
		return
	}
	r.isDoubted = false
	t.observeClock(r, rep.Clock, now)
	if rep.Lifetime != 0 {
		t.clearLapsed(r)
		r.adrift = nil
	}
	t.reportCapacity(r, rep.Capacity, sentAt, now)
	if !r.acceptedToken {
		r.acceptedToken, r.tokenAcceptedAt = true, now
		t.placementDue = true
		if !r.restartedAt.IsZero() {
			t.recordAcceptance(now, r, rep)
		}
	}
	if rep.Lifetime != 0 {
		r.acceptedAt = later(r.acceptedAt, sentAt)
		t.checkQuorum(now)
	}
	for _, e := range rep.Ended {
		if e.N > r.lastEnd {
			if e.N > r.lastEnd+1 && (r.lastEnd > 0 || r.isKnownFromStart) {
				t.recordMissingEnds(now, r, e.N)
			}
			r.lastEnd = e.N
			t.processEnd(r, e, now)
		}
	}
	switch {
	case len(rep.Ended) > 0:
		r.received = rep.Ended[0].N - 1
	case r.acked == r.lastEnd:
		r.received = r.lastEnd
	}
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		t.applyStatus(r, key, row, now)
	}
	for key := range r.unknownRuns {
		if _, known := t.subs[key.task.Submission]; known || !listed[key] {
			delete(r.unknownRuns, key)
		}
	}
	t.endProbation(r, listed, sentAt)
	t.endUnlisted(r, listed, len(rep.Ended), sentAt, now)
	t.watchTails(r, now)
}

// applyStatus applies the status of one reported run.
func (t *Table) applyStatus(r *runner, key runKey, row RunStatus, now time.Time) {
	x, ok := r.runs[key]
	if !ok {
		if x = t.adopt(r, key, now); x == nil {
			return
		}
		if row.Percent > 0 {
			t.passProbation(x) // it was started some time ago
		}
	}
	if x.phase == starting {
		x.phase, x.confirmedAt = running, now
	}
	x.isLocated, x.isCarriedOver = true, false
	x.st.s.markStarted()
	t.markBegun(x.st)
	if row.Percent != x.percent || !x.hasStatus {
		x.progressedAt = now
	}
	x.percent, x.measure, x.hasStatus = row.Percent, row.Measure, true
	x.st.noteCheckpoint(x.task(), row.Checkpoint)
}

// adopt adds a reported run that this owner has not started to the table, and stops
// the run if its task needs none. It returns nil for a run of an unknown task, which
// is stopped at once, and for a run of an unknown submission, which is stopped after
// unknownRunGrace.
func (t *Table) adopt(r *runner, key runKey, now time.Time) *run {
	s, ok := t.subs[key.task.Submission]
	if _, hasMoved := t.moved[key.task.Submission]; hasMoved || (ok && s.isMoving) {
		t.stopUnknown(r, key, now)
		return nil
	}
	if !ok {
		if first, ok := r.unknownRuns[key]; !ok {
			r.unknownRuns[key] = now
		} else if now.Sub(first) > unknownRunGrace {
			t.stopUnknown(r, key, now)
		}
		return nil
	}
	st := t.step(s, key.task)
	if st == nil {
		if st = s.detachedStep(key.task); st == nil {
			t.stopUnknown(r, key, now)
			return nil
		}
	}
	k := &st.tasks[key.task.Index]
	t.withdrawUnsent(k, now)
	unwanted := s.state.IsFinal() || k.done || (len(k.runs) > 0 && !st.spec.Speculative)
	if t.isIdleAndLate(st, now) {
		t.background = st // the former owner may have started it so
	}
	x := t.place(st, key.task.Index, r, key.run, now)
	t.background = nil
	x.useNumber()
	t.claim(r, st)
	x.phase, x.confirmedAt, x.isLocated = running, now, true
	st.ranBefore = true
	s.markStarted()
	t.recordRun(now, EventAdopted, x, "listed by the runner")
	switch {
	case unwanted:
		t.stop(x, now, "task needs no run")
	case st.spec.Fills:
		x.confirmedPace = unknownPace // the former owner may have paced it; watchTails paces it
	}
	return x
}

// withdrawUnsent withdraws the starts of a task that were not sent, as it is found running. Those
// of a gang are left, as its members start together.
func (t *Table) withdrawUnsent(k *task, now time.Time) {
	for _, x := range slices.Clone(k.runs) {
		if x.isQueued && !x.st.spec.Gang && !x.st.spec.Speculative {
			t.withdraw(x, now, "listed elsewhere")
		}
	}
}

// detachedStep returns a new state, in which all tasks are done, for a step of an
// ended submission. It stands for the step's own state, which may have been dropped,
// in runs that still take up room on a runner.
func (s *submission) detachedStep(id submitter.TaskID) *stepState {
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

// stopUnknown orders the stop of a run that is not in the table.
func (t *Table) stopUnknown(r *runner, key runKey, now time.Time) {
	r.unknownStoppedAt = now
	o := newOrder(Stop, r, key)
	o.isUnknown = true
	t.orders = append(t.orders, o)
}

// step returns the state of a task's step, after setting up all occurrences up to
// that of the task. It returns nil if the submission has no such task, or if that or the
// submission has ended.
func (t *Table) step(s *submission, id submitter.TaskID) *stepState {
	if !s.contains(id) || s.state.IsFinal() {
		return nil // the steps of an ended submission may have been dropped
	}
	for s.opened <= id.Occurrence {
		t.openNext(s)
	}
	return s.step(id.Occurrence, id.Step)
}

// contains reports whether a submission has a task with this ID.
func (s *submission) contains(id submitter.TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < s.sub.Occurrences() && id.Step >= 0 && id.Step < len(s.sub.Steps) &&
		id.Index >= 0 && id.Index < s.sub.Steps[id.Step].Count
}

// endUnlisted ends the confirmed runs of a runner that are not listed in its
// report, which was requested at sentAt and lists the given number of ends. A run
// that is being stopped is not listed, but takes up room until its end is listed or
// the stop must have taken effect. A run that was confirmed after sentAt may be
// missing from the report and is not ended. After a full report no run is ended,
// since the next report may list its end.
func (t *Table) endUnlisted(r *runner, listed map[runKey]bool, ends int, sentAt, now time.Time) {
	if ends >= maxEndsListed {
		return
	}
	for key, x := range r.runs {
		if listed[key] || x.phase == starting || !x.confirmedAt.Before(sentAt) {
			continue
		}
		if x.phase == stopping && (x.stoppedAt.IsZero() || sentAt.Sub(x.stoppedAt) < t.maxStopTime()) {
			continue
		}
		if x.mayBegin(now) {
			continue
		}
		t.end(x, now, "no longer listed")
	}
}

// stopMargin is added to the longest time that a stop takes before the stop counts as
// having taken effect.
const stopMargin = 150 * time.Millisecond

// maxStopTime returns the time, on the owner's clock, within which a stop that a
// runner has confirmed takes effect.
func (t *Table) maxStopTime() time.Duration { return scaleDrift(t.limits.StopTimeout) + stopMargin }

// maxEndsListed is the number of ends in a full report; the next report may list
// more.
const maxEndsListed = 500

// processEnd applies an end that a runner has reported, or keeps the end until its
// submission is known.
func (t *Table) processEnd(r *runner, e End, now time.Time) {
	s := t.subs[e.Task.Submission]
	if s == nil {
		r.pending = append(r.pending, pendingEnd{n: e.N, unclaimed: &e, receivedAt: now})
		return
	}
	t.applyEnd(r, s, e, now)
	r.pending = append(r.pending, pendingEnd{n: e.N, s: s, version: s.version})
}

// claimEnds applies the ends of a submission's runs that were reported before the
// submission was known.
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

// applyEnd updates a submission after the end of one of its runs.
func (t *Table) applyEnd(r *runner, s *submission, e End, now time.Time) {
	x, isKnown := r.runs[runKey{e.Task, e.Run}]
	st := t.step(s, e.Task) // before the end of the run, which may drop it
	if isKnown {
		s.markStarted()
		t.end(x, now, string(e.Kind))
	}
	if st == nil {
		return
	}
	k := &st.tasks[e.Task.Index]
	if !isKnown {
		st.ranBefore = true
		if !k.isTracked { // a run of a former owner
			st.occ.ranAt = now
		}
	}
	t.markBegun(st)
	st.noteCheckpoint(k, e.Checkpoint)
	k.nextRun = max(k.nextRun, e.Run+1)
	// A runner that lists the end of a run was not lost under it.
	t.clearCrashes(st, e.Task.Index, func(c submitter.Crash) bool { return c.Run == e.Run })
	switch e.Kind {
	case Done:
		t.taskDone(st, e.Task.Index, r, now)
	case Failure:
		t.taskFailed(st, e.Task.Index, r, e.Run, now)
	default:
	}
}

// taskDone applies a successful run of a task on a runner: it marks the task as done
// and stops its other runs. In a gang, it marks all members as done. A long-running
// task is never done.
func (t *Table) taskDone(st *stepState, index int, r *runner, now time.Time) {
	clear(r.failedSubmissions)
	if st.spec.LongRunning {
		return
	}
	if st.spec.Gang {
		for i := range st.tasks {
			t.markDone(st, i)
		}
	}
	t.markDone(st, index)
	t.markDirty(st.s)
	for _, copied := range slices.Clone(st.tasks[index].runs) {
		t.stop(copied, now, "another copy is done")
	}
	t.completeIfDone(st.s, now)
}

// taskFailed records a failed run of a task on a runner, and fails the submission if
// the task has no attempts left.
func (t *Table) taskFailed(st *stepState, index int, r *runner, number int64, now time.Time) {
	k := &st.tasks[index]
	t.countFailure(r, st.s.sub.ID, now)
	if st.spec.LongRunning || st.s.state.IsFinal() || k.done || k.failures.Has(number) {
		return
	}
	k.failures = k.failures.With(number)
	k.avoid, k.avoidedAt = r.info.ID, now
	t.markDirty(st.s)
	t.failIfExhausted(st.s, k, now)
}

// Limits of the suspension of runners on which different submissions fail.
const (
	// suspendThreshold is the number of different submissions from which the runner
	// is suspended.
	suspendThreshold = 2
	// suspendFor is the time of a suspension at the threshold. Each further
	// submission adds the same time again, up to four times suspendFor.
	suspendFor = 3 * time.Second
)

// countFailure counts a submission of which a run has failed or stalled on a runner.
// If there are several since the last success on the runner, it suspends the runner:
// the runner gets no new work for a while, but for long-running tasks that find no room
// elsewhere.
func (t *Table) countFailure(r *runner, submission string, now time.Time) {
	r.failedSubmissions[submission] = true
	if len(r.failedSubmissions) < suspendThreshold {
		return
	}
	span := suspendFor * time.Duration(min(4, len(r.failedSubmissions)-suspendThreshold+1))
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
	t.dequeue(x)
	t.release(x)
	r.used = r.used.Minus(st.spec.Reserved())
	if st.spec.LongRunning {
		r.usedForLong = r.usedForLong.Minus(st.spec.Reserved())
		t.longEndedAt = now
	}
	r.adjustUse(x, -1)
	if st.spec.Fills {
		r.bestEffortChangedAt = now
	}
	if st.runsByRunner != nil {
		st.runsByRunner[r.info.ID]--
	}
	k.runs = slices.DeleteFunc(k.runs, func(o *run) bool { return o == x })
	if len(k.runs) == 0 && !k.done {
		st.waiting++
	}
	k.endedAt = now
	st.occ.runs--
	t.endTurn(x)
	if !x.confirmedAt.IsZero() {
		st.occ.ranAt = now
	}
	t.dropDone(st)
	t.placementDue = true
	t.recordRun(now, EventEnded, x, reason)
}

// stop orders the stop of a run.
func (t *Table) stop(x *run, now time.Time, reason string) {
	if x.phase == stopping {
		return
	}
	x.phase, x.stoppedAt = stopping, time.Time{}
	t.recordRun(now, EventStopping, x, reason)
	t.orderStop(x, now)
}

// orderStop orders the stop of a run, unless a stop of the run waits to be sent.
func (t *Table) orderStop(x *run, now time.Time) {
	x.stopOrderedAt = now
	if x.isStopQueued {
		return
	}
	x.isStopQueued = true
	t.orders = append(t.orders, stopOrder(x))
}

func stopOrder(x *run) Order {
	return newOrder(Stop, x.runner, runKey{x.id(), x.number})
}
