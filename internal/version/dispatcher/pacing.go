package dispatcher

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/pacer"
)

// Parameters of the reaction to tail latencies above their targets.
const (
	// haltShare is the share of Limits.HarmAfter for which a tail latency may exceed
	// its target before all best-effort tasks on the runner halt.
	haltShare = 0.45
	// paceMargin is how far below the utilisation at its tail latency target the
	// best-effort tasks beside a service are to keep it.
	paceMargin = 0.035
	// slowPace is the pace up to which a task is moved to another runner with room, if
	// it has been that slow for slowFor. A move costs it a restart.
	slowPace = 30
	slowFor  = 700 * time.Millisecond
	// nearlyDone is the progress in percent from which a task is not moved.
	nearlyDone = 85
	// measureSpan is the longest time before a report that the measurements in the
	// report cover.
	measureSpan = 600 * time.Millisecond
	// resumeAfter is the time for which all tail latencies have to be calm before
	// halted tasks resume.
	resumeAfter = 1200 * time.Millisecond
	// calmTailRatio is the ratio to its target below which a tail latency is calm.
	calmTailRatio = 0.8
	// watchedTailRatio is the ratio of a tail latency to its target from which the
	// runner is polled often: a load that changes by half within some seconds can
	// raise a tail latency of this ratio above its target.
	watchedTailRatio = 0.6
	// unknownTailRatio is the ratio of a tail latency to its target that is assumed
	// for a runner on which no service is ready yet.
	unknownTailRatio = 1.0
)

// watchTails paces, moves or halts best-effort tasks depending on the tail latencies of
// serving tasks on the same runner.
//
// Load: pairs of images that interfere with each other far more than others, which
// nobody has declared, and services whose load rises and falls within seconds. The
// learnt pressures tell how fast the best-effort tasks may run. If that does not keep a
// tail latency below its target, all of them halt.
func (t *Table) watchTails(r *runner, now time.Time) {
	t.interference.observe(r, now)
	t.interference.updateRoom(r, now)
	worst := 0.0
	var since time.Time
	for _, x := range r.runs {
		if !x.isServing() {
			continue
		}
		ratio := x.measure / targetMillis(x.st)
		worst = max(worst, ratio)
		switch {
		case ratio <= 1:
			x.overSince = time.Time{}
		case x.overSince.IsZero():
			x.overSince = now
		}
		if !x.overSince.IsZero() && (since.IsZero() || x.overSince.Before(since)) {
			since = x.overSince
		}
	}
	if r.worstTail = worst; worst == 0 {
		r.worstTail = unknownTailRatio
	}
	if worst >= calmTailRatio {
		r.calmSince = time.Time{}
	} else if r.calmSince.IsZero() {
		r.calmSince = now
	}
	if r.halted && (r.serving == 0 || (!r.calmSince.IsZero() && now.Sub(r.calmSince) > resumeAfter)) {
		r.halted = false
	}
	if !since.IsZero() && now.Sub(since) >= time.Duration(haltShare*float64(t.limits.HarmAfter)) {
		r.halted = true
	}
	t.steer(r, now)
}

// steer sets the paces of the best-effort tasks on a runner by the room that the
// services there have, and moves a task that has to be slow for long.
func (t *Table) steer(r *runner, now time.Time) {
	t.paceBackground(r, now)
	runs := r.bestEffortRuns()
	if len(runs) == 0 || t.needsNoChange(r, runs) {
		return
	}
	t.setPaces(r, runs, now)
	t.moveSlow(runs, now)
}

// bestEffortRuns returns the best-effort runs on a runner that are not being stopped, other
// than those in the background, oldest first.
func (r *runner) bestEffortRuns() (runs []*run) {
	for _, x := range r.runs {
		if x.st.spec.Fills && !x.isSlow && x.phase != stopping {
			runs = append(runs, x)
		}
	}
	sortByAge(runs)
	return runs
}

// setPaces sets the paces of the best-effort runs on a runner.
func (t *Table) setPaces(r *runner, runs []*run, now time.Time) {
	for i, pace := range t.paces(r, runs) {
		t.paceRun(runs[i], pace, now)
	}
}

