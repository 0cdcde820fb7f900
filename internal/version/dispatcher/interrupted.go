package dispatcher

import "time"

// isNew reports whether a task is a long-running one that has never run, as far as is known:
// of a step of which a former owner has started tasks, each may have run.
func (t *Table) isNew(st *stepState, k *task) bool {
	return st.spec.LongRunning && len(k.runs) == 0 && k.endedAt.IsZero() && !st.ranBefore
}

// markBegun notes that a run of a step is known to have begun. Of a long-running step it is
// stored, so that a successor which finds none of its runs does not take the tasks for new.
//
// Load: all tasks of a step on one runner, which is lost together with the owner.
func (t *Table) markBegun(st *stepState) {
	if !st.spec.LongRunning || st.hasBegun || st.s.state.IsFinal() {
		return
	}
	st.hasBegun = true
	t.markDirty(st.s)
}

// interrupted returns the number of long-running tasks of a ready step that have run before
// and wait for their next run. Those that may run on a runner whose runs are not known yet
// are left out.
func (t *Table) interrupted(st *stepState, allRunsKnown bool) (n int) {
	if !st.spec.LongRunning || !st.ready || st.waiting == 0 || st.s.state.IsFinal() {
		return 0
	}
	for i := range st.tasks {
		if k := &st.tasks[i]; !k.done && len(k.runs) == 0 && !t.isNew(st, k) && (allRunsKnown || k.isTracked) {
			n++
		}
	}
	return n
}

// anyWaiting returns a task that stands for the waiting tasks of a step and avoids no runner.
// It has run before if one of them has.
func (t *Table) anyWaiting(st *stepState, now time.Time) *task {
	probe := &task{}
	for i := range st.tasks {
		if k := &st.tasks[i]; st.spec.LongRunning && !k.done && len(k.runs) == 0 && !t.isNew(st, k) {
			probe.endedAt = now
			break
		}
	}
	return probe
}
