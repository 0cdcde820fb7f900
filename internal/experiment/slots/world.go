// Package slots compares policies for sharing the runners' slots between
// daemons, in a discrete-event simulation. The policy that the real daemons use
// runs their own decision functions.
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
	// sigma is the standard deviation of the service time's logarithm.
	sigma = 0.5
	// hop is the delay of a message between two daemons or to the authority of
	// leased credits.
	hop = time.Millisecond
	// heartbeat is the interval at which a daemon reports its load to the others.
	heartbeat      = 500 * time.Millisecond
	callerDeadline = 2 * time.Second
	// warmUp is the time in which requests arrive that are not measured.
	warmUp = 2 * time.Second
	// failureTime is the time in which a failing runner fails a request.
	failureTime = time.Millisecond
	// slowFactor is the factor by which a slow runner prolongs service times.
	slowFactor = 10
	// detection is the time from the death of a daemon until callers and peers
	// stop sending requests to it.
	detection = 100 * time.Millisecond
)

// A Fault is a fault that is injected during a run.
type Fault int

// Faults that can be injected during a run.
const (
	// NoFault injects no fault.
	NoFault Fault = iota
	// DaemonDies makes one daemon die without a restart, so that its runners
	// cannot be used any more.
	DaemonDies
	// RunnerFails makes one runner fail requests immediately.
	RunnerFails
	// RunnerSlow makes one runner slow.
	RunnerSlow
)

// A Scenario holds the parameters of one simulation run.
type Scenario struct {
	Seed     uint64
	Load     float64 // offered load, as a share of the capacity of all slots
	Duration time.Duration
	Fault    Fault
}

// A Result holds the measurements of one run.
type Result struct {
	Policy   string
	Latency  *hdrhistogram.Histogram // microseconds
	Answered int
	// Failed counts requests that a runner failed or that got no answer.
	Failed int
	// Late counts requests that were answered after their deadline or dropped.
	Late int
	// Forwards counts requests that one daemon forwarded to another.
	Forwards int
}

// Quantile returns a quantile of the latency.
func (r Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// A request is one simulated request.
type request struct {
	arrived time.Duration
	// daemon is the index of the daemon at which the request arrives.
	daemon   int
	service  time.Duration
	deadline time.Time
	// hops is the number of times that the request was forwarded.
	hops int
	// done is whether the outcome was recorded.
	done bool
}

// A policy decides on which runner each request runs.
type policy interface {
	// name returns the policy's name.
	name() string
	// arrive handles a request that arrives at its daemon.
	arrive(r *request)
	// killDaemon makes a daemon die. The requests in flight at the daemon are
	// lost.
	killDaemon(daemon int)
}

// An event is a function that runs at a simulated time. Events at the same time
// run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of events, the earliest first.
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

// A simulation is the state of one run: the simulated time, the events to come and
// the measurements so far. The policy of the run schedules events in it.
type simulation struct {
	scenario Scenario
	now      time.Duration
	queue    events
	sequence int
	random   *rand.Rand
	result   Result
	// dead is the index of the daemon that has died, or -1.
	dead   int
	diedAt time.Duration
}

// newSimulation returns a simulation without events.
func newSimulation(scenario Scenario) *simulation {
	return &simulation{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
		result:   Result{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)},
		dead:     -1,
	}
}

// at schedules an event at a simulated time.
func (s *simulation) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: at, sequence: s.sequence, run: run})
}

// after schedules an event after a delay.
func (s *simulation) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

// clock returns the simulated time for the decision functions.
func (s *simulation) clock() time.Time { return time.Unix(0, int64(s.now)).Add(time.Hour) }

// faultyRunner is the runner into which faults are injected.
const faultyRunner = 7

// isFaulty reports whether a runner is faulty at the present time.
func (s *simulation) isFaulty(runner int) bool {
	hasFaultyRunner := s.scenario.Fault == RunnerFails || s.scenario.Fault == RunnerSlow
	return hasFaultyRunner && runner == faultyRunner && s.now > s.scenario.Duration/4 && s.now < s.scenario.Duration*3/4
}

// serve runs a request on a runner and then calls done, with answered false if
// the runner failed it.
func (s *simulation) serve(runner int, r *request, done func(answered bool)) {
	switch {
	case !s.isFaulty(runner):
		s.after(r.service, func() { done(true) })
	case s.scenario.Fault == RunnerFails:
		s.after(failureTime, func() { done(false) })
	default:
		s.after(slowFactor*r.service, func() { done(true) })
	}
}

// finish records the outcome of a request that was run or lost.
func (s *simulation) finish(r *request, answered bool) {
	if r.done {
		return
	}
	r.done = true
	if r.arrived < warmUp {
		return
	}
	if !answered {
		s.result.Failed++
		return
	}
	s.result.Answered++
	latency := s.now - r.arrived
	if latency > callerDeadline {
		s.result.Late++
	}
	_ = s.result.Latency.RecordValue(min(latency.Microseconds(), s.result.Latency.HighestTrackableValue()))
}

// drop records a request that was not run as late.
func (s *simulation) drop(r *request) {
	if r.done {
		return
	}
	r.done = true
	if r.arrived >= warmUp {
		s.result.Late++
	}
}

// run simulates a policy. Arrival and service times depend only on the scenario,
// so that they are the same for each policy.
func (s *simulation) run(p policy) Result {
	arrivals := rand.New(rand.NewPCG(s.scenario.Seed, 2))
	rate := s.scenario.Load * allSlots / meanService.Seconds()
	var next func()
	next = func() {
		r := &request{arrived: s.now, daemon: drawDaemon(arrivals), service: serviceTime(arrivals)}
		if r.daemon == s.dead && s.now-s.diedAt > detection {
			r.daemon = (r.daemon + 1 + s.sequence%(daemons-1)) % daemons
		}
		r.deadline = s.clock().Add(callerDeadline)
		if r.daemon == s.dead {
			s.finish(r, false)
		} else {
			p.arrive(r)
		}
		delay := time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		if s.now+delay < s.scenario.Duration {
			s.after(delay, next)
		}
	}
	s.at(0, next)
	if s.scenario.Fault == DaemonDies {
		s.at(s.scenario.Duration/2, func() {
			s.dead, s.diedAt = 0, s.now
			p.killDaemon(0)
		})
	}
	for len(s.queue) > 0 && s.now < s.scenario.Duration+time.Minute {
		popped := heap.Pop(&s.queue).(event)
		s.now = popped.at
		popped.run()
	}
	s.result.Policy = p.name()
	return s.result
}

// drawDaemon draws the daemon of an arrival. The first half of the daemons get
// three times as many requests as the others.
func drawDaemon(random *rand.Rand) int {
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
