package dispatcher

import "time"

// Late work takes turns: one task of each occurrence of which nothing runs goes before the
// other late work of its priority, that which has been idle for longest first.
//
// Load: more work than fits, for long. Ordered by the work that is left, what takes the
// most would never run while smaller work keeps arriving.
const (
	// turnAfter is how long nothing of an occurrence has run when it gets a turn.
	turnAfter = 500 * time.Millisecond
	// urgentTurnAfter is how long nothing of it has run when its turn goes before the work
	// of its priority that is still on time.
	urgentTurnAfter = 15 * time.Second
	// turnPace is the share of full speed for which a runner needs room when a best-effort
	// task starts in its turn. Smaller tasks would take each gap that is too small for it at
	// full speed.
	turnPace = 0.25
	// turnShare bounds the occurrences that run in their turn, as a share of those and the
	// steps that are owed one, while work that is on time lacks room and for lackedFor after.
	turnShare = 0.25
	lackedFor = time.Second
)

// idleSince returns the time since which nothing of an occurrence without runs has run.
func (o *occurrence) idleSince() time.Time { return later(o.dueAt, o.ranAt) }

// isOwedTurn reports whether one task of a candidate's step goes before other work.
func (c candidate) isOwedTurn(now time.Time) bool {
	o := c.st.occ
	return c.tier != tierOnTime && o.runs == 0 && now.Sub(o.idleSince()) >= turnAfter
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

// startTurn starts one task of a step, if it has its turn now.
func (t *Table) startTurn(st *stepState, allRunsKnown bool, now time.Time) {
	if st.occ.runs > 0 {
		return // of another step, which has started in this pass
	}
	if now.Sub(t.lackedAt) <= lackedFor && t.turnRuns >= t.maxTurnRuns() {
		return
	}
	t.turn = st
	t.startWaiting(st, 1, allRunsKnown, now)
	t.turn = nil
}

// maxTurnRuns returns how many occurrences may run in their turn while work that is on time
// lacks room.
func (t *Table) maxTurnRuns() int {
	return max(1, int(turnShare*float64(t.owedTurns+t.turnRuns)))
}

// noteLack notes that work which is on time has just found no room, on runners that may run it.
func (t *Table) noteLack(c candidate, now time.Time) {
	if c.tier != tierOnTime || c.isTurn || c.st.spec.LongRunning || !c.st.blockedAt.Equal(now) || t.lackedAt.Equal(now) {
		return
	}
	for _, r := range t.runners {
		if t.mayRun(r, c.st) {
			t.lackedAt = now
			return
		}
	}
}

// leastPace returns the pace, as a share of full speed, for which a runner needs room when
// one more task of a best-effort step starts there.
func (t *Table) leastPace(st *stepState) float64 {
	if t.turn == st {
		return turnPace
	}
	return 1
}
