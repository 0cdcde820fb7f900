package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An occurrence is one execution of all steps of a submission. A submission without
// a schedule has one.
type occurrence struct {
	index     int
	dueAt     time.Time
	steps     []*stepState // the steps that are not done or still have runs, in their order
	remaining int          // steps not done yet
	// chain is the estimated run time of the longest chain of steps not done yet.
	chain time.Duration
	// runs is the number of runs of all steps, and ranAt when one of them last ended that
	// had begun.
	runs  int
	ranAt time.Time
	// background holds those that run in the background.
	background []*run
}

// maxOpenBytes bounds the size of the stored progress of the open occurrences of a submission,
// without failures and crashes. It is a small part of what a store takes in one value, and of
// what a slow connection carries within the timeout of a call.
const maxOpenBytes = 256 << 10

// openDue sets up the occurrences of a submission that are due, as far as its stored progress
// and the work of each placement pass stay bounded. At least one is open.
//
// Load: schedules that are far behind, and steps that wait for long while the schedule goes on.
func (t *Table) openDue(s *submission, now time.Time) {
	size := s.sub.OccurrenceBytes()
	for s.opened < s.sub.Occurrences() && (s.sub.Schedule == nil || !s.sub.DueAt(s.opened).After(now)) {
		if len(s.occs) > 0 && s.openBytes+size > maxOpenBytes {
			return
		}
		t.openNext(s)
	}
}

// openNext sets up the next occurrence of a submission, with the states of its steps.
func (t *Table) openNext(s *submission) {
	occ := &occurrence{index: s.opened, dueAt: s.sub.DueAt(s.opened), remaining: len(s.sub.Steps)}
	if s.sub.Schedule == nil && occ.dueAt.After(s.addedAt) {
		occ.dueAt = s.addedAt // the clock of the daemon that accepted it is ahead
	}
	for i := range s.sub.Steps {
		spec := &s.sub.Steps[i]
		st := &stepState{s: s, occ: occ, index: i, spec: spec, tasks: make([]task, spec.Count), remaining: spec.Count, waiting: spec.Count}
		if spec.MaxPerRunner > 0 {
			st.runsByRunner = make(map[string]int)
		}
		occ.steps = append(occ.steps, st)
	}
	s.occs = append(s.occs, occ)
	s.opened++
	s.openBytes += s.sub.OccurrenceBytes()
	occ.refresh(s.sub.Steps)
}

// step returns the state of a step, or nil if it is done or not set up.
func (s *submission) step(number, step int) *stepState {
	i, ok := slices.BinarySearchFunc(s.occs, number, func(o *occurrence, n int) int { return cmp.Compare(o.index, n) })
	if !ok {
		return nil
	}
	return s.occs[i].step(step)
}

// step returns the state of a step, or nil if it is done and has no runs.
func (o *occurrence) step(index int) *stepState {
	i, ok := slices.BinarySearchFunc(o.steps, index, func(st *stepState, n int) int { return cmp.Compare(st.index, n) })
	if !ok {
		return nil
	}
	return o.steps[i]
}

// isDone reports whether all tasks of a step are done.
func (o *occurrence) isDone(step int) bool {
	st := o.step(step)
	return st == nil || st.remaining == 0
}

// dropDone drops the state of a step that is done and has no runs, and that of its occurrence
// with the last one. Loops over the steps and occurrences may go on.
func (t *Table) dropDone(st *stepState) {
	if st.remaining > 0 || slices.ContainsFunc(st.tasks, func(k task) bool { return len(k.runs) > 0 }) {
		return
	}
	s, occ := st.s, st.occ
	if occ.step(st.index) != st {
		return
	}
	occ.steps = slices.DeleteFunc(slices.Clone(occ.steps), func(o *stepState) bool { return o == st })
	s.openBytes -= st.spec.ProgressBytes()
	if len(occ.steps) == 0 {
		s.occs = slices.DeleteFunc(slices.Clone(s.occs), func(o *occurrence) bool { return o == occ })
		s.doneBefore = max(s.doneBefore, occ.index+1)
		s.openBytes -= s.sub.ProgressBytes()
	}
}

// refresh updates which steps are ready, that is, have only predecessors that are
// done, and the chain of steps that are left.
func (o *occurrence) refresh(steps []submitter.Step) {
	o.chain = longestChain(steps, o.isDone)
	for _, st := range o.steps {
		st.ready = true
		for _, predecessor := range st.spec.After {
			if !o.isDone(predecessor) {
				st.ready = false
			}
		}
	}
}

// markDone marks a task as done and updates the counts of its step, occurrence and
// submission.
func (t *Table) markDone(st *stepState, index int) {
	k := &st.tasks[index]
	if k.done {
		return
	}
	k.done = true
	t.clearCrashes(st, index, anyCrash)
	if len(k.runs) == 0 {
		st.waiting--
	}
	st.remaining--
	if st.remaining == 0 {
		st.occ.remaining--
		if st.occ.remaining == 0 {
			st.s.remaining--
		}
		st.occ.refresh(st.s.sub.Steps)
		t.dropDone(st)
	}
	t.placementDue = true
}
