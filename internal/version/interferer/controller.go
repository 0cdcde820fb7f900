package interferer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// slowLimit is the ratio of a service's latency to that alone above which
	// neighbours are throttled. A throttle is lifted if the ratio is expected to
	// stay below liftLimit afterwards. The gap between them keeps the steps from
	// alternating.
	slowLimit = 1.15
	liftLimit = 1.12
	// slowReadings and calmReadings are the readings in a row that each needs.
	slowReadings = 2
	calmReadings = 6
	// harmless is the part of a service's latency alone that its neighbours
	// must add together before anything is done about them.
	harmless = 0.05
	// throttleStep and maxThrottle are the size and the end of the steps, in
	// percent. After the last step the neighbour is evicted.
	throttleStep = 25
	maxThrottle  = 75
	// settle is the time until the effect of a step shows in measurements,
	// besides their lag.
	settle = 5 * time.Second
)

// A Step is a new throttle of all tasks of a class at a worker, in percent.
type Step struct {
	Class   string
	Percent int
}

// An Advice is what to do at one worker.
type Advice struct {
	Throttles []Step
	Evictions []string
}

// A state is the memory of one worker.
type state struct {
	seen  time.Time
	acted time.Time
	slow  int
	calm  int
	// throttles are the throttles in force by class, in percent.
	throttles map[string]int
}

// A Controller turns readings into steps with hysteresis. It is not safe for
// concurrent use.
type Controller struct {
	learner *Learner
	workers map[string]*state
}

// NewController returns a controller that uses a learner's estimates.
func NewController(learner *Learner) *Controller {
	return &Controller{learner: learner, workers: make(map[string]*state)}
}

// Decide returns what to do about a worker after a reading. Readings that are
// not newer than the last, or that don't show the effect of the last step yet,
// are not counted.
func (c *Controller) Decide(reading *Reading, now time.Time) Advice {
	w, ok := c.workers[reading.Worker]
	if !ok {
		w = &state{throttles: make(map[string]int)}
		c.workers[reading.Worker] = w
	}
	if !reading.At.After(w.seen) {
		return Advice{}
	}
	w.seen = reading.At
	if reading.At.Before(w.acted.Add(settle)) {
		return Advice{}
	}
	w.count(c.worst(reading))
	var advice Advice
	switch {
	case w.slow >= slowReadings:
		advice = c.press(w, reading)
	case w.calm >= calmReadings:
		advice = c.release(w, reading)
	}
	if len(advice.Throttles)+len(advice.Evictions) > 0 {
		w.acted, w.slow, w.calm = now, 0, 0
	}
	for _, step := range advice.Throttles {
		w.throttles[step.Class] = step.Percent
	}
	return advice
}

// Throttle returns the throttle in force for a class at a worker, in percent.
// Tasks that start there later get it too.
func (c *Controller) Throttle(worker, class string) int {
	if w, ok := c.workers[worker]; ok {
		return w.throttles[class]
	}
	return 0
}

// Barred reports whether tasks of a class shall not be placed at a worker
// because the last step of throttling didn't suffice.
func (c *Controller) Barred(worker, class string) bool {
	return c.Throttle(worker, class) >= maxThrottle
}

// count notes whether the reading was slow or calm.
func (w *state) count(ratio float64) {
	if ratio > slowLimit {
		w.slow, w.calm = w.slow+1, 0
	} else {
		w.slow, w.calm = 0, w.calm+1
	}
}

// worst returns the largest ratio of a service's latency to that alone, or to
// its target if that is missed.
func (c *Controller) worst(reading *Reading) float64 {
	worst := 1.0
	for _, service := range reading.Services {
		alone := c.learner.Alone(service.Class)
		if alone <= 0 || service.Latency <= 0 {
			continue
		}
		ratio := float64(service.Latency) / float64(alone)
		if service.Target > 0 && service.Latency > service.Target {
			ratio = max(ratio, slowLimit*float64(service.Latency)/float64(service.Target))
		}
		worst = max(worst, ratio)
	}
	return worst
}

