package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// reserveAfter is how long a long-running task that has run before waits for room
	// until room is reserved for it.
	reserveAfter = time.Second
	// reservedShare is the largest share of the processors that long-running tasks leave
	// which is reserved at a time, so that short tasks go on.
	reservedShare = 0.5
)

// A reservation is the room on a runner that is kept for tasks of some steps.
type reservation struct {
	room    submitter.Resources
	forLong submitter.Resources // the part of room that is for long-running tasks, which may use the rest
	tasks   map[*stepState]int
}

// reserve reserves room for moves, for long-running tasks that wait, and then for late work.
// Reserved room gets nothing else: what runs there ends, and the task starts.
func (t *Table) reserve(now time.Time) {
	for _, r := range t.reserved {
		for st := range r.reserved.tasks {
			st.reservedTasks = 0
		}
		r.reserved = nil
	}
	t.reserved = t.reserved[:0]
	t.releaseHeld()
	t.reserveForMoves(now)
	t.reserveForLong(now)
	t.reserveForLate(now)
}

// reserveForLong reserves room for long-running tasks that have ended and have found no room
// for their next run for some time.
//
// Load: long-running tasks of several cores that fail, or lose their runners together,
// while smaller tasks wait. The room that each small task leaves goes to the next small
// one, so that no runner ever has room for the large one.
func (t *Table) reserveForLong(now time.Time) {
	t.keptForLong = t.keptForLong[:0]
	allRunsKnown := t.knowsAllRuns(now)
	steps := t.longWaiting(allRunsKnown, now)
	if len(steps) == 0 {
		return
	}
	left := int64(0)
	for _, p := range t.plans {
		for _, r := range p.usable {
			left += max(0, r.roomForLong().MilliCores)
		}
	}
	left = int64(reservedShare * float64(left))
	reserved := 0 // tasks; the first one gets room in any case
	for _, st := range steps {
		runners := t.planFor(st.s.service()).runners
		for range t.interrupted(st, allRunsKnown) {
			r := t.soonestRoom(st, runners, now)
			if r == nil {
				break
			}
			left -= st.spec.MilliCores
			if left < 0 && reserved > 0 {
				return
			}
			reserved++
			t.reserveOn(r, st)
			if n := len(t.keptForLong); n == 0 || t.keptForLong[n-1] != st {
				t.keptForLong = append(t.keptForLong, st)
			}
		}
	}
}

