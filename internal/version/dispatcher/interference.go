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

// Parameters of the interference model. The tail latency of a service grows as
// 1/(1-u) with its utilisation u, which is the sum of its load, the share of its
// capacity that its own requests take, and of the pressure, the share that
// best-effort images on the same runner take. Pressures are per core of a runner
// with referenceCores.
const (
	referenceCores = 32.0
	// idleTailRatio is the assumed ratio of a service's tail latency to its target
	// without load, until a lower one was measured.
	idleTailRatio = 0.22
	// lightLoad is the load that a service is assumed to have had when its lowest
	// tail latency was measured.
	lightLoad = 0.2
	// unknownLoad is assumed for a service that was not measured yet.
	unknownLoad = 0.6
	// leastLoad is the lower bound of an estimate of a service's load.
	leastLoad = 0.1
	// baseError is the error of a load that is estimated from the tail latency of a
	// task under no pressure. Pressure adds to the error.
	baseError = 0.03
	// loadGrowth is how much a service's load may grow while a best-effort task
	// runs beside it.
	loadGrowth = 0.2
	// peakDecay is how much the peak of a service's load falls per second.
	peakDecay = 0.01
	// targetMargin is how far a service's predicted utilisation has to stay below
	// the utilisation at which its tail latency reaches its target.
	targetMargin = 0.09
	// minPressure is the pressure from which a best-effort task counts as a cause
	// of a tail latency above its target.
	minPressure = 0.03
	// reliefMargin is how far below the utilisation at its target a service is
	// brought after its tail latency has exceeded the target.
	reliefMargin = 0.03
	// saturation is the utilisation above which a tail latency shows that the
	// utilisation is high, but not how high.
	saturation = 0.93
)

// Parameters of the reaction to tail latencies above their targets.
const (
	// haltShare is the share of Limits.HarmAfter for which a tail latency may exceed
	// its target before all best-effort tasks on the runner halt.
	haltShare = 0.45
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

// An interferenceModel predicts how best-effort images raise the tail latencies of
// serving images on the same runner.
type interferenceModel struct {
	pressures  *isolator.PressureModel
	lowestTail map[string]float64 // lowest measured tail latency by serving image, ms
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{pressures: isolator.NewPressureModel(), lowestTail: make(map[string]float64)}
}

// idleTail estimates the tail latency, in milliseconds, that a service has without
// load and pressure.
func (m interferenceModel) idleTail(st *stepState) float64 {
	idle := idleTailRatio * targetMillis(st)
	if least, ok := m.lowestTail[st.spec.Image]; ok {
		idle = min(idle, least*(1-lightLoad))
	}
	return idle
}

// utilisation returns the share of a service's capacity that is in use when its tail
// latency is as given, in milliseconds.
func (m interferenceModel) utilisation(st *stepState, tail float64) float64 {
	return max(0, 1-m.idleTail(st)/max(tail, 0.001))
}

// targetMillis returns the tail latency target of a step in milliseconds.
func targetMillis(st *stepState) float64 {
	return max(0.001, st.spec.TailTarget.Seconds()*1000)
}

// coresOf returns the cores that are the same share of a runner with referenceCores
// as the given milliCores are of this runner.
func (r *runner) coresOf(milliCores float64) float64 {
	return milliCores / float64(max(1, r.info.Capacity.MilliCores)) * referenceCores
}

// observe updates the model from the newest measurements of a runner's runs. The
// utilisation that follows from a tail latency is the sum of the service's load,
// which is assumed to be the same for all tasks of its step, and of the pressure on
// the runner.
func (m interferenceModel) observe(r *runner, now time.Time) {
	cores := make(map[string]float64)
	for _, x := range r.runs {
		if x.st.spec.Fills && x.hasStatus && x.measure > 0 {
			cores[x.st.spec.Image] += r.coresOf(x.measure)
		}
	}
	for _, x := range r.runs {
		if !x.isServing() || x.measure <= 0 {
			continue
		}
		image := x.st.spec.Image
		if least, ok := m.lowestTail[image]; !ok || x.measure < least {
			m.lowestTail[image] = x.measure
		}
		x.utilisation, x.utilisationAt = m.utilisation(x.st, x.measure), now
		x.pressure = 0
		for other, used := range cores {
			x.pressure += m.pressures.PerCore(image, other) * used
		}
		load := x.st.load(now)
		x.st.updatePeak(load, now)
		if len(cores) == 0 || now.Sub(r.bestEffortEndedAt) < measureSpan {
			continue // without best-effort tasks, or with one that ended during the measurement
		}
		observedPressure := x.utilisation - load
		if x.utilisation > saturation && observedPressure < x.pressure {
			continue // at saturation, the pressure may be higher than observed
		}
		m.pressures.Learn(image, observedPressure, cores)
	}
}

// load estimates the current load of a service, as a share of its capacity, from the
// utilisations of all tasks of its step. Tasks under little pressure have the most
// weight, as the loads estimated from them have the smallest errors.
func (st *stepState) load(now time.Time) float64 {
	sum, weights := 0.0, 0.0
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			if now.Sub(x.utilisationAt) > 2*measureSpan || x.utilisation > saturation {
				continue
			}
			weight := 1 / ((baseError + x.pressure) * (baseError + x.pressure))
			sum += weight * (x.utilisation - x.pressure)
			weights += weight
		}
	}
	if weights == 0 {
		return unknownLoad
	}
	return min(unknownLoad+0.05, max(leastLoad, sum/weights))
}

