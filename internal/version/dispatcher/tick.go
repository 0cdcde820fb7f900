package dispatcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// discard drops the events of placements that are undone.
var discard recorder.Recorder = recorder.Discard{}

const (
	// stopRetryAfter is the pause, in addition to Limits.StopTimeout, before a stop
	// that has not ended its run is repeated.
	stopRetryAfter = 700 * time.Millisecond
	// stallAfter is the time without progress after which a run is stopped, so that
	// its task is started again.
	stallAfter = 3 * time.Second
	// copyAfter is the time without progress of a run, or without an answer of its
	// runner, after which a second copy of a speculative task is started.
	copyAfter = 1200 * time.Millisecond
)

// manyRunners is the number of runners above which an owner reacts more slowly to
// save processor time. The hosts of smaller deployments have processor time to
// spare.
const manyRunners = 150

// Tick applies the passing of time: it ends the runs whose leases have lapsed,
// repeats stops without effect and stops runs without progress. What it decides does not
// depend on the order of maps, so that the plays of tests can be repeated.
func (t *Table) Tick(now time.Time) {
	t.lapseAll(now)
	var watched []*run
	for _, r := range t.runners {
		if !r.isRegistered && len(r.runs) == 0 && t.hasLapsed(r, now) && !r.hasRunsAdrift(now) {
			t.dropRunner(r)
			continue
		}
		for _, x := range r.runs {
			if x.needsWatch(now) {
				watched = append(watched, x)
			}
		}
	}
	sortByAge(watched)
	for _, x := range watched {
		t.watchRun(x, now)
	}
	maps.DeleteFunc(t.earlyCancels, func(_ string, at time.Time) bool { return now.Sub(at) > earlyCancelRetention })
	maps.DeleteFunc(t.moved, func(_ string, d departure) bool { return now.Sub(d.at) > movedRetention })
	t.watchWaiting(now)
	t.watchAwaited(now)
	t.planRoom(now)
	t.moveFromLeaving(now)
	t.consolidate(now)
	t.watchKept(now)
	t.placementDue = true
}

// lapseAll ends the runs whose leases have lapsed.
func (t *Table) lapseAll(now time.Time) {
	var lapsed []*runner
	for _, r := range t.runners {
		if len(r.runs) > 0 && t.hasLapsed(r, now) {
			lapsed = append(lapsed, r)
		}
	}
	slices.SortFunc(lapsed, func(a, b *runner) int { return strings.Compare(a.info.ID, b.info.ID) })
	for _, r := range lapsed {
		t.lapse(r, now)
	}
}

// lapse ends the runs on a runner whose own leases have lapsed.
func (t *Table) lapse(r *runner, now time.Time) {
	lapsed := slices.DeleteFunc(r.runsByAge(), func(x *run) bool { return !t.runHasLapsed(x, now) })
	if len(lapsed) == 0 {
		return
	}
	t.recordRunner(now, EventRunnerLapsed, r, "no lease renewal was answered")
	l := r.loss()
	r.lapsed = append(r.lapsed, l.suspects...)
	defer t.blame(l, now)
	for _, x := range lapsed {
		t.end(x, now, "lease lapsed")
		if !x.isLocated {
			r.adrift = append(r.adrift, x)
		}
	}
}

// needsWatch reports whether watchRun may act on a run, which is rarely so.
func (x *run) needsWatch(now time.Time) bool {
	if x.phase == stopping {
		return true
	}
	stalledFor := now.Sub(x.progressedAt)
	silentFor := now.Sub(x.runner.answeredAt)
	if x.mayHaveCopy(now) {
		return true
	}
	isReady := x.st.spec.LongRunning && x.percent >= 100
	return stalledFor >= stallAfter && silentFor <= time.Second && !isReady
}

// mayHaveCopy reports whether a run of a speculative task makes so little progress that a
// copy may start.
func (x *run) mayHaveCopy(now time.Time) bool {
	return x.st.spec.Speculative && !x.isSlow && (now.Sub(x.progressedAt) > copyAfter || now.Sub(x.runner.answeredAt) > copyAfter)
}

