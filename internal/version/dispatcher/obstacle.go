package dispatcher

import "time"

// An obstacle is what keeps a task from a runner, as it appears in logs.
type obstacle string

// Obstacles.
const (
	eligible     obstacle = "eligible" // none
	otherService obstacle = "otherService"
	unregistered obstacle = "unregistered"
	leaving      obstacle = "leaving"
	runsUnknown  obstacle = "runsUnknown"
	suspended    obstacle = "suspended"
	silent       obstacle = "silent"
	full         obstacle = "full"
	memoryFull   obstacle = "memoryFull" // enough processors, but not the rest
	reserved     obstacle = "reserved"   // for other tasks
	owed         obstacle = "owed"       // to long-running tasks that have run before
	isolated     obstacle = "isolated"   // the task, or one there, may crash runners
	excluded     obstacle = "excluded"   // by the step, or services there
	avoided      obstacle = "avoided"    // the task failed there
	notPermitted obstacle = "notPermitted"
	// Obstacles of best-effort tasks.
	halted     obstacle = "halted"     // best-effort tasks have been halted there
	notSpare   obstacle = "notSpare"   // other tasks there are expected to use the processors
	unpaced    obstacle = "unpaced"    // a start in the background there has full speed yet
	disturbing obstacle = "disturbing" // the task would disturb a service there
)

// obstacle returns what keeps a task from a runner now, apart from permits.
func (t *Table) obstacle(r *runner, st *stepState, k *task, now time.Time) obstacle {
	switch wanted := st.spec.Reserved(); {
	case !st.s.isServedBy(r.info.Service):
		return otherService
	case !r.isRegistered, !r.hasEntry():
		return unregistered
	case r.info.Draining, t.isEvacuated(r.info.DataCentre):
		return leaving
	case !t.knowsRunsOn(r, now):
		return runsUnknown
	case now.Before(r.pausedUntil), now.Before(r.suspendedUntil) && !st.needsLastResort(now):
		return suspended
	case now.Sub(r.answeredAt) > staleAfter:
		return silent
	case wanted.MilliCores > r.free().MilliCores:
		return full
	case !wanted.Fits(r.free()):
		return memoryFull
	case !wanted.Fits(t.unreserved(r, st, k)):
		return reserved
	case t.isOwed(r, st, k):
		return owed
	case t.keepsApart(r, st, k, now):
		return isolated
	case !st.allows(r):
		return excluded
	case t.avoids(r, st, k, now):
		return avoided
	case st.spec.Fills:
		return t.bestEffortObstacle(r, st, now)
	}
	return eligible
}

// bestEffortObstacle returns whether the other tasks on a runner leave enough for one more
// task of a best-effort step, and what is missing if not.
func (t *Table) bestEffortObstacle(r *runner, st *stepState, now time.Time) obstacle {
	beside, pace, headroom := &r.bestEffort, 1.0, t.headroom
	if t.inBackground(st) {
		if !r.hasMemoryForBackground(st) {
			return memoryFull
		}
		if t.awaitsPace(r, st) {
			return unpaced
		}
		beside, pace, headroom = &r.background, backgroundPace, t.backgroundHeadroom
	}
	switch {
	case r.halted:
		return halted
	case r.spare() < minBestEffortShare*(float64(beside.milliCores)+pace*float64(st.spec.MilliCores)):
		return notSpare
	case headroom(r, st, now) < 0:
		return disturbing
	}
	return eligible
}

// avoidFor is how long a task avoids the runner on which it has failed.
const avoidFor = 2 * time.Second

// avoids reports whether a task is to start on another runner since it failed on this one,
// which may be the cause. It does not wait for another one longer than avoidFor, and not at
// all if no other may run it.
func (t *Table) avoids(r *runner, st *stepState, k *task, now time.Time) bool {
	if k.avoid != r.info.ID || k.failures.Count() == 0 || now.Sub(k.avoidedAt) >= avoidFor {
		return false
	}
	for _, other := range t.runners {
		if other != r && t.mayRun(other, st) {
			return true
		}
	}
	return false
}

// mayRun reports whether a runner may get a task of a step once it has room.
func (t *Table) mayRun(r *runner, st *stepState) bool {
	return st.s.isServed && t.mayServe(r, st.need())
}
