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
	// maxMemoryQuestions bounds how many times a tick asks whether a runner would bear a task
	// for which memory is to be kept.
	maxMemoryQuestions = 2000
	// gangShare is the largest share of the room that long-running tasks leave on the runners
	// of a service which is kept for a gang all the time, so that other work goes on. It is at
	// least that of one runner. For a larger gang room is kept half of the time.
	gangShare = 0.5
	// wideGangLimit is how long room is kept at first for a gang that needs more.
	wideGangLimit = 5 * time.Second
	// wideGangGap is the longest time between two ticks that keep room for the same gang.
	wideGangGap = time.Second
)

// A lateRoom holds what may still be kept for late work on the runners of a service.
type lateRoom struct {
	runners []*runner
	tasks   int                 // other than members of gangs and best-effort ones
	fills   int                 // best-effort tasks other than members of gangs
	forGang submitter.Resources // none once room is kept for a gang
	// closed holds the shapes for which no runner will have room.
	closed map[lateShape]bool
}

// A lateShape holds what decides on which runners there will be room for a late task.
type lateShape struct {
	spareShape
	// image and milliCores are those of a best-effort task, which needs what services leave.
	image      string
	milliCores int64
}

// reserveForLate reserves room for late work of which nothing has run for long, in whichever
// queue it is: for one task of an occurrence, or for a gang, the longest idle one first.
// Best-effort tasks need only memory of their own.
//
// Load: more work than fits, for long. Smaller or more urgent tasks take each gap.
func (t *Table) reserveForLate(now time.Time) {
	t.kept, t.memoryQuestions = t.kept[:0], 0
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
	tasks := max(1, int(lateShare*float64(len(p.runners))))
	room := &lateRoom{runners: p.runners, tasks: tasks, fills: tasks, closed: make(map[lateShape]bool)}
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
// tasks to start which are not long-running ones.
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
	return st.ready && st.waiting > 0 && !st.spec.LongRunning && (!st.spec.Gang || st.waiting == len(st.tasks))
}

// keepRoom reserves room for one task of a step, or for a gang, and reports whether it has
// done so.
func (t *Table) keepRoom(st *stepState, room *lateRoom, now time.Time) bool {
	shape, tasks := lateShape{spareShape: spareShape{st.spec.Reserved(), st.spec.RequiredLabel}}, &room.tasks
	if st.spec.Fills {
		shape.image, shape.milliCores, tasks = st.spec.Image, st.spec.MilliCores, &room.fills
		t.background = st
		defer func() { t.background = nil }()
	}
	if st.spec.Gang {
		return t.keepRoomForGang(st, room, now)
	}
	if *tasks == 0 || room.closed[shape] {
		return false
	}
	if !t.reserveTasks(st, 1, room.runners, now) {
		room.closed[shape] = st.runsByRunner == nil && !st.s.needsPermits()
		return false
	}
	*tasks--
	return true
}

// keepRoomForGang reserves room for a gang, and reports whether it has done so.
func (t *Table) keepRoomForGang(st *stepState, room *lateRoom, now time.Time) bool {
	all := st.spec.Reserved().Times(float64(len(st.tasks)))
	isWide := !all.Fits(room.forGang)
	if room.forGang == (submitter.Resources{}) || (isWide && !t.wideGang.mayKeep(st, now)) {
		return false
	}
	if !t.reserveTasks(st, len(st.tasks), room.runners, now) {
		return false
	}
	room.forGang = submitter.Resources{}
	if isWide {
		t.wideGang = t.wideGang.With(st, now)
	}
	return true
}

// A wideGang is the gang for which more than gangShare of the room was kept last.
type wideGang struct {
	st           *stepState
	since, until time.Time     // when room was kept for it first and last, in its newest turn
	limit        time.Duration // of that turn
}

// isKept reports whether the turn of a gang goes on.
func (g wideGang) isKept(st *stepState, now time.Time) bool {
	return g.st == st && now.Sub(g.until) <= wideGangGap && now.Sub(g.since) < g.limit
}

// mayKeep reports whether so much room may be kept for a gang. After each turn other work has
// the room for as long.
func (g wideGang) mayKeep(st *stepState, now time.Time) bool {
	return g.isKept(st, now) || now.Sub(g.until) >= g.until.Sub(g.since)
}

// With returns what holds once room has been kept for a gang. Each turn of a gang may be twice
// as long as the one before, since what runs may not have ended in that.
func (g wideGang) With(st *stepState, now time.Time) wideGang {
	if !g.isKept(st, now) {
		limit := wideGangLimit
		if g.st == st {
			limit = 2 * g.limit
		}
		g = wideGang{st: st, since: now, limit: limit}
	}
	g.until = now
	return g
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
			t.startKeptTasks(st, t.isKnown(st, allRunsKnown), now)
		}
	}
}

// startKeptTasks starts one task of a step, or a gang, best-effort ones in the background.
func (t *Table) startKeptTasks(st *stepState, allRunsKnown bool, now time.Time) {
	if st.spec.Fills {
		t.startInBackground(st, allRunsKnown, now)
		return
	}
	t.startWaiting(st, 1, allRunsKnown, now)
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