// updatePeak updates the peak of a service's load with a newly estimated load. The peak falls
// linearly by peakDecay per second, but never below the new load.
func (st *stepState) updatePeak(load float64, now time.Time) {
	if st.peakAt.IsZero() {
		st.peak = max(load, unknownLoad)
	}
	st.peak = max(load, st.peak-peakDecay*now.Sub(st.peakAt).Seconds())
	st.peakAt, st.lastLoad = now, load
}

// expectedLoad returns the highest load to be expected of a service while a
// best-effort task runs.
func (st *stepState) expectedLoad(now time.Time) float64 {
	if st.peakAt.IsZero() || now.Sub(st.peakAt) > 2*measureSpan {
		return unknownLoad
	}
	return min(st.peak, unknownLoad+0.05, st.lastLoad+loadGrowth)
}

// isServing reports whether a run is ready and has a tail latency target.
func (x *run) isServing() bool {
	return x.st.spec.TailTarget > 0 && x.hasStatus && x.phase == running && x.percent >= 100
}

// headroom returns the smallest share of its capacity that any service on a runner
// would have left before its tail latency reaches its target, if one more task of a
// best-effort step ran beside it. It is negative if that task must not be added.
func (m interferenceModel) headroom(r *runner, added *stepState, now time.Time) float64 {
	if len(r.services) == 0 {
		return math.Inf(1)
	}
	least := math.Inf(1)
	for image, st := range r.services {
		room := m.utilisation(st, targetMillis(st)) - targetMargin - st.expectedLoad(now)
		for other, milliCores := range r.bestEffortByImage {
			room -= m.pressures.PerCore(image, other) * r.coresOf(float64(milliCores))
		}
		room -= m.pressures.PerCore(image, added.spec.Image) * r.coresOf(float64(added.spec.MilliCores))
		least = min(least, room)
	}
	return least
}

// adjustUse updates the totals of the runs on a runner, which are kept by kind and
// image of their steps, when a run of a step is added (sign 1) or removed (sign -1).
func (r *runner) adjustUse(st *stepState, sign int64) {
	image := st.spec.Image
	r.expectedUse += float64(sign) * expectedUse(st)
	if st.spec.Fills {
		r.bestEffortMilliCores += sign * st.spec.MilliCores
		if r.bestEffortByImage[image] += sign * st.spec.MilliCores; r.bestEffortByImage[image] <= 0 {
			delete(r.bestEffortByImage, image)
		}
	}
	if st.spec.TailTarget > 0 {
		r.serving += int(sign)
		r.servingByImage[image] += int(sign)
		if r.servingByImage[image] > 0 {
			r.services[image] = st
		} else {
			delete(r.services, image)
			delete(r.servingByImage, image)
		}
	}
}

// watchTails moves or halts best-effort tasks depending on the tail latencies of
// serving tasks on the same runner.
//
// Load: pairs of images that interfere with each other far more than others, which
// nobody has declared. When a tail latency exceeds its target, the learnt pressures
// identify the images that cause it. Their tasks move to other runners, where they
// keep their progress. If that does not help in time, all best-effort tasks on the
// runner halt.
func (t *Table) watchTails(r *runner, now time.Time) {
	t.interference.observe(r, now)
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
		t.resume(r, now)
	}
	if since.IsZero() || r.bestEffortMilliCores == 0 {
		return
	}
	if over := now.Sub(since); over >= time.Duration(haltShare*float64(t.limits.HarmAfter)) {
		t.halt(r, now)
	} else {
		t.evictInterfering(r, now)
	}
}

