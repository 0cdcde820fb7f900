// Package slots compares ways of sharing the runners' slots between daemons in
// an event simulation. The way that the daemons use runs the decision
// functions of the product itself.
package slots

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sizes of the simulated system.
const (
	daemons        = 8
	runners        = 50
	slotsPerRunner = 8
	allSlots       = runners * slotsPerRunner
	meanService    = 50 * time.Millisecond
	sigma          = 0.5
	hop            = time.Millisecond
	heartbeat      = 500 * time.Millisecond
	callerDeadline = 2 * time.Second
	warmUp         = 2 * time.Second
	// failFast is the time in which a sick runner fails a request.
	failFast = time.Millisecond
	// slowFactor is the factor by which a sick runner is slow.
	slowFactor = 10
	// detection is the time after which callers no longer reach a dead daemon.
	detection = 100 * time.Millisecond
)

// A Fault is what goes wrong during a run.
type Fault int

// Faults of a run.
const (
	// NoFault leaves everything sound.
	NoFault Fault = iota
	// DaemonDies ends one daemon for good, with the use of its runners.
	DaemonDies
	// RunnerFails makes one runner fail requests at once.
	RunnerFails
	// RunnerSlow makes one runner slow.
	RunnerSlow
)

// A Scenario is what one run simulates.
type Scenario struct {
	Seed     uint64
	Load     float64 // share of all slots
	Duration time.Duration
	Fault    Fault
}

// A Result is what one run measured.
type Result struct {
	Policy   string
	Latency  *hdrhistogram.Histogram // microseconds
	Answered int
	// Failed requests got a runner's failure or no answer.
	Failed int
	// Late requests were answered after their deadline or not run.
	Late int
	// Forwards counts hops between daemons.
	Forwards int
}

// Quantile returns a quantile of the latency.
func (r Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// A request is one simulated request.
type request struct {
	arrived  time.Duration
	daemon   int
	service  time.Duration
	deadline time.Time
	hops     int
	done     bool
}

// A policy decides where requests run.
type policy interface {
	// name returns the policy's name.
	name() string
	// arrive takes over a request at its daemon.
	arrive(r *request)
	// die ends a daemon. Its requests in flight are lost.
	die(daemon int)
}

// An event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// A world is the state of one run that policies share.
type world struct {
	scenario Scenario
	now      time.Duration
	queue    events
	sequence int
	random   *rand.Rand
	result   Result
	// dead is the daemon that has died, or -1.
	dead   int
	diedAt time.Duration
}

// newWorld returns an empty world.
func newWorld(scenario Scenario) *world {
	return &world{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
		result:   Result{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)},
		dead:     -1,
	}
}

// at schedules an event.
func (w *world) at(at time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: at, sequence: w.sequence, run: run})
}

// after schedules an event after a time.
func (w *world) after(delay time.Duration, run func()) { w.at(w.now+delay, run) }

// clock returns the present time for decisions.
func (w *world) clock() time.Time { return time.Unix(0, int64(w.now)).Add(time.Hour) }

// sickRunner is the runner that a fault concerns.
const sickRunner = 7

// isSick reports whether a runner is sick now.
func (w *world) isSick(runner int) bool {
	sick := w.scenario.Fault == RunnerFails || w.scenario.Fault == RunnerSlow
	return sick && runner == sickRunner && w.now > w.scenario.Duration/4 && w.now < w.scenario.Duration*3/4
}

// serve runs a request at a runner and reports whether it was answered well.
func (w *world) serve(runner int, r *request, done func(answered bool)) {
	switch {
	case !w.isSick(runner):
		w.after(r.service, func() { done(true) })
	case w.scenario.Fault == RunnerFails:
		w.after(failFast, func() { done(false) })
	default:
		w.after(slowFactor*r.service, func() { done(true) })
	}
}

// finish ends a request at its daemon.
func (w *world) finish(r *request, answered bool) {
	if r.done {
		return
	}
	r.done = true
	if r.arrived < warmUp {
		return
	}
	if !answered {
		w.result.Failed++
		return
	}
	w.result.Answered++
	latency := w.now - r.arrived
	if latency > callerDeadline {
		w.result.Late++
	}
	_ = w.result.Latency.RecordValue(min(latency.Microseconds(), w.result.Latency.HighestTrackableValue()))
}

// refuse ends a request that was not run.
func (w *world) refuse(r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.arrived >= warmUp {
		w.result.Late++
	}
}

// run simulates a policy. Arrivals and service times depend on the seed alone.
func (w *world) run(p policy) Result {
	arrivals := rand.New(rand.NewPCG(w.scenario.Seed, 2))
	rate := w.scenario.Load * allSlots / meanService.Seconds()
	var next func()
	next = func() {
		r := &request{arrived: w.now, daemon: draw(arrivals), service: serviceTime(arrivals)}
		if r.daemon == w.dead && w.now-w.diedAt > detection {
			r.daemon = (r.daemon + 1 + w.sequence%(daemons-1)) % daemons
		}
		r.deadline = w.clock().Add(callerDeadline)
		if r.daemon == w.dead {
			w.finish(r, false)
		} else {
			p.arrive(r)
		}
		delay := time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		if w.now+delay < w.scenario.Duration {
			w.after(delay, next)
		}
	}
	w.at(0, next)
	if w.scenario.Fault == DaemonDies {
		w.at(w.scenario.Duration/2, func() {
			w.dead, w.diedAt = 0, w.now
			p.die(0)
		})
	}
	for len(w.queue) > 0 && w.now < w.scenario.Duration+time.Minute {
		popped := heap.Pop(&w.queue).(event)
		w.now = popped.at
		popped.run()
	}
	w.result.Policy = p.name()
	return w.result
}

// draw returns the daemon of an arrival: half of them get three times as many.
func draw(random *rand.Rand) int {
	const heavy, light = 3, 1
	pick := random.IntN(daemons / 2 * (heavy + light))
	if pick < daemons/2*heavy {
		return pick / heavy
	}
	return daemons/2 + pick - daemons/2*heavy
}

// serviceTime draws a log-normal service time.
func serviceTime(random *rand.Rand) time.Duration {
	mu := math.Log(meanService.Seconds()) - sigma*sigma/2
	return time.Duration(math.Exp(mu+sigma*random.NormFloat64()) * float64(time.Second))
}
