package dispatcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
)

// Figures of the model of disturbance. A service's tail grows as 1/(1-u) with
// the share u of its capacity that its own load and the pressure of filling
// images take together. Pressures are per core of a runner of referenceCores.
const (
	referenceCores = 32.0
	// idleTail is the share of the target at which the tail of a service
	// without load is assumed, until a lower one was measured.
	idleTail = 0.22
	// lightLoad is the least load that a service is assumed to have had.
	lightLoad = 0.2
	// unknownLoad is assumed of a service that was not measured yet.
	unknownLoad = 0.6
	// leastLoad is the least load that is believed of a service.
	leastLoad = 0.1
	// pressureDoubt is the error of a tail that is under no pressure.
	pressureDoubt = 0.03
	// loadGrowth is how much a load may grow while a filling task runs.
	loadGrowth = 0.2
	// loadMemory is how fast the peak of a service's load is forgotten, per
	// second.
	loadMemory = 0.01
	// targetMargin is kept between the predicted share and that at which a
	// tail reaches its target.
	targetMargin = 0.09
	// culpritShare is the pressure from which a filling image counts as a cause
	// of a tail over its target.
	culpritShare = 0.03
	// reliefMargin is how far below its target a tail that was over it is
	// brought.
	reliefMargin = 0.03
	// saturated is the share above which tails tell no more than that it is
	// high.
	saturated = 0.93
)

// Times of the reaction to tails over their target.
const (
	// haltShare is the share of the tolerated time after which all filling
	// tasks on the runner halt.
	haltShare = 0.45
	// measureSpan is the time over which a runner measures.
	measureSpan = 600 * time.Millisecond
	// resumeAfter is the time for which all tails have to be calm before
	// halted tasks go on.
	resumeAfter = 1200 * time.Millisecond
	// calmTarget is the share of the target below which a tail is calm.
	calmTarget = 0.8
	// watchedTail is the share of the target from which a tail is looked at
	// often: a load that swings by half in some seconds can bring it over.
	watchedTail = 0.6
	// unknownTail is assumed of services that are not at work yet.
	unknownTail = 1.0
)

// A disturbance is what is known of images that share runners.
type disturbance struct {
	learner *isolator.PressureModel
	least   map[string]float64 // least tail seen by serving image, ms
}

func newDisturbance() disturbance {
	return disturbance{learner: isolator.NewPressureModel(), least: make(map[string]float64)}
}

// idle returns the tail of a service without load in milliseconds.
func (d disturbance) idle(st *stepState) float64 {
	idle := idleTail * targetMillis(st)
	if least, ok := d.least[st.spec.Image]; ok {
		idle = min(idle, least*(1-lightLoad))
	}
	return idle
}

// share returns which share of a service's capacity a tail says is taken.
func (d disturbance) share(st *stepState, tail float64) float64 {
	return max(0, 1-d.idle(st)/max(tail, 0.001))
}

func targetMillis(st *stepState) float64 {
	return max(0.001, st.spec.TailTarget.Seconds()*1000)
}

// coresOf scales milliCores on a runner to cores of the reference runner.
func (r *runner) coresOf(milliCores float64) float64 {
	return milliCores / float64(max(1, r.info.Capacity.MilliCores)) * referenceCores
}

// observe learns from one list of a runner. Each tail tells the sum of a
// service's load, which is the same for all tasks of its step, and of the
// pressure on its runner.
func (d disturbance) observe(r *runner, now time.Time) {
	cores := make(map[string]float64)
	for _, x := range r.runs {
		if x.st.spec.Fills && x.hasRow && x.measure > 0 {
			cores[x.st.spec.Image] += r.coresOf(x.measure)
		}
	}
	for _, x := range r.runs {
		if !x.isServing() || x.measure <= 0 {
			continue
		}
		image := x.st.spec.Image
		if least, ok := d.least[image]; !ok || x.measure < least {
			d.least[image] = x.measure
		}
		x.share, x.sharedAt = d.share(x.st, x.measure), now
		x.pressure = 0
		for filler, used := range cores {
			x.pressure += d.learner.PerCore(image, filler) * used
		}
		load := x.st.load(now)
		x.st.notePeak(load, now)
		if len(cores) == 0 || now.Sub(r.fillLeftAt) < measureSpan {
			continue // what left may have raised the tail
		}
		lacked := x.share - load
		if x.share > saturated && lacked < x.pressure {
			continue // the pressure may be as high as expected
		}
		d.learner.Learn(image, lacked, cores)
	}
}

