package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// keepAfter is how long nothing of a late occurrence has run when room is kept for it.
	keepAfter = 20 * time.Second
	// lateShare bounds the tasks, other than members of gangs, for which room is kept at a
	// time, as a share of the runners of their service. It is at least one task.
	lateShare = 0.05
	// gangShare is the largest share of the room that long-running tasks leave on the runners
	// of a service which is kept for a gang, so that other work goes on. It is at least that
	// of one runner.
	gangShare = 0.5
)

// A lateRoom holds what may still be kept for late work on the runners of a service.
type lateRoom struct {
	runners []*runner
	tasks   int                 // other than members of gangs
	forGang submitter.Resources // none once room is kept for a gang
	// closed holds the shapes for which no runner will have room.
	closed map[spareShape]bool
}

// reserveForLate reserves room for late work of which nothing has run for long, in whichever
// queue it is: for one task of an occurrence, or for a gang, the longest idle one first.
// Best-effort tasks need no processors of their own.
//
// Load: more work than fits, for long. Smaller or more urgent tasks take each gap.
func (t *Table) reserveForLate(now time.Time) {
	t.kept = t.kept[:0]
	steps := t.longIdle(now)
	if len(steps) == 0 {
		return
	}
	allRunsKnown := t.knowsAllRuns(now)
	rooms := make(map[string]*lateRoom)
	for _, st := range steps {
		if !t.isKnown(st, allRunsKnown) {
			continue
		}
		service := st.s.service()
		room, ok := rooms[service]
		if !ok {
			room = t.planFor(service).lateRoom()
			rooms[service] = room
		}
		if t.keepRoom(st, room, now) {
			t.kept = append(t.kept, st)
		}
	}
}

// lateRoom returns what may be kept for late work.
func (p *roomPlan) lateRoom() *lateRoom {
	room := &lateRoom{runners: p.runners, tasks: max(1, int(lateShare*float64(len(p.runners)))), closed: make(map[spareShape]bool)}
	var all, largest submitter.Resources
	for _, r := range p.runners {
		left := r.roomForLong()
		all = all.Plus(left)
		if left.MilliCores > largest.MilliCores {
			largest = left
		}
	}
	if room.forGang = all.Times(gangShare); room.forGang.MilliCores < largest.MilliCores {
		room.forGang = largest
	}
	return room
}

// isKnown reports whether all runs of a step are known that a former owner may have started.
func (t *Table) isKnown(st *stepState, allRunsKnown bool) bool {
	return allRunsKnown || st.s.sub.Owner >= t.fence
}

// longIdle returns a step of each late occurrence of which nothing has run for long that has
// tasks to start which reserve processors and are not long-running ones.
func (t *Table) longIdle(now time.Time) (steps []*stepState) {
	for _, s := range t.active {
		for _, occ := range s.occs {
			if occ.runs > 0 || occ.remaining == 0 || now.Sub(occ.idleSince()) < keepAfter || s.state.IsFinal() {
				continue
			}
			queue, ok := s.queue.Get()
			i := slices.IndexFunc(occ.steps, (*stepState).mayKeepRoom)
			if ok && i >= 0 && newCandidate(occ.steps[i], queue, now).tier != tierOnTime {
				steps = append(steps, occ.steps[i])
			}
		}
	}
	slices.SortFunc(steps, func(a, b *stepState) int {
		return cmp.Or(a.occ.idleSince().Compare(b.occ.idleSince()), cmp.Compare(a.s.sub.ID, b.s.sub.ID), cmp.Compare(a.occ.index, b.occ.index))
	})
	return steps
}

// mayKeepRoom reports whether a step has tasks to start for which room may be kept once they
// are late.
func (st *stepState) mayKeepRoom() bool {
	return st.ready && st.waiting > 0 && !st.spec.Fills && !st.spec.LongRunning && (!st.spec.Gang || st.waiting == len(st.tasks))
}

// keepRoom reserves room for one task of a step, or for a gang, and reports whether it has
// done so.
func (t *Table) keepRoom(st *stepState, room *lateRoom, now time.Time) bool {
	if st.spec.Gang {
		all := st.spec.Reserved().Times(float64(len(st.tasks)))
		if !all.Fits(room.forGang) || !t.reserveTasks(st, len(st.tasks), room.runners, now) {
			return false
		}
		room.forGang = submitter.Resources{}
		return true
	}
	shape := spareShape{st.spec.Reserved(), st.spec.RequiredLabel}
	if room.tasks == 0 || room.closed[shape] {
		return false
	}
	if !t.reserveTasks(st, 1, room.runners, now) {
		room.closed[shape] = st.runsByRunner == nil && !st.s.needsPermits()
		return false
	}
	room.tasks--
	return true
}

// reserveTasks reserves room for some tasks of a step, on the runners that will have it
// soonest, or for none. It reports whether it has done so.
func (t *Table) reserveTasks(st *stepState, tasks int, runners []*runner, now time.Time) bool {
	var chosen []*runner
	for range tasks {
		r := t.soonestRoom(st, runners, now)
		if r == nil {
			for _, r := range chosen {
				t.giveUp(r, st)
			}
			return false
		}
		t.reserveOn(r, st)
		chosen = append(chosen, r)
	}
	return true
}

// startKept starts what room is kept for once that has become free, whatever else is due.
func (t *Table) startKept(allRunsKnown bool, now time.Time) {
	for _, st := range t.kept {
		if t.isQueueFull() {
			return
		}
		if st.occ.runs == 0 && !st.s.state.IsFinal() && !t.isBlocked(st, now) && t.hasAllReservedRoom(st) {
			t.startWaiting(st, 1, t.isKnown(st, allRunsKnown), now)
		}
	}
}

// hasAllReservedRoom reports whether room is reserved for a step and all of it has become
// free.
func (t *Table) hasAllReservedRoom(st *stepState) bool {
	if st.reservedTasks == 0 {
		return false
	}
	wanted := st.spec.Reserved()
	return t.reservedFor(st, func(r *runner) bool {
		return !wanted.Times(float64(r.reserved.tasks[st])).Fits(r.free())
	}) == nil
}
