package dispatcher

import (
	"slices"
	"time"
)

// Late work takes turns: one task of each occurrence of which nothing runs goes before the
// other late work of its priority, that which has been idle for longest first. A best-effort
// task starts in the background then.
//
// Load: more work than fits, for long. Ordered by the work that is left, what takes the
// most would never run while smaller work keeps arriving.
const (
	// turnAfter is how long nothing of an occurrence has run when it gets a turn, and
	// rareTurnAfter the same while new work lacks room, and for lackedFor after, and of
	// best-effort work that is on time. Work is new while it is on time and has been due for
	// at most newFor.
	turnAfter     = 500 * time.Millisecond
	rareTurnAfter = 10 * time.Second
	lackedFor     = time.Second
	newFor        = 3 * time.Second
	// urgentTurnAfter is how long nothing of it has run when its turn goes before the work
	// of its priority that is still on time.
	urgentTurnAfter = 15 * time.Second
	// turnShare bounds the occurrences that run in their turn, other than in the background,
	// as a share of those and the steps that are owed one, while work that is on time lacks
	// room.
	turnShare = 0.25
)

// idleSince returns the time since which nothing of an occurrence without runs has run.
func (o *occurrence) idleSince() time.Time { return later(o.dueAt, o.ranAt) }

// lacksRoom reports whether new work has just found no room.
func (t *Table) lacksRoom(now time.Time) bool { return now.Sub(t.lackedAt) <= lackedFor }

// isOwedTurn reports whether one task of a candidate's step goes before other work.
func (t *Table) isOwedTurn(c candidate, now time.Time) bool {
	o, after, isOnTime := c.st.occ, turnAfter, c.tier == tierOnTime
	if isOnTime || t.lacksRoom(now) {
		after = rareTurnAfter
	}
	return (!isOnTime || c.st.spec.Fills) && o.runs == 0 && now.Sub(o.idleSince()) >= after
}

// isIdleAndLate reports whether a step is late and nothing of its occurrence runs.
func (t *Table) isIdleAndLate(st *stepState, now time.Time) bool {
	queue, ok := st.s.queue.Get()
	return ok && st.spec.Fills && st.occ.runs == 0 && newCandidate(st, queue, now).tier != tierOnTime
}

// isOwedBackgroundStart reports whether the next task of a step starts in the background.
func (t *Table) isOwedBackgroundStart(st *stepState, now time.Time) bool {
	queue, ok := st.s.queue.Get()
	return ok && st.spec.Fills && t.isOwedTurn(newCandidate(st, queue, now), now)
}

// asTurn returns the candidate for one task that goes before other work.
func (c candidate) asTurn(now time.Time) candidate {
	c.isTurn, c.tier, c.work = true, tierLate, 0
	c.dueBy = c.st.occ.idleSince()
	if now.Sub(c.dueBy) >= urgentTurnAfter {
		c.tier = tierOnTime
	}
	return c
}

// compareTurns puts the candidates for one task first.
func compareTurns(a, b candidate) int {
	switch {
	case a.isTurn == b.isTurn:
		return 0
	case a.isTurn:
		return -1
	default:
		return 1
	}
}

// startTurn starts one task of a candidate's step, if it has its turn now.
func (t *Table) startTurn(c candidate, allRunsKnown bool, now time.Time) {
	st := c.st
	if st.occ.runs > 0 {
		return // of another step, which has started in this pass
	}
	if t.lacksRoom(now) && !st.spec.Fills && t.turnRuns >= t.maxTurnRuns() {
		return
	}
	if st.spec.Fills {
		t.startInBackground(st, allRunsKnown, now)
		return
	}
	t.turn = st
	t.startWaiting(st, 1, allRunsKnown, now)
	t.turn = nil
}

// noteTurn notes that a run has started, if that is in a turn.
func (t *Table) noteTurn(x *run) {
	switch {
	case x.st == t.background:
		x.isSlow = true
		t.unpaced = append(slices.DeleteFunc(t.unpaced, func(o *run) bool { return !o.isUnpaced() }), x)
		x.st.occ.background = append(x.st.occ.background, x)
	case x.st == t.turn && x.st.occ.runs == 1:
		x.isTurn = true
		t.turnRuns++
	}
}

// placement returns why a run was started, as it appears in logs.
func (x *run) placement() string {
	switch {
	case x.isSlow:
		return "in the background"
	case x.isTurn:
		return "in its turn"
	default:
		return "placed"
	}
}

// endTurn notes that a run has ended or gets its full speed, if it was started in a turn.
func (t *Table) endTurn(x *run) {
	if x.isTurn {
		t.turnRuns--
	}
	if x.isSlow {
		x.st.occ.background = slices.DeleteFunc(x.st.occ.background, func(o *run) bool { return o == x })
	}
}

// maxTurnRuns returns how many occurrences may run in their turn while work that is on time
// lacks room.
func (t *Table) maxTurnRuns() int {
	return max(1, int(turnShare*float64(t.owedTurns+t.turnRuns)))
}

// noteLack notes that new work has just found no room, on runners that may run it.
func (t *Table) noteLack(c candidate, now time.Time) {
	if c.tier != tierOnTime || c.isTurn || now.Sub(c.st.occ.dueAt) > newFor || c.st.spec.LongRunning || !c.st.blockedAt.Equal(now) || t.lackedAt.Equal(now) {
		return
	}
	for _, r := range t.runners {
		if t.mayRun(r, c.st) {
			t.lackedAt = now
			return
		}
	}
}
