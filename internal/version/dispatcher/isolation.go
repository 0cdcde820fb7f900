package dispatcher

import (
	"maps"
	"time"
)

const (
	// suspectShare is the largest share of the runners, above minSuspectRunners, that
	// have suspects on probation or are held for suspects at a time. A gang may exceed it.
	suspectShare      = 0.2
	minSuspectRunners = 2
	// isolationPatience is how long a suspect waits for a runner of its own before it
	// starts like any other task.
	isolationPatience = 3 * time.Second
)

// A suspect is a task that may have crashed a runner.
type suspect struct {
	st    *stepState
	index int
}

// isSuspected reports whether the next run of a task has to be isolated, so that a loss of
// its runner can be attributed.
func (k *task) isSuspected(now time.Time) bool {
	if n := len(k.crashes); n == 0 || (n == 1 && k.crashes[0].Widespread) {
		return false
	}
	return now.Sub(k.suspectedSince) < isolationPatience
}

// awaitsRecord reports whether a task may not start before its crashes are durable: a
// successor that does not know them would count anew.
func (k *task) awaitsRecord(s *submission) bool {
	return len(k.crashes) > 1 && s.savedVersion < k.crashVersion
}

// isolate keeps the tasks of other submissions from the runner of a suspected run until
// the run's probation or the run itself ends.
func (t *Table) isolate(x *run) {
	r := x.runner
	if r.suspects == 0 {
		r.isolatedFor = x.st.s
		t.isolated++
	}
	r.suspects++
	x.isSuspect = true
}

// release ends the probation of a run.
func (t *Table) release(x *run) {
	x.onProbation = false
	if !x.isSuspect {
		return
	}
	x.isSuspect = false
	if x.runner.suspects--; x.runner.suspects == 0 {
		x.runner.isolatedFor = nil
		t.isolated--
	}
}

// keepsApart reports whether a task may not start on a runner because the task, or one
// that is there, is suspected. Tasks of one submission need not be kept apart, since they
// are given up together.
func (t *Table) keepsApart(r *runner, st *stepState, k *task, now time.Time) bool {
	holder := r.isolatedFor
	if held, ok := t.held[r]; ok && holder == nil {
		holder = held.st.s
	}
	switch {
	case holder != nil && holder != st.s:
		return true
	case !k.isSuspected(now):
		return len(k.crashes) > 0 && r.hasOthersOnProbation(st.s, func(x *run) bool { return len(x.task().crashes) > 0 })
	case k.awaitsRecord(st.s), holder == nil && t.hasEnoughIsolated():
		return true
	default:
		return r.hasOthersOnProbation(st.s, func(*run) bool { return true })
	}
}

// hasOthersOnProbation reports whether a run of another submission that counts is on
// probation on a runner. Two tasks that may have crashed runners are never put together:
// all that were lost at once would be lost at once again.
func (r *runner) hasOthersOnProbation(s *submission, counts func(x *run) bool) bool {
	for _, x := range r.runs {
		if x.onProbation && x.st.s != s && counts(x) {
			return true
		}
	}
	return false
}

// hasEnoughIsolated reports whether suspects may take up no further runner.
func (t *Table) hasEnoughIsolated() bool {
	return t.isolated+len(t.held) >= max(minSuspectRunners, int(suspectShare*float64(len(t.runners))))
}

// holdRunners holds runners for waiting suspects. Nothing else starts there, so that
// what runs there outlives its probation.
//
// Load: so many short tasks that there is always one on probation on each runner.
func (t *Table) holdRunners(list []candidate, allRunsKnown bool, now time.Time) {
	maps.DeleteFunc(t.held, func(r *runner, s suspect) bool {
		return !s.waits(now) || t.obstacle(r, s.st, s.unsuspected(), now) != eligible
	})
	for _, c := range list {
		if c.st.crashed == 0 {
			continue
		}
		for i := range c.st.tasks {
			s := suspect{c.st, i}
			if s.waits(now) && (allRunsKnown || s.task().isTracked) {
				t.holdRunner(s, now)
			}
		}
	}
}

func (s suspect) task() *task { return &s.st.tasks[s.index] }

// waits reports whether a suspect may start if there is a runner for it.
func (s suspect) waits(now time.Time) bool {
	k := s.task()
	return s.st.ready && !k.done && !s.st.s.state.IsFinal() && len(k.runs) == 0 && k.isSuspected(now) && !k.awaitsRecord(s.st.s)
}

// unsuspected returns a task that may run where the suspect may, apart from what is on
// probation there.
func (s suspect) unsuspected() *task {
	k := s.task()
	return &task{avoid: k.avoid, avoidedAt: k.avoidedAt, failures: k.failures}
}

// holdRunner holds the runner for a suspect on which the least runs. Members of a gang,
// which start together, hold one each; otherwise a submission holds one at a time.
func (t *Table) holdRunner(s suspect, now time.Time) {
	isFirst := true
	for _, held := range t.held {
		if held == s || (held.st.s == s.st.s && !s.st.spec.Gang) {
			return
		}
		isFirst = isFirst && held.st != s.st
	}
	if isFirst && t.hasEnoughIsolated() {
		return
	}
	var best *runner
	for r := range maps.Values(t.runners) {
		if _, isHeld := t.held[r]; isHeld || r.isolatedFor != nil || !t.canStart(r, s.st, s.unsuspected(), now) {
			continue
		}
		if best == nil || r.used.MilliCores < best.used.MilliCores || (r.used.MilliCores == best.used.MilliCores && r.info.ID < best.info.ID) {
			best = r
		}
	}
	if best != nil {
		t.held[best] = s
	}
}

// suspectsFirst returns the indices of a step's tasks, those of suspects first, so that
// the other members of a gang leave them the runners that are held for them.
func (st *stepState) suspectsFirst(now time.Time) []int {
	first, last := make([]int, 0, len(st.tasks)), []int(nil)
	for i := range st.tasks {
		if st.tasks[i].isSuspected(now) {
			first = append(first, i)
		} else {
			last = append(last, i)
		}
	}
	return append(first, last...)
}