// evictInterfering stops as many of the interfering best-effort tasks as needed to
// bring the worst tail latency below its target. Tasks that would lose their
// progress are halted instead.
func (t *Table) evictInterfering(r *runner, now time.Time) {
	worst, excess := t.worstService(r, now)
	if worst == nil {
		return
	}
	image := worst.st.spec.Image
	var tasks []*run
	pressureOf := func(x *run) float64 {
		return t.interference.pressures.PerCore(image, x.st.spec.Image) * r.coresOf(float64(x.st.spec.MilliCores))
	}
	for _, x := range r.runs {
		if !x.st.spec.Fills {
			continue
		}
		if x.phase == stopping || x.pace == 0 {
			excess -= pressureOf(x) // the measured tail latency still includes this pressure
		} else {
			tasks = append(tasks, x)
		}
	}
	slices.SortFunc(tasks, func(a, b *run) int {
		return cmp.Or(cmp.Compare(pressureOf(b), pressureOf(a)), b.startedAt.Compare(a.startedAt))
	})
	for _, x := range tasks {
		if excess <= 0 || pressureOf(x) < minPressure {
			return
		}
		excess -= pressureOf(x)
		if x.st.spec.Checkpointing {
			t.stop(x, now, "disturbs a service")
		} else {
			t.paceRun(x, 0, now)
			r.halted = true
		}
	}
}

// worstService returns the run whose service has the most utilisation above that at
// its tail latency target, and by how much its utilisation has to fall. It returns
// nil if no service exceeds its target.
func (t *Table) worstService(r *runner, now time.Time) (worst *run, excess float64) {
	for _, x := range r.runs {
		if !x.isServing() || x.overSince.IsZero() {
			continue
		}
		utilisation := x.utilisation
		if utilisation > saturation {
			utilisation = max(utilisation, x.st.load(now)+x.pressure)
		}
		over := utilisation - t.interference.utilisation(x.st, targetMillis(x.st)) + reliefMargin
		if over > excess {
			worst, excess = x, over
		}
	}
	return worst, excess
}

// halt sets the pace of every best-effort task on a runner to zero.
func (t *Table) halt(r *runner, now time.Time) {
	r.halted = true
	for _, x := range r.runsByAge() {
		if x.st.spec.Fills && x.phase != stopping && x.pace > 0 {
			t.paceRun(x, 0, now)
		}
	}
}

// resume restores the full pace of halted tasks on a runner.
func (t *Table) resume(r *runner, now time.Time) {
	r.halted = false
	for _, x := range r.runsByAge() {
		if x.st.spec.Fills && x.phase != stopping && x.pace < fullPace {
			t.paceRun(x, fullPace, now)
		}
	}
}

// fullPace is the pace at which a task starts, in percent.
const fullPace = 100

// paceRun orders the pace of a run, in percent of its full speed.
func (t *Table) paceRun(x *run, pace int, now time.Time) {
	x.pace = pace
	t.recordRun(now, EventPaced, x, "pace "+strconv.Itoa(pace))
	t.orders = append(t.orders, Order{
		Kind: Pace, Runner: x.runner.info.ID, Lifetime: x.runner.info.Lifetime,
		Task: x.id(), Run: x.number, Percent: pace,
	})
}

// ApplyPace applies the outcome of a pace order, and repeats the order if it was not
// answered and is still wanted.
func (t *Table) ApplyPace(o Order, outcome Outcome, now time.Time) {
	x := t.find(o)
	if x == nil || outcome != Unanswered || x.phase == stopping {
		return
	}
	if x.pace == o.Percent && now.Sub(x.runner.answeredAt) < staleAfter {
		t.paceRun(x, o.Percent, now)
	}
}

// A Memory is what an owner has learnt about interference and passes on to its
// successors.
type Memory struct {
	Pressures []isolator.PressureState `json:"pressures"`
	// LeastTail is the lowest measured tail latency by serving image, in
	// milliseconds.
	LeastTail map[string]float64 `json:"leastTail"`
}

// Memory returns what was learnt about interference.
func (t *Table) Memory() Memory {
	return Memory{Pressures: t.interference.pressures.State(), LeastTail: maps.Clone(t.interference.lowestTail)}
}

// RestoreMemory loads what a former owner has learnt about interference.
func (t *Table) RestoreMemory(m Memory) {
	t.interference.pressures.Restore(m.Pressures)
	for image, tail := range m.LeastTail {
		if tail > 0 {
			t.interference.lowestTail[image] = tail
		}
	}
}
