// Package changes measures, over real processes, how fast a change of the
// declarations is in force everywhere, and how long after a data centre was
// taken out tasks still start there.
package changes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// near and away are the two data centres; away is taken out.
	near       = "atl-a"
	away       = "sav-a"
	awayRegion = "south-ga"
	// patience bounds each wait of a measurement.
	patience          = time.Minute
	longest           = time.Minute
	significantDigits = 3
)

// Options configure a measurement.
type Options struct {
	// Changes is the number of changes whose spread is measured.
	Changes int
	// Trials is the number of times that a data centre is taken out.
	Trials int
	Out    io.Writer
}

// Measure runs both measurements and prints their figures.
func Measure(ctx context.Context, options Options) error {
	spread, err := onCluster(ctx, spreadSites, func(cluster *harness.Cluster, b *harness.Bench) *hdrhistogram.Histogram {
		return measureSpread(ctx, b, cluster, options.Changes)
	})
	if err != nil {
		return err
	}
	if err := report(options.Out, "from the call until 8 daemons have the change in force", spread); err != nil {
		return err
	}
	for _, cut := range []bool{false, true} {
		starts, err := onCluster(ctx, startSites, func(cluster *harness.Cluster, b *harness.Bench) *hdrhistogram.Histogram {
			return measureStarts(ctx, b, cluster, options.Trials, cut)
		})
		if err != nil {
			return err
		}
		what := fmt.Sprintf("from the call of datacentre out until the last start there, region cut off: %t", cut)
		if err := report(options.Out, what, starts); err != nil {
			return err
		}
	}
	return nil
}

// onCluster runs one measurement on a cluster of its own.
func onCluster(
	ctx context.Context, sites []harness.Site, measure func(*harness.Cluster, *harness.Bench) *hdrhistogram.Histogram,
) (durations *hdrhistogram.Histogram, err error) {
	b, err := harness.NewBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	return measure(harness.Start(b, harness.Options{Sites: sites}), b), nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), significantDigits)
}

// setThrough takes the far data centre out, or brings it back, through a
// daemon and returns the version.
func setThrough(ctx context.Context, daemon *harness.Daemon, out bool) (version int64, err error) {
	answer, err := daemon.Operator().SetDataCentre(ctx, &kumquatv1.SetDataCentreRequest{DataCentre: away, Out: out})
	return answer.GetVersion(), err
}

// report prints the quantiles of one measurement.
func report(out io.Writer, what string, durations *hdrhistogram.Histogram) error {
	_, err := fmt.Fprintf(out, "%s: p50 %s, p99 %s, largest %s of %d\n", what,
		millis(durations.ValueAtQuantile(50)), millis(durations.ValueAtQuantile(99)), millis(durations.Max()), durations.TotalCount())
	return err
}

func millis(micros int64) string { return fmt.Sprintf("%.1f ms", float64(micros)/1000) }
