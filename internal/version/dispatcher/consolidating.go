package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settledAfter is how long a run has to last until its task may be moved to make room.
	settledAfter = 5 * time.Second
	// consolidationsPerTick bounds the work of a tick.
	consolidationsPerTick = 2
	// consolidateRetry is the pause after which room is sought again for a step for which
	// none can be made.
	consolidateRetry = time.Second
	// maxCandidates is the number of runs that are tried to make room for one task.
	maxCandidates = 8
)

// A displacement is a run whose end makes room for a task of another step.
type displacement struct {
	x  *run
	to *runner // has room for the displaced task
}

// consolidate makes room for long-running tasks that have run before and fit on no runner,
// although the runners together have room: it moves a smaller long-running task to another
// runner, and keeps the room that it leaves.
//
// Load: runners nearly full of long-running tasks of different sizes, some of which lose
// their runners. Each of the others has a little room left, and none has enough.
func (t *Table) consolidate(now time.Time) {
	most := t.maxMoves()
	left := consolidationsPerTick
	for _, st := range t.unplaceable(now) {
		if left == 0 || len(t.moves) >= most {
			return
		}
		if t.isMadeRoomFor(st) || now.Before(st.consolidateAfter) {
			continue
		}
		left--
		d, ok := t.displacementFor(st, now)
		if !ok {
			st.consolidateAfter = now.Add(consolidateRetry)
			continue
		}
		t.moves = append(t.moves, move{x: d.x, to: d.to, beganAt: now, beneficiary: st})
		t.reserveOn(d.to, d.x.st)
		t.reserveOn(d.x.runner, st)
		t.stop(d.x, now, "makes room for a larger task")
	}
}

// unplaceable returns the steps with long-running tasks that were interrupted some time ago,
// or run on leaving runners, and for which no room is reserved.
func (t *Table) unplaceable(now time.Time) (steps []*stepState) {
	isReserved := func(st *stepState) bool {
		return t.reservedFor(st, func(*runner) bool { return true }) != nil
	}
	for _, st := range t.longWaiting(t.knowsAllRuns(now), now) {
		if !isReserved(st) {
			steps = append(steps, st)
		}
	}
	for _, x := range t.movable(now) {
		if x.st.isComplete() && !isReserved(x.st) && !slices.Contains(steps, x.st) {
			steps = append(steps, x.st)
		}
	}
	return steps
}

// isMadeRoomFor reports whether a move is under way that makes room for a step.
func (t *Table) isMadeRoomFor(st *stepState) bool {
	return slices.ContainsFunc(t.moves, func(m move) bool { return m.beneficiary == st })
}

// displacementFor returns the smallest run that makes room for a task of a step on its
// runner and has room on another one.
func (t *Table) displacementFor(st *stepState, now time.Time) (d displacement, ok bool) {
	var candidates []*run
	wanted := st.spec.Reserved()
	for _, r := range t.runners {
		if !t.isUsable(r) || r.keepsRoomForLong() || !st.s.isServedBy(r.info.Service) || !st.allows(r) || !st.isPermitted(r, now) || t.keepsApart(r, st, &task{}, now) {
			continue
		}
		if o := t.obstacle(r, st, &task{endedAt: now}, now); o != full && o != memoryFull {
			continue
		}
		room := r.unpromised()
		for _, x := range r.runs {
			if x.mayBeDisplaced(now) && x.st != st && x.st.spec.MilliCores < wanted.MilliCores && wanted.Fits(room.Plus(x.st.spec.Reserved())) {
				candidates = append(candidates, x)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.st.spec.MilliCores, b.st.spec.MilliCores), a.id().Compare(b.id()))
	})
	for _, x := range candidates[:min(len(candidates), maxCandidates)] {
		if !x.st.isComplete() {
			continue
		}
		if to := t.chooseOther(x.st, x.task(), x.runner, now); to != nil {
			return displacement{x, to}, true
		}
	}
	return d, false
}

// mayBeDisplaced reports whether a run may be moved for the sake of another task.
func (x *run) mayBeDisplaced(now time.Time) bool {
	spec := x.st.spec
	return spec.LongRunning && !spec.Gang && spec.MaxUnavailable == nil && x.phase == running && x.hasStatus &&
		!x.st.s.state.IsFinal() && now.Sub(x.startedAt) >= settledAfter
}
