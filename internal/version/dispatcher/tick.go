package dispatcher

import (
	"strconv"
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

// Tick takes in the passing of time.
func (t *Table) Tick(now time.Time) {
	for id, r := range t.runners {
		t.lapse(r, now)
		if !r.listed && len(r.runs) == 0 && now.After(t.lapsedBy(r)) {
			delete(t.runners, id)
			continue
		}
		for _, x := range r.runs {
			t.watchRun(x, now)
		}
	}
	t.recheck = true
	t.forget(now)
}

// lapse ends the runs of a runner whose leases must have run out.
func (t *Table) lapse(r *runner, now time.Time) {
	if len(r.runs) == 0 || now.Before(t.lapsedBy(r)) {
		return
	}
	t.recordRunner(now, EventRunnerLapsed, r, "no renewal was answered")
	t.dropRuns(r, now, "lease lapsed")
}

// watchRun repeats stops and moves tasks that stand still.
func (t *Table) watchRun(x *run, now time.Time) {
	if x.phase == stopping {
		if now.Sub(x.confirmed) > stopAgainAfter+t.limits.StopTimeout {
			x.confirmed = now
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
	t.strike(x.runner, x.st.s.sub.ID, now)
	t.stop(x, now, "no progress")
}

// forget drops submissions that have ended long ago.
func (t *Table) forget(now time.Time) {
	for len(t.finals) > 0 && now.Sub(t.finals[0].at) > finalRetention {
		delete(t.subs, t.finals[0].id)
		t.finals = t.finals[1:]
	}
}

// Bounds of the control of filling tasks beside serving ones.
const (
	// nearTarget is the share of the tail target at which pacing begins.
	nearTarget = 0.9
	// calmTarget is the share of the tail target below which pace is returned.
	calmTarget = 0.6
	// calmFor is how long all tails have to be calm before pace is returned.
	calmFor = 2 * time.Second
	// settleFor is the time between two changes of pace.
	settleFor = 600 * time.Millisecond
	// paceStep is the percentage returned at once.
	paceStep = 20
)

// watchTails paces the filling tasks of a runner by the tails of those that
// serve there.
//
// Load: filling tasks that press on a serving task for longer than it may be
// disturbed. Pace is halved at once, and returned slowly once tails are calm.
func (t *Table) watchTails(r *runner, now time.Time) {
	if r.serving == 0 {
		if r.throttled {
			t.setPace(r, 100, now)
		}
		return
	}
	worst := 0.0
	for _, x := range r.runs {
		if x.st.spec.TailTarget > 0 && x.hasRow && x.phase == running {
			worst = max(worst, x.measure/float64(x.st.spec.TailTarget.Milliseconds()))
		}
	}
	if worst >= calmTarget {
		r.calmSince = time.Time{}
	} else if r.calmSince.IsZero() {
		r.calmSince = now
	}
	if now.Sub(r.pacedAt) < settleFor {
		return
	}
	switch {
	case worst >= nearTarget && r.fills > 0 && r.pace > 0:
		pace := r.pace / 2
		if pace < 20 || worst > 1.5 {
			pace = 0
		}
		t.setPace(r, pace, now)
	case r.throttled && !r.calmSince.IsZero() && now.Sub(r.calmSince) > calmFor:
		t.setPace(r, min(100, r.pace+paceStep), now)
	}
}

// setPace gives all filling tasks of a runner another pace.
func (t *Table) setPace(r *runner, pace int, now time.Time) {
	r.pace, r.pacedAt, r.throttled = pace, now, pace < 100
	t.recordRunner(now, EventPaced, r, "pace "+strconv.Itoa(pace))
	for _, x := range r.runs {
		if x.st.spec.Fills && x.phase != stopping {
			t.paceRun(x, pace)
		}
	}
}

func (t *Table) paceRun(x *run, pace int) {
	x.pace = pace
	t.orders = append(t.orders, Order{
		Kind: Pace, Runner: x.runner.info.ID, Lifetime: x.runner.info.Lifetime,
		Task: x.id(), Run: x.number, Percent: pace,
	})
}

// Contended reports whether a runner has tasks that serve beside tasks that
// fill, so that it has to be looked at often.
func (t *Table) Contended(id string) bool {
	r, ok := t.runners[id]
	return ok && r.serving > 0 && r.fills > 0
}

// IsIdle reports whether nothing runs on a runner.
func (t *Table) IsIdle(id string) bool {
	r, ok := t.runners[id]
	return !ok || len(r.runs) == 0
}
