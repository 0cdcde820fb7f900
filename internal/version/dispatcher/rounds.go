package dispatcher

import "time"

// maxEvaluations bounds how many times a placement pass asks whether a task may start on a
// runner; it may exceed that by one task, or one gang. What is left is tried in later passes.
//
// Load: hundreds of steps for which no runner has room, on a host with little processor time.
const maxEvaluations = 10_000

// isExhausted reports whether the current placement pass has to end.
func (t *Table) isExhausted() bool { return t.evaluations >= maxEvaluations }

// beginPass prepares a placement pass.
func (t *Table) beginPass() {
	t.placementDue, t.evaluations = false, 0
	clear(t.noRoom)
}

// putOffRest makes a pass due for the steps that the current one has not tried. Those that
// have found no room since the first pass of the round are not tried again before.
func (t *Table) putOffRest(now time.Time) {
	t.placementDue = true
	if t.roundSince.IsZero() {
		t.roundSince = now
	}
}

// endRound notes that all steps have been tried.
func (t *Table) endRound() { t.roundSince = time.Time{} }

// wasTriedInRound reports whether a step has found no room in an earlier pass of a round that
// goes on.
func (t *Table) wasTriedInRound(st *stepState) bool {
	return !t.roundSince.IsZero() && !st.blockedAt.Before(t.roundSince)
}
