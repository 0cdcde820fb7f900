package isolator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// SlowdownLimit is the estimated slowdown of a service, in percent, up to
	// which placement adds batch tasks to its worker.
	SlowdownLimit = 13.0
	// highSlowdown is the slowdown of a service, in percent, above which a batch
	// task on its worker is throttled or evicted.
	highSlowdown = 15.0
	// lowSlowdown is the slowdown of a service, in percent, below which a throttle
	// is reduced. The gap to highSlowdown is a hysteresis that keeps small changes
	// from switching throttles back and forth.
	lowSlowdown = 6.0
	// lowReadingsToLoosen is the number of consecutive readings below lowSlowdown
	// after which a throttle is reduced.
	lowReadingsToLoosen = 4
	// throttleStep is the percentage of processors by which one step changes a
	// throttle.
	throttleStep = 25
	// maxThrottle is the largest throttle, in percent. If all batch tasks of a
	// worker have reached it, the next step evicts one.
	maxThrottle = 75
	// settleTime is the time that a step needs to take effect. Readings made
	// before its end cause no further step.
	settleTime = time.Second
)

// Advice lists the changes that a guard asks for on one worker.
type Advice struct {
	// Throttles sets the percentage that is withheld from each task; zero lifts
	// the throttle.
	Throttles []placer.Displacement
	// Evictions lists the tasks to evict.
	Evictions []string
}

// A workerState is the state of the control loop of one worker.
type workerState struct {
	// throttles maps tasks to the percentage of processors that is withheld.
	throttles  map[string]int
	lastStepAt time.Time
	// lowReadings is the number of consecutive readings below lowSlowdown.
	lowReadings int
}

// A Guard throttles and evicts batch tasks that slow down services, separately
// on each worker. It is not safe for concurrent use.
type Guard struct {
	learner *Learner
	workers map[string]*workerState
}

// NewGuard returns a guard that passes all readings to the learner and uses its
// estimates.
func NewGuard(learner *Learner) *Guard {
	return &Guard{learner: learner, workers: make(map[string]*workerState)}
}

// Observe takes the readings of all tasks on one worker and returns the changes
// to make there. Readings arrive late: those that were made before the last step
// has taken effect are passed to the learner but cause no step.
func (g *Guard) Observe(worker string, readings []Reading, now time.Time) Advice {
	g.learner.Observe(readings)
	state := g.workerState(worker)
	state.forgetEndedTasks(readings)
	worst, at, ok := worstService(readings)
	if !ok {
		return g.release(worker, state, now)
	}
	if !at.After(state.lastStepAt.Add(settleTime)) {
		return Advice{}
	}
	switch {
	case worst.slowdown() > highSlowdown:
		state.lowReadings = 0
		return g.tighten(worker, state, worst.Class, readings, now)
	case worst.slowdown() < lowSlowdown:
		state.lowReadings++
		if state.lowReadings < lowReadingsToLoosen {
			return Advice{}
		}
		state.lowReadings = 0
		return g.loosen(worker, state, worst.Class, readings, now)
	default:
		state.lowReadings = 0
		return Advice{}
	}
}

func (g *Guard) workerState(worker string) *workerState {
	state, ok := g.workers[worker]
	if !ok {
		state = &workerState{throttles: make(map[string]int)}
		g.workers[worker] = state
	}
	return state
}

// Forget drops the state of a worker.
func (g *Guard) Forget(worker string) { delete(g.workers, worker) }

// forgetEndedTasks drops the throttles of tasks that no longer run on the
// worker.
func (s *workerState) forgetEndedTasks(readings []Reading) {
	for task := range s.throttles {
		if !slices.ContainsFunc(readings, func(r Reading) bool { return r.Task == task }) {
			delete(s.throttles, task)
		}
	}
}

// worstService returns the reading of the service with the largest slowdown, and
// the time of that reading. ok is false if there is no reading of a service.
func worstService(readings []Reading) (worst Reading, at time.Time, ok bool) {
	for _, reading := range readings {
		if !reading.LatencyCritical || reading.SpeedPercent <= 0 {
			continue
		}
		if !ok || reading.slowdown() > worst.slowdown() {
			worst = reading
		}
		ok = true
	}
	return worst, worst.At, ok
}

// tighten raises the throttle of the batch task that slows down the service
// most. Tasks whose throttle is at maxThrottle are skipped; if that leaves none,
// the task that slows down the service most is evicted.
func (g *Guard) tighten(worker string, state *workerState, service string, readings []Reading, now time.Time) Advice {
	tasks := g.batchTasksBySlowdown(service, readings, now)
	if len(tasks) == 0 {
		return Advice{}
	}
	state.lastStepAt = now
	for _, task := range tasks {
		if state.throttles[task.Task] < maxThrottle {
			return state.setThrottle(worker, task.Task, state.throttles[task.Task]+throttleStep)
		}
	}
	worst := tasks[0].Task
	delete(state.throttles, worst)
	return Advice{Evictions: []string{worst}}
}

// loosen reduces the throttle of the throttled task that slows down the service
// least.
func (g *Guard) loosen(worker string, state *workerState, service string, readings []Reading, now time.Time) Advice {
	tasks := g.batchTasksBySlowdown(service, readings, now)
	for i := len(tasks) - 1; i >= 0; i-- {
		if percent := state.throttles[tasks[i].Task]; percent > 0 {
			state.lastStepAt = now
			return state.setThrottle(worker, tasks[i].Task, percent-throttleStep)
		}
	}
	return Advice{}
}

// release lifts all throttles on a worker without services.
func (g *Guard) release(worker string, state *workerState, now time.Time) Advice {
	var advice Advice
	for task, percent := range state.throttles {
		if percent > 0 {
			advice.Throttles = append(advice.Throttles, placer.Displacement{Task: task, Worker: worker})
		}
	}
	if len(advice.Throttles) > 0 {
		state.lastStepAt = now
	}
	clear(state.throttles)
	return advice
}

// setThrottle stores a new percentage for a task and returns the advice to
// apply it.
func (s *workerState) setThrottle(worker, task string, percent int) Advice {
	s.throttles[task] = percent
	return Advice{Throttles: []placer.Displacement{{Task: task, Worker: worker, Throttle: percent}}}
}

// batchTasksBySlowdown returns the batch tasks on a worker, ordered from the
// largest to the smallest estimated slowdown of the service.
func (g *Guard) batchTasksBySlowdown(service string, readings []Reading, now time.Time) []Reading {
	var tasks []Reading
	for _, reading := range readings {
		if !reading.LatencyCritical {
			tasks = append(tasks, reading)
		}
	}
	slowdown := func(r Reading) float64 {
		return g.learner.Slowdown(service, r.Class, now) * float64(r.MilliCores)
	}
	slices.SortStableFunc(tasks, func(a, b Reading) int {
		if order := cmp.Compare(slowdown(b), slowdown(a)); order != 0 {
			return order
		}
		return cmp.Compare(a.Task, b.Task)
	})
	return tasks
}
