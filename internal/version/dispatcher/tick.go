package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// discard drops events of placements that are taken back.
var discard recorder.Recorder = recorder.Discard{}

const (
	// stopAgainAfter is the pause before a stop without effect is repeated.
	stopAgainAfter = 700 * time.Millisecond
	// stallAfter is the time without progress after which a task is moved.
	stallAfter = 3 * time.Second
	// copyAfter is the time without progress, or of silence, after which a
	// second copy of a speculative task is started.
	copyAfter = 1200 * time.Millisecond
)

// manyRunners is the number of runners from which an owner trades reaction time
// for processor time: the hosts of smaller deployments have some to spare.
const manyRunners = 150

// Tick takes in the passing of time.
func (t *Table) Tick(now time.Time) {
	for id, r := range t.runners {
		t.lapse(r, now)
		if !r.listed && len(r.runs) == 0 && t.hasLapsed(r, now) {
			delete(t.runners, id)
			continue
		}
		for _, x := range r.runs {
			t.watchRun(x, now)
		}
	}
	t.recheck = true
}

// lapse ends the runs of a runner whose leases must have run out.
func (t *Table) lapse(r *runner, now time.Time) {
	if len(r.runs) == 0 || !t.hasLapsed(r, now) {
		return
	}
	t.recordRunner(now, EventRunnerLapsed, r, "no renewal was answered")
	t.dropRuns(r, now, "lease lapsed")
}

// watchRun repeats stops and moves tasks that stand still.
func (t *Table) watchRun(x *run, now time.Time) {
	if x.phase == stopping {
		if now.Sub(x.orderedAt) > stopAgainAfter+t.limits.StopTimeout {
			x.orderedAt = now
			t.orders = append(t.orders, t.stopOrder(x))
		}
		return
	}
	if x.phase != running || x.st.spec.Gang {
		return
	}
	still := now.Sub(x.movedAt)
	silent := now.Sub(x.runner.heardAt)
	if x.st.spec.Speculative && (still > copyAfter || silent > copyAfter) && len(x.task().runs) == 1 && !x.task().done {
		if !t.isCertain(now) {
			return // failures of the task may not be known yet
		}
		if r := t.choose(x.st, x.task(), now); r != nil && r != x.runner {
			t.start(x.st, x.index, r, now)
		}
		return
	}
	atWork := x.st.spec.LongRunning && x.percent >= 100
	if still < stallAfter || silent > time.Second || atWork || x.pace < 100 {
		return
	}
	if x.st.spec.Fills && x.measure > 0 {
		return
	}
	x.task().avoid = x.runner.info.ID
	if !x.st.spec.Fills { // what fills may just find no processor
		t.strike(x.runner, x.st.s.sub.ID, now)
	}
	t.stop(x, now, "no progress")
}

// Expired returns up to limit submissions that ended so long ago that nobody
// asks for them any more. Their records may be deleted.
func (t *Table) Expired(limit int, now time.Time) (ids []string) {
	for _, f := range t.finals {
		if len(ids) == limit || now.Sub(f.at) <= finalRetention {
			break
		}
		if s, ok := t.subs[f.id]; ok && s.shown.IsFinal() && !s.isDirty {
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
	t.finals = slices.DeleteFunc(t.finals, func(f final) bool { return gone[f.id] })
}

// NeedsFrequentPolls reports whether a runner has tasks that fill beside tasks that
// serve, so that it has to be looked at often. Among many runners, those whose
// tails are far below their targets are left out.
//
// Load: several hundred runners that all have both. Their looks take most of an
// owner's processor time.
func (t *Table) NeedsFrequentPolls(id string) bool {
	r, ok := t.runners[id]
	return ok && r.serving > 0 && r.fills > 0 && (!t.isLarge() || r.worstTail >= watchedTail)
}

// isLarge reports whether the owner has to be sparing with its processor time.
func (t *Table) isLarge() bool { return len(t.runners) > manyRunners }

// IsIdle reports whether nothing runs on a runner.
func (t *Table) IsIdle(id string) bool {
	r, ok := t.runners[id]
	return !ok || len(r.runs) == 0
}