// load estimates the share that a service's own load takes now, from all tasks
// of its step; those under little pressure tell most.
func (st *stepState) load(now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			if now.Sub(x.sharedAt) > 2*measureSpan || x.share > saturated {
				continue
			}
			weight := 1 / ((pressureDoubt + x.pressure) * (pressureDoubt + x.pressure))
			sum += weight * (x.share - x.pressure)
			weights += weight
		}
	}
	if weights == 0 {
		return unknownLoad
	}
	return min(unknownLoad+0.05, max(leastLoad, sum/weights))
}

// notePeak remembers the highest load of the last seconds.
func (st *stepState) notePeak(load float64, now time.Time) {
	if st.peakAt.IsZero() {
		st.peak = max(load, unknownLoad)
	}
	st.peak = max(load, st.peak-loadMemory*now.Sub(st.peakAt).Seconds())
	st.peakAt, st.lastLoad = now, load
}

// loadAhead returns the highest load to be expected of a service while a
// filling task runs.
func (st *stepState) loadAhead(now time.Time) float64 {
	if st.peakAt.IsZero() || now.Sub(st.peakAt) > 2*measureSpan {
		return unknownLoad
	}
	return min(st.peak, unknownLoad+0.05, st.lastLoad+loadGrowth)
}

// isServing reports whether a run is at work and has a tail to be kept.
func (x *run) isServing() bool {
	return x.st.spec.TailTarget > 0 && x.hasRow && x.phase == running && x.percent >= 100
}

// headroom returns which share of their capacity the services of a runner would
// have left, below their targets, beside one more task of a filling step.
func (d disturbance) headroom(r *runner, fill *stepState, now time.Time) float64 {
	if len(r.services) == 0 {
		return math.Inf(1)
	}
	least := math.Inf(1)
	for image, st := range r.services {
		room := d.share(st, targetMillis(st)) - targetMargin - st.loadAhead(now)
		for other, milliCores := range r.fillers {
			room -= d.learner.PerCore(image, other) * r.coresOf(float64(milliCores))
		}
		room -= d.learner.PerCore(image, fill.spec.Image) * r.coresOf(float64(fill.spec.MilliCores))
		least = min(least, room)
	}
	return least
}

// countImages updates the images on a runner when a run comes or goes.
func (r *runner) countImages(st *stepState, sign int64) {
	image := st.spec.Image
	r.claimed += float64(sign) * claimed(st)
	if st.spec.Fills {
		r.fills += sign * st.spec.MilliCores
		if r.fillers[image] += sign * st.spec.MilliCores; r.fillers[image] <= 0 {
			delete(r.fillers, image)
		}
	}
	if st.spec.TailTarget > 0 {
		r.serving += int(sign)
		r.servingOf[image] += int(sign)
		if r.servingOf[image] > 0 {
			r.services[image] = st
		} else {
			delete(r.services, image)
			delete(r.servingOf, image)
		}
	}
}

// watchTails moves or paces filling tasks by the tails of those that serve on
// the same runner.
//
// Load: pairs of images that disturb each other far more than others, and that
// nobody has declared. A tail over its target names the images to blame, by
// what was learnt; they move to other runners, where they keep their progress.
// If that does not help in time, everything that fills there halts.
func (t *Table) watchTails(r *runner, now time.Time) {
	t.disturbed.observe(r, now)
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
		r.worstTail = unknownTail
	}
	if worst >= calmTarget {
		r.calmSince = time.Time{}
	} else if r.calmSince.IsZero() {
		r.calmSince = now
	}
	if r.halted && (r.serving == 0 || (!r.calmSince.IsZero() && now.Sub(r.calmSince) > resumeAfter)) {
		t.resume(r, now)
	}
	if since.IsZero() || r.fills == 0 {
		return
	}
	if over := now.Sub(since); over >= time.Duration(haltShare*float64(t.limits.HarmAfter)) {
		t.halt(r, now)
	} else {
		t.moveCulprits(r, now)
	}
}

