package tails

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// A Fault is a fault that is injected during a trace.
type Fault string

// Faults that can be injected during a trace.
const (
	// FaultNone injects no fault.
	FaultNone Fault = "none"
	// FaultKill kills one daemon.
	FaultKill Fault = "kill"
	// FaultSlow makes one runner ten times slower.
	FaultSlow Fault = "slow"
	// FaultFail makes one runner fail its requests immediately.
	FaultFail Fault = "fail"
	// FaultKillSlow is FaultKill and FaultSlow at once.
	FaultKillSlow Fault = "kill-slow"
	// FaultKillFail is FaultKill and FaultFail at once.
	FaultKillFail Fault = "kill-fail"
	// FaultJoin shuts a daemon down gracefully and restarts it later.
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

// A step is an action that is carried out at a time after the start of a trace.
type step struct {
	at  time.Duration
	act func(t *testbed, s strategy)
}

// A scenario holds the length of a trace, the steps that are carried out during the
// trace, and the windows of time by which the results are reported.
type scenario struct {
	length  time.Duration
	windows []window
	steps   []step
}

// newScenario returns the scenario of a fault. The length is used only for
// FaultNone; the scenarios of the faults have the length faultLength.
func newScenario(fault Fault, length time.Duration) (s scenario, err error) {
	slow, fail := runner.Faults{SlowPercent: 1000}, runner.Faults{FailPercent: 100}
	kill, join := step{faultAt, (*testbed).kill}, []step{{joinStop, (*testbed).terminate}, {joinStart, (*testbed).join}}
	switch fault {
	case FaultNone:
		return scenario{length: warmUp + length, windows: []window{{warmUp, warmUp + length}}}, nil
	case FaultKill:
		s.steps = []step{kill}
	case FaultSlow:
		s.steps = runnerFaultSteps(slow)
	case FaultFail:
		s.steps = runnerFaultSteps(fail)
	case FaultKillSlow:
		s.steps = append([]step{kill}, runnerFaultSteps(slow)...)
	case FaultKillFail:
		s.steps = append([]step{kill}, runnerFaultSteps(fail)...)
	case FaultJoin:
		s.steps = join
	default:
		return scenario{}, fmt.Errorf("unknown fault %q", fault)
	}
	s.length = faultLength
	for from := faultWindow; from < s.length; from += faultWindow {
		s.windows = append(s.windows, window{from, from + faultWindow})
	}
	return s, nil
}

// runnerFaultSteps returns the steps that inject faults into one runner and end
// them later.
func runnerFaultSteps(faults runner.Faults) []step {
	return []step{
		{faultAt, func(t *testbed, s strategy) { t.setFaulty(s, faults, true) }},
		{faultEnd, func(t *testbed, s strategy) { t.setFaulty(s, runner.Faults{}, false) }},
	}
}
