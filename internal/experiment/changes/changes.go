// Package changes measures, with real processes, how long a change of the
// declarations takes to be in force on all daemons, and how long tasks still
// start in a data centre after it was taken out of service.
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
	// nearCentre and farCentre are the two data centres. farCentre, in farRegion,
	// is taken out of service.
	nearCentre = "atl-a"
	farCentre  = "sav-a"
	farRegion  = "south-ga"
	// waitTimeout bounds each wait of a measurement.
	waitTimeout       = time.Minute
	maxDuration       = time.Minute
	significantDigits = 3
)

// Options configure a measurement.
type Options struct {
	// Changes is the number of changes whose spread is measured.
	Changes int
	// Trials is the number of times that a data centre is taken out of service.
	Trials int
	Out    io.Writer
}

// Measure measures both times, the second one without and with the region of the
// data centre cut off, and prints the results.
func Measure(ctx context.Context, options Options) error {
	spread, err := withCluster(ctx, spreadSites, func(cluster *harness.Cluster, b *harness.StandaloneTB) *hdrhistogram.Histogram {
		return measureSpread(ctx, b, cluster, options.Changes)
	})
	if err != nil {
		return err
	}
	if err := report(options.Out, "from the call until 8 daemons have the change in force", spread); err != nil {
		return err
	}
	for _, isCutOff := range []bool{false, true} {
		starts, err := withCluster(ctx, startSites, func(cluster *harness.Cluster, b *harness.StandaloneTB) *hdrhistogram.Histogram {
			return measureStarts(ctx, b, cluster, options.Trials, isCutOff)
		})
		if err != nil {
			return err
		}
		title := fmt.Sprintf("from the call of datacentre out until the last start there, region cut off: %t", isCutOff)
		if err := report(options.Out, title, starts); err != nil {
			return err
		}
	}
	return nil
}

// withCluster starts a cluster and runs one measurement on it.
func withCluster(
	ctx context.Context, sites []harness.Site, measure func(*harness.Cluster, *harness.StandaloneTB) *hdrhistogram.Histogram,
) (durations *hdrhistogram.Histogram, err error) {
	b, err := harness.NewStandaloneTB(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	defer func() { err = errors.Join(err, b.Failure(recover())) }()
	return measure(harness.Start(b, harness.Options{Sites: sites}), b), nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

// setFarCentreOut takes the far data centre out of service, or brings it back, by
// a call to a daemon and returns the version of the declarations with this change.
func setFarCentreOut(ctx context.Context, daemon *harness.Daemon, out bool) (version int64, err error) {
	answer, err := daemon.Operator().SetDataCentre(ctx, &kumquatv1.SetDataCentreRequest{DataCentre: farCentre, Out: out})
	return answer.GetVersion(), err
}

// report prints the p50, p99 and maximum of one measurement.
func report(out io.Writer, title string, durations *hdrhistogram.Histogram) error {
	_, err := fmt.Fprintf(out, "%s: p50 %s, p99 %s, largest %s of %d\n", title,
		millis(durations.ValueAtQuantile(50)), millis(durations.ValueAtQuantile(99)), millis(durations.Max()), durations.TotalCount())
	return err
}

func millis(micros int64) string { return fmt.Sprintf("%.1f ms", float64(micros)/1000) }
