// Package tails compares the response times that callers of real daemons see
// with those of a single perfect queue and of random choice in front of the
// same runners.
package tails

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// Sizes of the system under test.
const (
	daemons        = 8
	runners        = 10
	slotsPerRunner = 8
	allSlots       = runners * slotsPerRunner
	// sigma is the standard deviation of the service time's logarithm.
	sigma    = 0.5
	deadline = 2 * time.Second
	// settleTime is the delay after the daemons are ready that lets the moves of
	// partitions finish before the first trace.
	settleTime = 5 * time.Second
)

// Options configure a comparison.
type Options struct {
	// Seed is the seed of the first round; each further round uses the next number.
	Seed uint64
	// Loads are the loads that are measured, in percent of all slots.
	Loads []int
	// Rounds is the number of traces of each load.
	Rounds int
	// Length is the measured time of each trace without a fault.
	Length time.Duration
	// Mean is the mean service time.
	Mean  time.Duration
	Fault Fault
	Out   io.Writer
}

// Compare sends the same traces through all strategies in turn and prints their
// response times and the stalls of the daemons.
func Compare(ctx context.Context, options Options) (err error) {
	faultScenario, err := newScenario(options.Fault, options.Length)
	if err != nil {
		return err
	}
	b, err := harness.NewStandaloneTB(ctx)
	if err != nil {
		return err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	t := newTestbed(ctx, b)
	if options.Fault == FaultJoin {
		t.strategies = t.strategies[:2] // A restart of a daemon does not affect random choice.
	}
	time.Sleep(settleTime)
	for _, load := range options.Loads {
		reports := newReport(faultScenario.windows, t.strategies)
		for round := range options.Rounds {
			t.victim = t.cluster.Daemons[round%daemons]
			trace := newTrace(options.Seed+uint64(round), float64(load)/100, options.Mean, faultScenario.length)
			if err := t.round(ctx, options.Out, trace, faultScenario.steps, reports); err != nil {
				return err
			}
		}
		title := fmt.Sprintf("%d %% load, fault %s, %d rounds from seed %d", load, options.Fault, options.Rounds, options.Seed)
		if err := reports.print(options.Out, title); err != nil {
			return err
		}
	}
	t.cluster.AssertNoBreach()
	return nil
}

// round sends one trace through all strategies in turn, and carries out the steps, such as
// injected faults, during each. The first strategy is the perfect queue, which is the bound
// for the others: round prints the stalls, which are groups of requests that took much longer
// through the daemons than in the perfect queue, and the p99 latency of each other strategy
// with its ratio to that of the perfect queue.
func (t *testbed) round(ctx context.Context, out io.Writer, trace []arrival, steps []step, reports *report) error {
	var bound []sample
	for n, s := range t.strategies {
		samples := t.run(ctx, s, trace, steps)
		t.restore()
		reports.add(n, samples)
		if n == 0 {
			bound = samples
		}
		if !isThroughDaemons(s) {
			continue
		}
		for _, found := range findStalls(samples, bound) {
			if err := printStall(out, found, t.cluster.Daemons); err != nil {
				return err
			}
		}
	}
	return reports.printRound(out)
}
