package dispatcher

import "time"

// maxEvaluations bounds how many times a placement pass asks whether a task may start on a
// runner; it may exceed that by one task, or one gang. What is left is tried in later passes.
//
// Load: hundreds of steps for which no runner has room, on a host with little processor time.
const maxEvaluations = 10_000

// maxRepeated is the number of evaluations up to which a pass tries steps again that earlier
// passes of its round have tried: what is most urgent has the room that shows meanwhile, and
// the rest of the round goes on.
const maxRepeated = maxEvaluations / 2

// isExhausted reports whether the current placement pass has to end.
func (t *Table) isExhausted() bool { return t.evaluations >= maxEvaluations }

// beginPass prepares a placement pass.
func (t *Table) beginPass() {
	t.placementDue, t.evaluations = false, 0
	clear(t.noRoom)
	t.passes++
	t.pass = t.passes
}

// endPass ends a placement pass.
func (t *Table) endPass() { t.pass = 0 }

// putOffRest makes a pass due for the steps that the current one has not tried.
func (t *Table) putOffRest(now time.Time) {
	t.placementDue = true
	if t.roundSince.IsZero() {
		t.roundSince = now
	}
}

// endRound notes that all steps have been tried.
func (t *Table) endRound() { t.roundSince = time.Time{} }

// isPutOff reports whether the current pass has no evaluations left for a step that last found
// no room at a time: fewer if that was in an earlier pass of a round that goes on.
func (t *Table) isPutOff(blockedAt time.Time) bool {
	wasTried := !t.roundSince.IsZero() && !blockedAt.Before(t.roundSince)
	return t.isExhausted() || (wasTried && t.evaluations >= maxRepeated)
}
