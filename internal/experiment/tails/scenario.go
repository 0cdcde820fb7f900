package tails

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// A Fault is what goes wrong during a run.
type Fault string

// Faults of a run.
const (
	// FaultNone leaves everything sound.
	FaultNone Fault = "none"
	// FaultKill kills one daemon.
	FaultKill Fault = "kill"
	// FaultSlow makes one runner ten times slower.
	FaultSlow Fault = "slow"
	// FaultFail makes one runner fail its requests at once.
	FaultFail Fault = "fail"
	// FaultKillSlow is FaultKill and FaultSlow at once.
	FaultKillSlow Fault = "kill-slow"
	// FaultKillFail is FaultKill and FaultFail at once.
	FaultKillFail Fault = "kill-fail"
	// FaultJoin stops a daemon in an orderly way and starts it again.
	FaultJoin Fault = "join"
)

// Times of the scenarios with faults.
const (
	warmUp      = 2 * time.Second
	faultWindow = 5 * time.Second
	faultAt     = 2 * faultWindow
	faultEnd    = 5 * faultWindow
	faultLength = 7 * faultWindow
	joinStop    = faultWindow
	joinStart   = 4 * faultWindow
)

// A step is something that happens during a trace.
type step struct {
	at  time.Duration
	act func(l *lab, w way)
}

// A scenario is what happens during a trace and how it is reported.
type scenario struct {
	length  time.Duration
	windows []window
	steps   []step
}

// newScenario returns the scenario of a fault. The length counts without one.
func newScenario(fault Fault, length time.Duration) (s scenario, err error) {
	slow, fail := runner.Faults{SlowPercent: 1000}, runner.Faults{FailPercent: 100}
	kill, join := step{faultAt, (*lab).kill}, []step{{joinStop, (*lab).terminate}, {joinStart, (*lab).join}}
	switch fault {
	case FaultNone:
		return scenario{length: warmUp + length, windows: []window{{warmUp, warmUp + length}}}, nil
	case FaultKill:
		s.steps = []step{kill}
	case FaultSlow:
		s.steps = sickness(slow)
	case FaultFail:
		s.steps = sickness(fail)
	case FaultKillSlow:
		s.steps = append([]step{kill}, sickness(slow)...)
	case FaultKillFail:
		s.steps = append([]step{kill}, sickness(fail)...)
	case FaultJoin:
		s.steps = join
	default:
		return scenario{}, fmt.Errorf("no fault %q", fault)
	}
	s.length = faultLength
	for from := faultWindow; from < s.length; from += faultWindow {
		s.windows = append(s.windows, window{from, from + faultWindow})
	}
	return s, nil
}

// sickness returns the steps that make one runner sick and well again.
func sickness(faults runner.Faults) []step {
	return []step{
		{faultAt, func(l *lab, w way) { l.sicken(w, faults, true) }},
		{faultEnd, func(l *lab, w way) { l.sicken(w, runner.Faults{}, false) }},
	}
}