// needsNoChange reports whether all best-effort tasks on a runner run at full pace, and
// no service there has more of its capacity in use than it may have.
func (t *Table) needsNoChange(r *runner, runs []*run) bool {
	if r.halted {
		return false
	}
	for _, x := range runs {
		if x.pace != fullPace || x.confirmedPace != fullPace {
			return false
		}
	}
	for _, x := range r.runs {
		if x.isServing() && x.utilisation > t.interference.utilisation(x.st, targetMillis(x.st))-paceMargin {
			return false
		}
	}
	return true
}

// paces returns the pace of each of the best-effort runs on a runner.
func (t *Table) paces(r *runner, runs []*run) []int {
	if r.halted {
		return make([]int, len(runs))
	}
	images := slices.Sorted(maps.Keys(r.room))
	room := make([]float64, len(images))
	for k, image := range images {
		room[k] = r.room[image] - t.interference.pressureOf(r, &r.background, image)
	}
	tasks := make([]pacer.Task, len(runs))
	for i, x := range runs {
		tasks[i].Pace = x.pace
		cores := r.coresOf(float64(x.st.spec.MilliCores))
		tasks[i].Shares = make([]float64, len(images))
		for k, image := range images {
			tasks[i].Shares[k] = cores * t.interference.pressures.PerCore(image, x.st.spec.Image)
		}
	}
	return pacer.Paces(room, tasks)
}

// updateRoom computes, by serving image, the share of its capacity that best-effort
// tasks on a runner may take: the least of all runs of the image there whose tail latency
// has just been measured. A run may show a load that the other tasks of its step don't
// have.
func (m interferenceModel) updateRoom(r *runner, now time.Time) {
	clear(r.room)
	r.roomAt = now
	for _, x := range r.runs {
		if !x.isServing() || x.measure <= 0 {
			continue
		}
		room := m.utilisation(x.st, targetMillis(x.st)) - paceMargin - (x.utilisation - x.pressure)
		if least, ok := r.room[x.st.spec.Image]; !ok || room < least {
			r.room[x.st.spec.Image] = room
		}
	}
}

// moveSlow stops the task that has been slow for longest, if it keeps its progress and
// another runner has room for it.
func (t *Table) moveSlow(runs []*run, now time.Time) {
	var slowest *run
	for _, x := range runs {
		switch {
		case x.pace > slowPace:
			x.slowSince = time.Time{}
		case x.slowSince.IsZero():
			x.slowSince = now
		}
		if !x.slowSince.IsZero() && x.st.spec.Checkpointing && x.percent < nearlyDone && (slowest == nil || x.slowSince.Before(slowest.slowSince)) {
			slowest = x
		}
	}
	if slowest == nil || now.Sub(slowest.slowSince) < slowFor {
		return
	}
	if other := t.chooseOther(slowest.st, slowest.task(), slowest.runner, now); other != nil {
		t.stop(slowest, now, "disturbs a service")
	}
}

// fullPace is the pace at which a task starts, in percent.
const fullPace = pacer.Full

// unknownPace stands for the pace of a run whose runner has not confirmed one.
const unknownPace = -1

// paceRun sets the pace of a run, in percent of its full speed, and orders it unless an
// order is under way: its outcome orders the pace that is wanted then. Orders of one run
// never overtake each other, as there is at most one at a time.
func (t *Table) paceRun(x *run, pace int, now time.Time) {
	x.pace = pace
	if x.isPaceOrdered || x.confirmedPace == pace {
		return
	}
	x.isPaceOrdered = true
	t.recordRun(now, EventPaced, x, "pace "+strconv.Itoa(pace))
	o := newOrder(Pace, x.runner, runKey{x.id(), x.number})
	o.Percent = pace
	t.orders = append(t.orders, o)
}

// ApplyPace applies the outcome of a pace order. If the order was not answered, or
// another pace is wanted meanwhile, it orders a pace again; if the runner refused the
// order, the next report does.
func (t *Table) ApplyPace(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil {
		return
	}
	x.isPaceOrdered = false
	x.confirmedPace = unknownPace
	switch outcome {
	case Succeeded:
		x.confirmedPace = o.Percent
	case Unanswered:
	default:
		return
	}
	if x.phase != stopping && now.Sub(x.runner.answeredAt) < staleAfter {
		t.paceRun(x, x.pace, now)
	}
}
