package dispatcher

import (
	"maps"
	"math"
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
	loadGrowth = 0.1
	// peakDecay is how much the peak of a service's load falls per second.
	peakDecay = 0.01
	// targetMargin is how far a service's predicted utilisation has to stay below
	// the utilisation at which its tail latency reaches its target.
	targetMargin = 0.06
	// saturation is the utilisation above which a tail latency shows that the
	// utilisation is high, but not how high.
	saturation = 0.93
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
		if len(cores) == 0 || now.Sub(r.bestEffortChangedAt) < measureSpan {
			continue // without best-effort tasks, or with one that ended or was slowed down during the measurement
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

// A serviceRoom is what a service on a runner leaves to best-effort tasks, as shares of its
// capacity.
type serviceRoom struct {
	image string
	// room is the share that best-effort tasks may take, and bestEffort and background are
	// those that all that run there and those in the background take.
	room, bestEffort, background float64
}

// rooms returns the rooms of the services on a runner. During a placement pass they change
// only with the runs there.
func (t *Table) rooms(r *runner, now time.Time) []serviceRoom {
	if t.pass != 0 && r.roomsPass == t.pass {
		return r.rooms
	}
	m := t.interference
	r.rooms, r.roomsPass = r.rooms[:0], t.pass
	for image, st := range r.services {
		room := m.utilisation(st, targetMillis(st)) - targetMargin - st.expectedLoad(now)
		if measured, ok := r.room[image]; ok && now.Sub(r.roomAt) <= 2*measureSpan {
			room = min(room, measured)
		}
		r.rooms = append(r.rooms, serviceRoom{image, room, m.pressureOf(r, &r.bestEffort, image), m.pressureOf(r, &r.background, image)})
	}
	return r.rooms
}

// headroom returns the smallest share of its capacity that any service on a runner
// would have left before its tail latency reaches its target, if one more task of a
// best-effort step ran beside the best-effort runs there. It is negative if that task must
// not be added.
func (t *Table) headroom(r *runner, added *stepState, now time.Time) float64 {
	least := math.Inf(1)
	for _, s := range t.rooms(r, now) {
		least = min(least, s.room-(s.bestEffort+t.pressureOfTask(r, s.image, added, 1)))
	}
	return least
}

// backgroundHeadroom returns the same for a task in the background beside such runs only.
func (t *Table) backgroundHeadroom(r *runner, added *stepState, now time.Time) float64 {
	least := math.Inf(1)
	for _, s := range t.rooms(r, now) {
		least = min(least, s.room-(s.background+t.pressureOfTask(r, s.image, added, backgroundPace)))
	}
	return least
}

// pressureOfTask returns the pressure of one task of a best-effort step on a serving image at
// a pace, as a share of full speed.
func (t *Table) pressureOfTask(r *runner, image string, added *stepState, pace float64) float64 {
	return t.interference.pressures.PerCore(image, added.spec.Image) * r.coresOf(pace*float64(added.spec.MilliCores))
}

// pressureOf returns the pressure of some best-effort runs on a runner on a serving image.
func (m interferenceModel) pressureOf(r *runner, use *bestEffortUse, image string) (pressure float64) {
	for other, milliCores := range use.byImage {
		pressure += m.pressures.PerCore(image, other) * r.coresOf(float64(milliCores))
	}
	return pressure
}

// match rates a runner for a task of a best-effort step, from 0 to 1: by the part of the
// room of the services there that the task takes, or withoutServices if there is none.
//
// Load: best-effort images of which each disturbs some services and hardly any others.
// Tasks go beside the services that they hardly disturb, so that the runners without
// services are left for those that disturb all.
func (t *Table) match(r *runner, added *stepState, now time.Time) float64 {
	const withoutServices = 0.7
	if len(r.services) == 0 {
		return withoutServices
	}
	headroom := t.headroom(r, added, now)
	largest := 0.0
	for image := range r.services {
		largest = max(largest, t.pressureOfTask(r, image, added, 1))
	}
	return 1 - min(1, 2*largest/max(0.001, headroom+largest))
}

// adjustUse updates the totals of the runs on a runner, which are kept by kind and
// image of their steps, when a run is added (sign 1) or removed (sign -1).
func (r *runner) adjustUse(x *run, sign int64) {
	st, image := x.st, x.st.spec.Image
	r.roomsPass = 0
	r.expectedUse += float64(sign) * expectedUse(st)
	switch {
	case x.isSlow:
		r.background.add(st, st.backgroundMilliCores(), sign)
		r.bestEffort.add(st, st.backgroundMilliCores(), sign)
	case st.spec.Fills:
		r.bestEffort.add(st, st.spec.MilliCores, sign)
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
