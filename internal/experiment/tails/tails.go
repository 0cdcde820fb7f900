// Package tails compares the response times of callers of real daemons with
// those of one perfect queue and of random choice before the same runners.
package tails

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// Sizes of the system.
const (
	daemons        = 8
	runners        = 10
	slotsPerRunner = 8
	allSlots       = runners * slotsPerRunner
	// sigma is the standard deviation of the service time's logarithm.
	sigma    = 0.5
	deadline = 2 * time.Second
	// settleTime is the time from readiness until partitions have moved.
	settleTime = 5 * time.Second
)

// Options configure a comparison.
type Options struct {
	Seed uint64
	// Loads are shares of all slots in percent.
	Loads  []int
	Rounds int
	// Length is the measured time of each trace without a fault.
	Length time.Duration
	// Mean is the mean service time.
	Mean  time.Duration
	Fault Fault
	Out   io.Writer
}

// Compare offers the same traces to all ways in turn and prints their response
// times with the stalls of the daemons.
func Compare(ctx context.Context, options Options) (err error) {
	happening, err := newScenario(options.Fault, options.Length)
	if err != nil {
		return err
	}
	b, err := harness.NewBench(ctx)
	if err != nil {
		return err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	l := newLab(ctx, b)
	if options.Fault == FaultJoin {
		l.ways = l.ways[:2] // What a join costs concerns the daemons alone.
	}
	time.Sleep(settleTime)
	for _, load := range options.Loads {
		reports := newReport(happening.windows, l.ways)
		for round := range options.Rounds {
			l.victim = l.cluster.Daemons[round%daemons]
			trace := newTrace(options.Seed+uint64(round), float64(load)/100, options.Mean, happening.length)
			if err := l.round(ctx, options.Out, trace, happening.steps, reports); err != nil {
				return err
			}
		}
		title := fmt.Sprintf("%d %% load, fault %s, %d rounds from seed %d", load, options.Fault, options.Rounds, options.Seed)
		if err := reports.print(options.Out, title); err != nil {
			return err
		}
	}
	l.cluster.AssertNoBreach()
	return nil
}

// round offers one trace to all ways.
func (l *lab) round(ctx context.Context, out io.Writer, trace []arrival, steps []step, into *report) error {
	var bound []sample
	for n, w := range l.ways {
		samples := l.run(ctx, w, trace, steps)
		l.restore()
		into.add(n, samples)
		if n == 0 {
			bound = samples
		}
		if !isThroughDaemons(w) {
			continue
		}
		for _, stalled := range findStalls(samples, bound) {
			if err := showStall(out, stalled, l.cluster.Daemons); err != nil {
				return err
			}
		}
	}
	return into.printRound(out)
}