// longWaiting returns the long-running steps with tasks that have run before and have
// waited for room for some time, the one that has waited longest first.
func (t *Table) longWaiting(allRunsKnown bool, now time.Time) (steps []*stepState) {
	for _, s := range t.active {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= reserveAfter && t.interrupted(st, allRunsKnown) > 0 {
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

// soonestRoom returns the runner on which one more task of a step lacks the least room
// that short tasks will leave, or nil if there is none.
func (t *Table) soonestRoom(st *stepState, runners []*runner, now time.Time) (best *runner) {
	var least int64
	wanted := st.spec.Reserved()
	for _, r := range runners {
		var kept submitter.Resources
		tasks := 0
		if r.reserved != nil {
			kept, tasks = r.reserved.room, r.reserved.tasks[st]
		}
		if !wanted.Fits(r.roomForLong().Minus(kept)) || !st.mayUse(r, tasks) {
			continue
		}
		lacks := wanted.MilliCores + kept.MilliCores - r.free().MilliCores
		if best != nil && lacks > least {
			continue
		}
		if beside := r.lacksBeside(wanted.Plus(kept)); beside > 0 {
			lacks = max(lacks, beside)
		}
		if best != nil && (lacks > least || (lacks == least && r.info.ID > best.info.ID)) {
			continue
		}
		if wanted.Fits(r.free()) && !t.mayReserve(r, st, now) {
			continue
		}
		best, least = r, lacks
	}
	return best
}

// lacksBeside returns what a runner lacks of some room beside processors, as the milliCores
// that are the same share of what the runner has.
func (r *runner) lacksBeside(room submitter.Resources) (milliCores int64) {
	free, capacity := r.free(), r.info.Capacity
	if lacked := room.MemoryMB - free.MemoryMB; lacked > 0 {
		milliCores = lacked * capacity.MilliCores / max(1, capacity.MemoryMB)
	}
	if lacked := room.GPUs - free.GPUs; lacked > 0 {
		milliCores = max(milliCores, lacked*capacity.MilliCores/max(1, capacity.GPUs))
	}
	return milliCores
}

// mayReserve reports whether nothing but other reservations keeps a task of a step, which
// has run before if it is a long-running one, from a runner that has room for it. For late
// work, permits are requested while the room is kept.
func (t *Table) mayReserve(r *runner, st *stepState, now time.Time) bool {
	o := t.obstacle(r, st, &task{endedAt: now}, now)
	return o == reserved || (o == eligible && (!st.spec.LongRunning || st.isPermitted(r, now)))
}

// allows reports whether a step's label and limit per runner allow one more of its tasks
// on a runner.
func (st *stepState) allows(r *runner) bool { return st.hasLabel(r) && st.allowsMore(r, 0) }

// hasLabel reports whether a runner has the label that a step requires.
func (st *stepState) hasLabel(r *runner) bool {
	return st.spec.RequiredLabel == "" || r.hasLabel(st.spec.RequiredLabel)
}

// allowsMore reports whether a step's limit per runner allows one more of its tasks on a
// runner beside those that run there and some others.
func (st *stepState) allowsMore(r *runner, others int) bool {
	return st.runsByRunner == nil || st.runsByRunner[r.info.ID]+others < st.spec.MaxPerRunner
}

// reserveOn reserves room on a runner for one more task of a step.
func (t *Table) reserveOn(r *runner, st *stepState) {
	if r.reserved == nil {
		r.reserved = &reservation{tasks: make(map[*stepState]int)}
		t.reserved = append(t.reserved, r)
	}
	wanted := st.spec.Reserved()
	r.reserved.room = r.reserved.room.Plus(wanted)
	if st.spec.LongRunning && !st.isHeldFor {
		r.reserved.forLong = r.reserved.forLong.Plus(wanted)
	}
	r.reserved.tasks[st]++
	st.reservedTasks++
}

// keepsRoomForLong reports whether room on a runner is reserved for long-running tasks.
func (r *runner) keepsRoomForLong() bool {
	return r.reserved != nil && r.reserved.forLong != (submitter.Resources{})
}

// claim gives up the room that is reserved for a task of a step which starts on a runner,
// or that for another one of its tasks if none is reserved there.
func (t *Table) claim(r *runner, st *stepState) {
	if st.reservedTasks == 0 {
		return
	}
	if r.reserved == nil || r.reserved.tasks[st] == 0 {
		if r = t.reservedFor(st, func(*runner) bool { return true }); r == nil {
			return
		}
	}
	t.giveUp(r, st)
}

// giveUp gives up the room that is reserved on a runner for one task of a step.
func (t *Table) giveUp(r *runner, st *stepState) {
	kept, wanted := r.reserved, st.spec.Reserved()
	kept.room = kept.room.Minus(wanted)
	if st.spec.LongRunning && !st.isHeldFor {
		kept.forLong = kept.forLong.Minus(wanted)
	}
	st.reservedTasks--
	if kept.tasks[st]--; kept.tasks[st] == 0 {
		delete(kept.tasks, st)
	}
	if len(kept.tasks) == 0 {
		r.reserved = nil
		t.reserved = slices.DeleteFunc(t.reserved, func(other *runner) bool { return other == r })
	}
}

// reservedFor returns a runner with room reserved for a step that meets a condition, or
// nil.
func (t *Table) reservedFor(st *stepState, meets func(r *runner) bool) *runner {
	for _, r := range t.reserved {
		if r.reserved.tasks[st] > 0 && meets(r) {
			return r
		}
	}
	return nil
}

// hasReservedRoom reports whether the room that is reserved for a step has become free.
// The step is then tried although others of its shape have found no room.
func (t *Table) hasReservedRoom(st *stepState) bool {
	if st.reservedTasks == 0 {
		return false
	}
	wanted := st.spec.Reserved()
	return t.reservedFor(st, func(r *runner) bool { return wanted.Fits(r.free()) }) != nil
}

// unreserved returns the free room on a runner that is not reserved for tasks of other
// steps. A long-running task that has never run leaves that for its own step, too, and none
// leaves what is reserved for others than such tasks. A task with reserved room starts
// whether or not that of others has become free, unless these have been stopped to move
// there: what is reserved on a runner fits there together, once other tasks have ended.
func (t *Table) unreserved(r *runner, st *stepState, k *task) submitter.Resources {
	kept := r.reserved
	if kept == nil {
		return r.free()
	}
	isHolder := kept.tasks[st] > 0 && !t.isNew(st, k)
	room := r.free()
	switch {
	case isHolder && st.spec.LongRunning:
		room = room.Minus(t.keptForMoves(r, st))
	case isHolder, st.spec.LongRunning:
		room = room.Minus(kept.forLong)
	default:
		room = room.Minus(kept.room)
	}
	return submitter.Resources{MilliCores: max(0, room.MilliCores), MemoryMB: max(0, room.MemoryMB), GPUs: max(0, room.GPUs)}
}
