package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveAfter is how long a long-running task that has run before waits for room
	// until a runner is reserved for it.
	reserveAfter = time.Second
	// reservedShare is the largest share of the runners that are reserved at a time.
	reservedShare = 0.01
)

// reserve reserves runners for long-running tasks that have ended and have found no room
// for their next run for some time.
// A reserved runner gets nothing else until enough of what runs there has ended.
//
// Load: long-running tasks of several cores that fail while smaller tasks wait. The room
// that each small task leaves goes to the next small one, so that no runner ever has room
// for the large one.
func (t *Table) reserve(now time.Time) {
	clear(t.reserved)
	most := max(1, int(reservedShare*float64(len(t.runners))))
	for _, st := range t.longWaiting(now) {
		for range st.interrupted() {
			if len(t.reserved) == most {
				return
			}
			r := t.soonestRoom(st, now)
			if r == nil {
				break
			}
			t.reserved[r] = st
		}
	}
}

// longWaiting returns the long-running steps with tasks that have waited for room for
// some time, the one that has waited longest first.
func (t *Table) longWaiting(now time.Time) (steps []*stepState) {
	for _, s := range t.active {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if st.spec.LongRunning && st.waiting > 0 && !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= reserveAfter {
					steps = append(steps, st)
				}
			}
		}
	}
	slices.SortFunc(steps, func(a, b *stepState) int {
		return cmp.Or(a.waitingSince.Compare(b.waitingSince), cmp.Compare(a.s.sub.ID, b.s.sub.ID))
	})
	return steps
}

// interrupted returns the number of tasks of a step that wait for their next run.
func (st *stepState) interrupted() (n int) {
	for i := range st.tasks {
		if k := &st.tasks[i]; !k.done && len(k.runs) == 0 && !k.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// soonestRoom returns the runner on which a task of a step lacks the least room that
// short tasks will leave, or nil if there is none.
func (t *Table) soonestRoom(st *stepState, now time.Time) (best *runner) {
	var least int64
	wanted := st.spec.Reserved()
	for _, r := range t.runners {
		if t.reserved[r] != nil || !wanted.Fits(r.info.Capacity.Minus(r.usedForLong)) || !st.allows(r) {
			continue
		}
		switch t.obstacle(r, st, &task{}, now) {
		case full, memoryFull:
		case eligible:
			if !st.isPermitted(r, now) {
				continue
			}
		default:
			continue
		}
		lacks := wanted.MilliCores - r.free().MilliCores
		if best == nil || lacks < least || (lacks == least && r.info.ID < best.info.ID) {
			best, least = r, lacks
		}
	}
	return best
}

// allows reports whether a step's label and limit per runner allow one more of its tasks
// on a runner.
func (st *stepState) allows(r *runner) bool {
	if st.spec.RequiredLabel != "" && !r.hasLabel(st.spec.RequiredLabel) {
		return false
	}
	return st.runsByRunner == nil || st.runsByRunner[r.info.ID] < st.spec.MaxPerRunner
}

// isReservedFor reports whether a runner is reserved for another step.
func (t *Table) isReservedFor(r *runner, st *stepState) bool {
	holder := t.reserved[r]
	return holder != nil && holder != st
}

// hasReserved reports whether a runner is reserved for a step, which is then tried although
// others of its shape have found no room.
func (t *Table) hasReserved(st *stepState) bool {
	for _, holder := range t.reserved {
		if holder == st {
			return true
		}
	}
	return false
}
