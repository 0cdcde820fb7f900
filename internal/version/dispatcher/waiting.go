package dispatcher

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// Times of the watch on tasks without a run.
const (
	// warnAfter is how long a task may wait before the reason is recorded.
	warnAfter = 3 * time.Second
	// warnInterval is the pause before it is recorded again.
	warnInterval = 10 * time.Second
	// resumedAfter is how long nothing of an occurrence has run when its next start is recorded.
	resumedAfter = 10 * time.Second
	// bestEffortWarnings and otherWarnings are the numbers of best-effort steps and of others
	// that are recorded at a tick.
	bestEffortWarnings = 2
	otherWarnings      = 8
)

// attempts counts what became of the attempts to start a step since it waits.
type attempts struct {
	failed     int // all runners were tried and none could take the task
	passedOver int // no runner was tried, as none had room for a task of the shape before
	startsThen int // starts of the table when the step began to wait
}

// watchWaiting records why tasks of ready steps have had no run for long. Best-effort
// steps wait for what others leave: they count once nothing of them runs.
func (t *Table) watchWaiting(now time.Time) {
	left := map[bool]int{true: bestEffortWarnings, false: otherWarnings}
	for _, s := range t.unfinished() {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if !st.isWaiting() {
					st.waitingSince = time.Time{}
					continue
				}
				if st.waitingSince.IsZero() {
					st.waitingSince, st.attempts = now, attempts{startsThen: t.starts}
				}
				if now.Sub(st.waitingSince) < warnAfter || now.Sub(st.warnedAt) < warnInterval {
					continue
				}
				if left[st.spec.Fills] == 0 {
					continue
				}
				left[st.spec.Fills]--
				st.warnedAt = now
				t.recordWaiting(st, now)
			}
		}
	}
}

// isWaiting reports whether a step has tasks that could run and don't, or, if it is a
// best-effort step, has no run at all.
func (st *stepState) isWaiting() bool {
	return st.ready && st.waiting > 0 && (!st.spec.Fills || st.waiting == st.remaining)
}

func (t *Table) recordWaiting(st *stepState, now time.Time) {
	if t.isOwedBackgroundStart(st, now) {
		t.background = st // the obstacles are those of such a start
		defer func() { t.background = nil }()
	}
	pairs := []string{
		"inBackground", strconv.FormatBool(t.inBackground(st)), "idleMs", st.occ.idleAge(now),
		"step", strconv.Itoa(st.index), "waiting", strconv.Itoa(st.waiting), "waitedMs", age(now, st.waitingSince),
		"allRunsKnown", strconv.FormatBool(t.knowsAllRuns(now)),
		"failedAttempts", strconv.Itoa(st.attempts.failed), "passedOver", strconv.Itoa(st.attempts.passedOver),
		"startsMeanwhile", strconv.Itoa(t.starts - st.attempts.startsThen), "queuedStarts", strconv.Itoa(t.queuedStarts),
	}
	obstacles := make(map[obstacle]int)
	var mostFree int64
	probe := t.anyWaiting(st, now)
	for _, r := range t.runners {
		o := t.obstacle(r, st, probe, now)
		if o == eligible && !st.isPermitted(r, now) {
			o = notPermitted
		}
		obstacles[o]++
		if o == full {
			mostFree = max(mostFree, r.free().MilliCores)
		}
	}
	if n := st.avoiding(); n > 0 {
		pairs = append(pairs, "avoiding", strconv.Itoa(n))
	}
	var status Status
	status.addProcessors(t)
	for name, milliCores := range map[string]int64{
		"wantsMilliCores": st.spec.MilliCores, "mostFreeMilliCores": mostFree, "freeMilliCores": status.Free,
		"longRunningMilliCores": status.LongRunning, "capacityMilliCores": status.Capacity,
	} {
		pairs = append(pairs, name, strconv.FormatInt(milliCores, 10))
	}
	if awaited := t.awaitedIDs(now); awaited != "" {
		pairs = append(pairs, "awaits", awaited)
	}
	for o, runners := range obstacles {
		pairs = append(pairs, string(o), strconv.Itoa(runners))
	}
	t.record(now, EventWaiting, st.s, "", pairs...)
}

// idleAge returns the milliseconds for which nothing of an occurrence has run, as far as this
// owner knows, as it appears in logs.
func (o *occurrence) idleAge(now time.Time) string {
	if o.runs > 0 {
		return "0"
	}
	return age(now, o.idleSince())
}

// recordResumed records the start of a run before which nothing of its occurrence has run for
// long.
func (t *Table) recordResumed(x *run, now time.Time) {
	if x.idleBefore < resumedAfter {
		return
	}
	waited := x.st.attempts
	t.record(now, EventResumed, x.st.s, x.runner.info.ID,
		"idleMs", strconv.FormatInt(x.idleBefore.Milliseconds(), 10), "ownedMs", age(now, t.ownedSince),
		"reason", x.placement(), "failedAttempts", strconv.Itoa(waited.failed), "passedOver", strconv.Itoa(waited.passedOver))
}

// avoiding returns the number of waiting tasks of a step that avoid a runner.
func (st *stepState) avoiding() (n int) {
	for i := range st.tasks {
		if k := &st.tasks[i]; !k.done && len(k.runs) == 0 && k.avoid != "" {
			n++
		}
	}
	return n
}

// maxAwaitedIDs is the number of awaited runners that an event names.
const maxAwaitedIDs = 3

// awaitedIDs names some of the runners that are awaited.
func (t *Table) awaitedIDs(now time.Time) string {
	var ids []string
	for _, r := range t.awaited(now, maxAwaitedIDs) {
		ids = append(ids, r.info.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// watchAwaited records when all runs of former owners have become known.
func (t *Table) watchAwaited(now time.Time) {
	last := t.lastAwaited
	t.lastAwaited = t.awaitedIDs(now)
	if last != "" && t.lastAwaited == "" {
		t.rec.Record(now, EventRunsKnown, recorder.Fields{"waitedMs": age(now, t.ownedSince), "awaited": last})
	}
}