// moveCulprits stops as many of the filling tasks to blame as it takes to bring
// the worst tail under its target. Those that would lose their progress halt.
func (t *Table) moveCulprits(r *runner, now time.Time) {
	worst, excess := t.worstService(r, now)
	if worst == nil {
		return
	}
	image := worst.st.spec.Image
	var fills []*run
	press := func(x *run) float64 {
		return t.disturbed.learner.PerCore(image, x.st.spec.Image) * r.coresOf(float64(x.st.spec.MilliCores))
	}
	for _, x := range r.runs {
		if !x.st.spec.Fills {
			continue
		}
		if x.phase == stopping || x.pace == 0 {
			excess -= press(x) // its effect is still in the tail
		} else {
			fills = append(fills, x)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		return cmp.Or(cmp.Compare(press(b), press(a)), b.startedAt.Compare(a.startedAt))
	})
	for _, x := range fills {
		if excess <= 0 || press(x) < culpritShare {
			return
		}
		excess -= press(x)
		if x.st.spec.Checkpointing {
			t.stop(x, now, "disturbs a service")
		} else {
			t.paceRun(x, 0, now)
			r.halted = true
		}
	}
}

// worstService returns the service furthest over its target, and by which share
// of its capacity the pressure has to fall.
func (t *Table) worstService(r *runner, now time.Time) (worst *run, excess float64) {
	for _, x := range r.runs {
		if !x.isServing() || x.overSince.IsZero() {
			continue
		}
		share := x.share
		if share > saturated {
			share = max(share, x.st.load(now)+x.pressure)
		}
		over := share - t.disturbed.share(x.st, targetMillis(x.st)) + reliefMargin
		if over > excess {
			worst, excess = x, over
		}
	}
	return worst, excess
}

// halt paces every filling task on a runner down to nothing.
func (t *Table) halt(r *runner, now time.Time) {
	r.halted = true
	for _, x := range r.sorted() {
		if x.st.spec.Fills && x.phase != stopping && x.pace > 0 {
			t.paceRun(x, 0, now)
		}
	}
}

// resume lets halted tasks go on.
func (t *Table) resume(r *runner, now time.Time) {
	r.halted = false
	for _, x := range r.sorted() {
		if x.st.spec.Fills && x.phase != stopping && x.pace < fullPace {
			t.paceRun(x, fullPace, now)
		}
	}
}

// fullPace is the pace of a task at its start, in percent.
const fullPace = 100

func (t *Table) paceRun(x *run, pace int, now time.Time) {
	x.pace = pace
	t.recordRun(now, EventPaced, x, "pace "+strconv.Itoa(pace))
	t.orders = append(t.orders, Order{
		Kind: Pace, Runner: x.runner.info.ID, Lifetime: x.runner.info.Lifetime,
		Task: x.id(), Run: x.number, Percent: pace,
	})
}

// Paced takes in the outcome of a change of pace.
func (t *Table) Paced(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil || outcome != Unanswered || x.phase == stopping {
		return
	}
	if x.pace == o.Percent && now.Sub(x.runner.heardAt) < staleAfter {
		t.paceRun(x, o.Percent, now)
	}
}

// A Memory is what an owner has learnt and its successors should know.
type Memory struct {
	Pressures []isolator.PressureState `json:"pressures"`
	LeastTail map[string]float64       `json:"leastTail"`
}

// Memory returns what was learnt.
func (t *Table) Memory() Memory {
	return Memory{Pressures: t.disturbed.learner.State(), LeastTail: maps.Clone(t.disturbed.least)}
}

// RestoreMemory takes over what a former owner has learnt.
func (t *Table) RestoreMemory(m Memory) {
	t.disturbed.learner.Restore(m.Pressures)
	for image, tail := range m.LeastTail {
		if tail > 0 {
			t.disturbed.least[image] = tail
		}
	}
}