// stallsAfter returns the time without progress after which a run is stopped.
func (x *run) stallsAfter() time.Duration {
	if x.isSlow {
		return stallAfter * fullPace / backgroundPercent
	}
	return stallAfter
}

// watchRun repeats the stop of a run if it had no effect, starts a second copy of a
// speculative task, and stops a run without progress so that its task is started
// again.
func (t *Table) watchRun(x *run, now time.Time) {
	if x.phase == stopping {
		if now.Sub(x.stopOrderedAt) > stopRetryAfter+t.limits.StopTimeout {
			t.orderStop(x, now)
		}
		return
	}
	if x.phase != running || x.st.spec.Gang {
		return
	}
	stalledFor := now.Sub(x.progressedAt)
	silentFor := now.Sub(x.runner.answeredAt)
	if x.mayHaveCopy(now) && len(x.task().runs) == 1 && !x.task().done {
		if !t.knowsAllRuns(now) || t.isQueueFull() || x.mayHaveCrashed(now) {
			return // the owner may not know all failures of the task yet, or is busy
		}
		if r := t.chooseOther(x.st, x.task(), x.runner, now); r != nil {
			t.start(x.st, x.index, r, now)
		}
		return
	}
	isReady := x.st.spec.LongRunning && x.percent >= 100
	if stalledFor < x.stallsAfter() || silentFor > time.Second || isReady || (x.pace < fullPace && !x.isSlow) || x.pace == 0 {
		return
	}
	if x.st.spec.Fills && x.measure > 0 {
		return
	}
	x.task().avoid, x.task().avoidedAt = x.runner.info.ID, now
	if !x.st.spec.Fills { // a best-effort task may only lack processor time
		t.countFailure(x.runner, x.st.s.sub.ID, now)
	}
	t.stop(x, now, "no progress")
}

// Expired returns the IDs of up to limit submissions that ended more than
// finalRetention ago. Their final state is durable, and their records may be deleted.
func (t *Table) Expired(limit int, now time.Time) (ids []string) {
	for _, f := range t.finished {
		if len(ids) == limit || now.Sub(f.at) <= finalRetention {
			break
		}
		if s, ok := t.subs[f.id]; ok && s.durableState.IsFinal() && !s.isDirty {
			ids = append(ids, f.id)
		}
	}
	return ids
}

// Forget drops submissions whose records were deleted.
func (t *Table) Forget(ids []string) {
	gone := make(map[string]bool, len(ids))
	for _, id := range ids {
		gone[id] = true
		delete(t.subs, id)
	}
	t.finished = slices.DeleteFunc(t.finished, func(f finishedSubmission) bool { return gone[f.id] })
}

// NeedsFrequentPolls reports whether a runner has best-effort tasks beside serving
// tasks, so that it has to be polled often. An owner of many runners does not poll a
// runner often while the tail latencies there are far below their targets.
//
// Load: several hundred runners that all have serving and best-effort tasks. Polling
// all of them often takes most of an owner's processor time.
func (t *Table) NeedsFrequentPolls(id string) bool {
	r, ok := t.runners[id]
	return ok && r.serving > 0 && r.bestEffort.runs > 0 && (!t.isLarge() || r.worstTail >= watchedTailRatio)
}

// isLarge reports whether the owner has so many runners that it has to save
// processor time.
func (t *Table) isLarge() bool { return len(t.runners) > manyRunners }

// IsSilent reports whether a runner has not answered its last poll.
func (t *Table) IsSilent(id string) bool {
	r, ok := t.runners[id]
	return ok && !r.silentSince.IsZero()
}

// IsIdle reports whether nothing runs on a runner.
func (t *Table) IsIdle(id string) bool {
	r, ok := t.runners[id]
	return !ok || len(r.runs) == 0
}