// press takes one step against the class that adds most.
func (c *Controller) press(w *state, reading *Reading) Advice {
	list := c.byHarm(reading)
	if len(list) == 0 || !c.harmful(reading) {
		return Advice{}
	}
	worst := list[0]
	throttle := w.throttles[worst.Class]
	if throttle >= maxThrottle {
		return Advice{Evictions: []string{worst.Task}}
	}
	return Advice{Throttles: []Step{{Class: worst.Class, Percent: min(throttle+throttleStep, maxThrottle)}}}
}

// release takes back one step for the class that adds least, unless that is
// expected to slow a service down again.
func (c *Controller) release(w *state, reading *Reading) Advice {
	for class, throttle := range w.throttles {
		if throttle > 0 && !reading.has(class) {
			return Advice{Throttles: []Step{{Class: class, Percent: throttle - throttleStep}}}
		}
	}
	list := c.byHarm(reading)
	slices.Reverse(list)
	for i := range list {
		throttle := w.throttles[list[i].Class]
		if throttle == 0 {
			continue
		}
		next := throttle - throttleStep
		if c.expected(reading, &list[i], throttle, next) < liftLimit {
			return Advice{Throttles: []Step{{Class: list[i].Class, Percent: next}}}
		}
	}
	return Advice{}
}

// has reports whether tasks of a class run at the worker.
func (r *Reading) has(class string) bool {
	return slices.ContainsFunc(r.Neighbours, func(n Neighbour) bool { return n.Class == class })
}

// expected returns the worst ratio that is expected with another throttle of
// one class.
func (c *Controller) expected(reading *Reading, n *Neighbour, throttle, next int) float64 {
	grown := *n
	grown.Share = n.Share * float64(percent-next) / float64(percent-throttle)
	changed := Reading{Services: slices.Clone(reading.Services)}
	for i := range changed.Services {
		service := &changed.Services[i]
		before, _ := c.learner.added(service.Class, n)
		after, _ := c.learner.added(service.Class, &grown)
		service.Latency += after - before
	}
	return c.worst(&changed)
}

// harmful reports whether the neighbours are the likely cause: their estimated
// part is large enough, or some were not seen often enough to tell.
func (c *Controller) harmful(reading *Reading) bool {
	for _, service := range reading.Services {
		added := time.Duration(0)
		for i := range reading.Neighbours {
			latency, known := c.learner.added(service.Class, &reading.Neighbours[i])
			if !known {
				return true
			}
			added += latency
		}
		if float64(added) > harmless*float64(c.learner.Alone(service.Class)) {
			return true
		}
	}
	return false
}

// byHarm returns the neighbours summed up by class, those that add most to
// all services first. Each names its largest task.
func (c *Controller) byHarm(reading *Reading) []Neighbour {
	list := byClass(reading.Neighbours)
	harm := make(map[string]time.Duration, len(list))
	for i := range list {
		for _, service := range reading.Services {
			latency, _ := c.learner.added(service.Class, &list[i])
			harm[list[i].Class] += latency
		}
	}
	slices.SortStableFunc(list, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(harm[b.Class], harm[a.Class]), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// byClass sums up neighbours by class.
func byClass(neighbours []Neighbour) []Neighbour {
	sums := make(map[string]*Neighbour)
	largest := make(map[string]float64)
	for _, n := range neighbours {
		sum, ok := sums[n.Class]
		if !ok {
			sum = &Neighbour{Class: n.Class}
			sums[n.Class] = sum
		}
		sum.Share += n.Share
		if sum.Task == "" || n.Share > largest[n.Class] {
			sum.Task, largest[n.Class] = n.Task, n.Share
		}
	}
	var list []Neighbour
	for _, class := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, *sums[class])
	}
	return list
}

// Forget drops the memory of a worker.
func (c *Controller) Forget(worker string) { delete(c.workers, worker) }
