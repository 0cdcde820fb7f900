package dispatcher

import (
	"maps"
	"strconv"
	"time"
)

// Times of the watch on tasks without a run.
const (
	// warnAfter is how long a task may wait before the reason is recorded.
	warnAfter = 3 * time.Second
	// warnInterval is the pause before it is recorded again.
	warnInterval = 10 * time.Second
)

// watchWaiting records why tasks of ready steps have had no run for long. Best-effort
// tasks wait for what others leave and are left out.
func (t *Table) watchWaiting(now time.Time) {
	for _, s := range t.unfinished() {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if st.spec.Fills || !st.ready || st.waiting == 0 {
					st.waitingSince = time.Time{}
					continue
				}
				if st.waitingSince.IsZero() {
					st.waitingSince = now
				}
				if now.Sub(st.waitingSince) >= warnAfter && now.Sub(st.warnedAt) >= warnInterval {
					st.warnedAt = now
					t.recordWaiting(st, now)
				}
			}
		}
	}
}

func (t *Table) recordWaiting(st *stepState, now time.Time) {
	pairs := []string{
		"step", strconv.Itoa(st.index), "waiting", strconv.Itoa(st.waiting), "waitedMs", age(now, st.waitingSince),
		"allRunsKnown", strconv.FormatBool(t.knowsAllRuns(now)),
	}
	obstacles := make(map[obstacle]int)
	for _, r := range t.runners {
		obstacles[t.obstacle(r, st, now)]++
	}
	for name := range maps.Keys(obstacles) {
		pairs = append(pairs, string(name), strconv.Itoa(obstacles[name]))
	}
	t.record(now, EventWaiting, st.s, "", pairs...)
}

// An obstacle is what keeps the tasks of a step from a runner, as it appears in logs.
type obstacle string

// Obstacles.
const (
	eligible     obstacle = "eligible"
	otherService obstacle = "otherService"
	unregistered obstacle = "unregistered"
	leaving      obstacle = "leaving"
	runsUnknown  obstacle = "runsUnknown"
	suspended    obstacle = "suspended"
	silent       obstacle = "silent"
	full         obstacle = "full"
	memoryFull   obstacle = "memoryFull" // enough processors, but not the rest
	reserved     obstacle = "reserved"
	notPermitted obstacle = "notPermitted"
	excluded     obstacle = "excluded"
)

// obstacle returns what keeps the tasks of a step from a runner.
func (t *Table) obstacle(r *runner, st *stepState, now time.Time) obstacle {
	switch {
	case !st.s.isServedBy(r.info.Service):
		return otherService
	case !r.isRegistered:
		return unregistered
	case r.info.Draining || t.isEvacuated(r.info.DataCentre):
		return leaving
	case !t.knowsRunsOn(r, now):
		return runsUnknown
	case now.Before(r.suspendedUntil):
		return suspended
	case now.Sub(r.answeredAt) > staleAfter:
		return silent
	case st.spec.Reserved().MilliCores > r.free().MilliCores:
		return full
	case !st.spec.Reserved().Fits(r.free()):
		return memoryFull
	case t.isReservedFor(r, st):
		return reserved
	case !st.isPermitted(r, now):
		return notPermitted
	case !t.isEligible(r, st, &task{}, now):
		return excluded
	}
	return eligible
}
