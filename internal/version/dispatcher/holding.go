package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// holdAfter is how long a long-running task that has never run waits until room is held
	// for it.
	holdAfter = 10 * time.Second
	// holdLimit is how long room is held for a step at first, and maxHoldLimit the longest time.
	holdLimit    = 10 * time.Second
	maxHoldLimit = 40 * time.Second
	// maxTurnGap is the longest time between two ticks of the same turn.
	maxTurnGap = time.Second
)

// A roomTurn is a time in which other work leaves much room to one step. After it the others have
// the room for as long.
type roomTurn struct {
	st           *stepState
	since, until time.Time // the first and the last tick of it
	limit        time.Duration
}

// isOn reports whether the turn of a step goes on.
func (u roomTurn) isOn(st *stepState, now time.Time) bool {
	return u.st == st && now.Sub(u.until) <= maxTurnGap && now.Sub(u.since) < u.limit
}

// mayKeep reports whether a step has its turn now.
func (u roomTurn) mayKeep(st *stepState, now time.Time) bool {
	return u.isOn(st, now) || now.Sub(u.until) >= u.until.Sub(u.since)
}

// With returns the turn of a step. Each further turn of a step may be twice as long as the one
// before, since what runs may not have ended in that.
func (u roomTurn) With(st *stepState, now time.Time) roomTurn {
	if !u.isOn(st, now) {
		limit := holdLimit
		if u.st == st {
			limit = min(2*u.limit, maxHoldLimit)
		}
		u = roomTurn{st: st, since: now, limit: limit}
	}
	u.until = now
	return u
}

// holdRoom holds room for a task of the long-running step that has waited longest of those that
// have never run: others like it don't start where it will fit soonest. Interrupted tasks do,
// and short ones until the long-running tasks there leave enough.
//
// Load: runners nearly full of long-running tasks that come and go. Smaller ones take each gap.
func (t *Table) holdRoom(now time.Time) {
	st := t.longestWaitingNew(now)
	if st == nil || !t.heldRoom.mayKeep(st, now) {
		return
	}
	st.isHeldFor = true
	t.keptForLong = append(t.keptForLong, st)
	t.heldRoom = t.heldRoom.With(st, now)
	p := t.planFor(st.s.service())
	wanted := st.spec.Reserved()
	shape := spareShape{wanted, st.spec.RequiredLabel}
	if r := t.soonestNew(st, p, now); r != nil {
		r.heldFor = st
		t.reserveOn(r, st)
		return
	}
	var runners []*runner
	for _, r := range p.runners {
		if st.mayUse(r, 0) && !wanted.Fits(r.unpromised()) {
			runners = append(runners, r)
		}
	}
	slices.SortFunc(runners, func(a, b *runner) int {
		return cmp.Or(cmp.Compare(b.unpromised().MilliCores, a.unpromised().MilliCores), cmp.Compare(a.info.ID, b.info.ID))
	})
	missing := 1 - p.spareFor(shape)
	for _, r := range runners {
		if missing <= 0 {
			break
		}
		r.heldFor = st
		missing -= fitting(wanted, r.info.Capacity)
	}
}

// releaseHeld gives up what holdRoom has held.
func (t *Table) releaseHeld() {
	for _, r := range t.runners {
		r.heldFor = nil
	}
	if last := t.heldRoom.st; last != nil {
		last.isHeldFor = false
	}
}

// longestWaitingNew returns the step with long-running tasks that have never run which has
// waited longest for room, or nil.
func (t *Table) longestWaitingNew(now time.Time) (longest *stepState) {
	for _, s := range t.active {
		if s.needsPermits() || s.state.IsFinal() {
			continue
		}
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if !st.waitsForFirstRoom(now) || !t.isNew(st, t.anyWaiting(st, now)) {
					continue
				}
				if longest == nil || cmp.Or(st.waitingSince.Compare(longest.waitingSince), cmp.Compare(s.sub.ID, longest.s.sub.ID)) < 0 {
					longest = st
				}
			}
		}
	}
	return longest
}

// waitsForFirstRoom reports whether long-running tasks of a step have waited for so long that
// room is held for one that has never run.
func (st *stepState) waitsForFirstRoom(now time.Time) bool {
	return st.spec.LongRunning && !st.spec.Gang && st.ready && st.waiting > 0 && !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= holdAfter
}

// soonestNew returns the runner on which short tasks leave room soonest for a task of a step
// that has never run, or nil if long-running ones don't leave enough on any.
func (t *Table) soonestNew(st *stepState, p *roomPlan, now time.Time) (best *runner) {
	k := t.anyWaiting(st, now)
	for _, r := range p.runners {
		if !st.mayUse(r, 0) || t.isOwed(r, st, k) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(r.free().MilliCores, best.free().MilliCores), cmp.Compare(best.info.ID, r.info.ID)) > 0 {
			best = r
		}
	}
	return best
}
