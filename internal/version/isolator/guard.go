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
	// highSlowdown is the slowdown of a service, in percent, above which batch
	// tasks have to give way.
	highSlowdown = 15.0
	// lowSlowdown is the slowdown below which they get processors back. The gap
	// is the hysteresis that keeps the guard from switching on small changes.
	lowSlowdown = 6.0
	// calmReadings is the number of low measurements in a row before a step back.
	calmReadings = 4
	// throttleStep is the percentage of processors withheld by one step.
	throttleStep = 25
	// maxThrottle is the percentage beyond which a task is evicted instead.
	maxThrottle = 75
	// settle is the time after a step before which measurements do not count,
	// besides those made before the step.
	settle = time.Second
)

// Advice is what a guard wants done.
type Advice struct {
	// Throttles sets the percentage withheld from tasks; zero lifts it.
	Throttles []placer.Displacement
	// Evictions are tasks to evict.
	Evictions []string
}

// A post is what a guard knows of one worker.
type post struct {
	throttles map[string]int
	steppedAt time.Time
	calm      int
}

// A Guard decides, worker by worker, which batch tasks give way to services. It
// is not safe for concurrent use.
type Guard struct {
	learner *Learner
	posts   map[string]*post
}

// NewGuard returns a guard that learns as it observes.
func NewGuard(learner *Learner) *Guard {
	return &Guard{learner: learner, posts: make(map[string]*post)}
}

// Observe takes in the measurements of all tasks of one worker and returns
// what to do there. Measurements lag: those made before the last step had its
// effect are learnt from, but cause no step.
func (g *Guard) Observe(worker string, readings []Reading, now time.Time) Advice {
	g.learner.Observe(readings)
	p := g.post(worker)
	p.forgetGone(readings)
	worst, at, ok := worstService(readings)
	if !ok {
		return g.release(worker, p, now)
	}
	if !at.After(p.steppedAt.Add(settle)) {
		return Advice{}
	}
	switch {
	case worst.slowdown() > highSlowdown:
		p.calm = 0
		return g.tighten(worker, p, worst.Class, readings, now)
	case worst.slowdown() < lowSlowdown:
		p.calm++
		if p.calm < calmReadings {
			return Advice{}
		}
		p.calm = 0
		return g.loosen(worker, p, worst.Class, readings, now)
	default:
		p.calm = 0
		return Advice{}
	}
}

func (g *Guard) post(worker string) *post {
	p, ok := g.posts[worker]
	if !ok {
		p = &post{throttles: make(map[string]int)}
		g.posts[worker] = p
	}
	return p
}

// Forget drops what is known of a worker.
func (g *Guard) Forget(worker string) { delete(g.posts, worker) }

// forgetGone drops the throttles of tasks that no longer run on the worker.
func (p *post) forgetGone(readings []Reading) {
	for task := range p.throttles {
		if !slices.ContainsFunc(readings, func(r Reading) bool { return r.Task == task }) {
			delete(p.throttles, task)
		}
	}
}

// worstService returns the most slowed service and when it was measured.
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

// tighten withholds processors from the batch task that slows the service
// most, or evicts it if it has been throttled as far as possible.
func (g *Guard) tighten(worker string, p *post, service string, readings []Reading, now time.Time) Advice {
	tasks := g.byHarm(service, readings, now)
	if len(tasks) == 0 {
		return Advice{}
	}
	p.steppedAt = now
	for _, task := range tasks {
		if p.throttles[task.Task] < maxThrottle {
			return p.throttle(worker, task.Task, p.throttles[task.Task]+throttleStep)
		}
	}
	worst := tasks[0].Task
	delete(p.throttles, worst)
	return Advice{Evictions: []string{worst}}
}

// loosen gives processors back to the throttled task that slows the service
// least.
func (g *Guard) loosen(worker string, p *post, service string, readings []Reading, now time.Time) Advice {
	tasks := g.byHarm(service, readings, now)
	for i := len(tasks) - 1; i >= 0; i-- {
		if held := p.throttles[tasks[i].Task]; held > 0 {
			p.steppedAt = now
			return p.throttle(worker, tasks[i].Task, held-throttleStep)
		}
	}
	return Advice{}
}

// release lifts all throttles of a worker without services.
func (g *Guard) release(worker string, p *post, now time.Time) Advice {
	var advice Advice
	for task, held := range p.throttles {
		if held > 0 {
			advice.Throttles = append(advice.Throttles, placer.Displacement{Task: task, Worker: worker})
		}
	}
	if len(advice.Throttles) > 0 {
		p.steppedAt = now
	}
	clear(p.throttles)
	return advice
}

// throttle notes and returns a new percentage for one task.
func (p *post) throttle(worker, task string, percent int) Advice {
	p.throttles[task] = percent
	return Advice{Throttles: []placer.Displacement{{Task: task, Worker: worker, Throttle: percent}}}
}

// byHarm returns the batch tasks, those that slow the service most first.
func (g *Guard) byHarm(service string, readings []Reading, now time.Time) []Reading {
	var tasks []Reading
	for _, reading := range readings {
		if !reading.LatencyCritical {
			tasks = append(tasks, reading)
		}
	}
	harm := func(r Reading) float64 {
		return g.learner.Slowdown(service, r.Class, now) * float64(r.MilliCores)
	}
	slices.SortStableFunc(tasks, func(a, b Reading) int {
		if order := cmp.Compare(harm(b), harm(a)); order != 0 {
			return order
		}
		return cmp.Compare(a.Task, b.Task)
	})
	return tasks
}
