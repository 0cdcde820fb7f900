package dispatcher

import (
	"slices"
	"time"
)

// Best-effort tasks that have their turn run in the background, at backgroundPercent of full
// speed. They start where the services leave room for that pace, whatever other best-effort
// tasks use, as those are slowed down for it. In the order of their submission they get full
// speed, as if they were waiting.
//
// Load: large tasks behind small ones, which take each gap that is too small for a large one
// at full speed.
const (
	backgroundPercent = 5
	backgroundPace    = backgroundPercent / 100.0
	// maxQueuedBackground bounds the starts in the background that are decided and not sent yet.
	maxQueuedBackground = 16
	// backgroundMovePause is the pause between moves of background runs.
	backgroundMovePause = 250 * time.Millisecond
	// backgroundMemoryShare is the largest share of a runner's memory that background runs take.
	backgroundMemoryShare = 0.5
	// backgroundRunCost is what each background run takes off a runner's score for another one.
	backgroundRunCost = 0.01
)

// A bestEffortUse is what some best-effort runs on a runner use.
type bestEffortUse struct {
	milliCores int64
	memoryMB   int64
	byImage    map[string]int64 // milliCores
	runs       int
}

// add adds a run of a step (sign 1) or removes it (sign -1).
func (u *bestEffortUse) add(st *stepState, milliCores, sign int64) {
	image := st.spec.Image
	if u.byImage == nil {
		u.byImage = make(map[string]int64)
	}
	u.milliCores += sign * milliCores
	u.memoryMB += sign * st.spec.MemoryMB
	u.runs += int(sign)
	if u.byImage[image] += sign * milliCores; u.byImage[image] <= 0 {
		delete(u.byImage, image)
	}
}

// inBackground reports whether the tasks of a step are being started in the background.
func (t *Table) inBackground(st *stepState) bool { return t.background == st }

// backgroundMilliCores returns what a task of a step uses in the background.
func (st *stepState) backgroundMilliCores() int64 {
	return st.spec.MilliCores * backgroundPercent / 100
}

// hasMemoryForBackground reports whether a runner may have one more background run of a step,
// as far as the share of memory for such runs is concerned. The first one may exceed it.
func (r *runner) hasMemoryForBackground(st *stepState) bool {
	return r.background.runs == 0 || float64(r.background.memoryMB+st.spec.MemoryMB) <= backgroundMemoryShare*float64(r.info.Capacity.MemoryMB)
}

// haveMemoryForBackground reports the same of all runners.
func (t *Table) haveMemoryForBackground(st *stepState) bool {
	for _, r := range t.runners {
		if !r.hasMemoryForBackground(st) {
			return false
		}
	}
	return true
}

// isUnpaced reports whether a background run may still have full speed: its runner has not
// confirmed its pace yet.
func (x *run) isUnpaced() bool {
	return x.isSlow && x.runner.runs[runKey{x.id(), x.number}] == x && (x.confirmedPace == unknownPace || x.confirmedPace > backgroundPercent)
}

// awaitsPace reports whether a task of a step has to wait until a run that another step has
// started in the background beside the services on a runner has its pace.
//
// Load: many late best-effort submissions. Each start has full speed for some time, and a
// service that bears all of them in the background doesn't bear several such starts.
func (t *Table) awaitsPace(r *runner, st *stepState) bool {
	if r.serving == 0 || r.background.runs == 0 {
		return false
	}
	return slices.ContainsFunc(t.unpaced, func(x *run) bool { return x.runner == r && x.st != st && x.isUnpaced() })
}

// hasUnpaced reports whether a start of a step in the background awaits a pace on any runner,
// whereas one at full speed doesn't.
func (t *Table) hasUnpaced(st *stepState) bool {
	return slices.ContainsFunc(t.unpaced, func(x *run) bool { return x.runner.serving > 0 && x.st != st && x.isUnpaced() })
}

// scoreForBackground rates a runner for a task of a step that starts in the background. It
// has full speed until its runner has its pace, so that runners without services come first,
// and then those whose services would bear it best.
func (t *Table) scoreForBackground(r *runner, st *stepState, now time.Time) float64 {
	return min(1, t.headroom(r, st, now)) - backgroundRunCost*float64(r.background.runs)
}

// isInBackground reports whether a task of a step runs in the background.
func (st *stepState) isInBackground() bool {
	return slices.ContainsFunc(st.occ.background, func(x *run) bool { return x.st == st })
}

// startInBackground starts one task of a step in the background, or a gang.
func (t *Table) startInBackground(st *stepState, allRunsKnown bool, now time.Time) {
	if t.queuedBackground >= maxQueuedBackground {
		return
	}
	t.background = st
	t.startWaiting(st, 1, allRunsKnown, now)
	t.background = nil
}

// promote gives the tasks of a step that run in the background full speed if their runners have
// room, those of a gang all together. The last task of another step moves if only another
// runner has room, one such task at a time, as each sees the same room.
func (t *Table) promote(st *stepState, now time.Time) {
	var slow []*run
	for _, x := range st.occ.background {
		if x.st == st {
			slow = append(slow, x)
		}
	}
	lacksRoom := func(x *run) bool {
		return x.phase != running || x.runner.info.Draining || t.bestEffortObstacle(x.runner, st, now) != eligible
	}
	if st.spec.Gang && slices.ContainsFunc(slow, lacksRoom) {
		return
	}
	for _, x := range slow {
		switch {
		case !lacksRoom(x):
			t.speedUp(x, now)
		case !st.spec.Gang && st.waiting == 0 && x.phase == running && x.percent < fullPace-backgroundPercent && now.Sub(t.backgroundMovedAt) >= backgroundMovePause:
			if t.chooseOther(st, x.task(), x.runner, now) == nil {
				st.blockedAt = now
				continue
			}
			t.backgroundMovedAt = now
			t.stop(x, now, "another runner has room")
		}
	}
}

// speedUp ends the time of a run in the background.
func (t *Table) speedUp(x *run, now time.Time) {
	x.runner.adjustUse(x, -1)
	t.endTurn(x)
	x.isSlow, x.progressedAt = false, now
	x.runner.adjustUse(x, 1)
	t.paceRun(x, fullPace, now)
}

// paceBackground sets the paces of the background runs on a runner.
func (t *Table) paceBackground(r *runner, now time.Time) {
	if r.background.runs == 0 {
		return
	}
	pace := backgroundPercent
	if r.halted {
		pace = 0
	}
	for _, x := range r.runsByAge() {
		if x.isSlow && x.phase == running {
			t.paceRun(x, pace, now)
		}
	}
}
