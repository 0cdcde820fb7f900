package tails

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// quantiles are the quantiles that the report shows, in percent.
var quantiles = []float64{50, 99, 99.9}

// A report holds the tallies of one load, by window and then by strategy.
type report struct {
	windows    []window
	strategies []strategy
	tallies    [][]*tally
	// roundTallies holds the tallies of the present round alone.
	roundTallies [][]*tally
}

func newReport(windows []window, strategies []strategy) *report {
	r := &report{windows: windows, strategies: strategies}
	r.tallies = r.newTallies()
	r.roundTallies = r.newTallies()
	return r
}

// newTallies returns an empty tally for each window and strategy.
func (r *report) newTallies() [][]*tally {
	tallies := make([][]*tally, len(r.windows))
	for n := range tallies {
		for range r.strategies {
			tallies[n] = append(tallies[n], newTally())
		}
	}
	return tallies
}

// add adds the samples of one trace of the strategy with the given index.
func (r *report) add(index int, samples []sample) {
	for n, within := range r.windows {
		r.tallies[n][index].add(samples, within)
		r.roundTallies[n][index].add(samples, within)
	}
}

// printRound prints the p99 latency of each strategy in each window of one round,
// with the ratio to that of the perfect queue, and resets the tallies of the round.
func (r *report) printRound(out io.Writer) (err error) {
	for n, within := range r.windows {
		for index := 1; index < len(r.strategies); index++ {
			t, bound := r.roundTallies[n][index], r.roundTallies[n][0]
			_, err = fmt.Fprintf(out, "round %s to %s, %s: p99 %s, %.3f of the bound\n",
				within.from, within.to, r.strategies[index].name(), milliseconds(t.quantile(99)), t.ratio(bound, 99))
			if err != nil {
				return err
			}
		}
	}
	r.roundTallies = r.newTallies()
	return nil
}

// print prints the latency quantiles, their ratios to those of the perfect queue, and
// the outcomes of all rounds together.
func (r *report) print(out io.Writer, title string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// The writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintf(table, "%s\nwindow\tway\t", title)
	for _, quantile := range quantiles {
		_, _ = fmt.Fprintf(table, "p%v\tratio\t", quantile)
	}
	for _, name := range outcomeNames {
		_, _ = fmt.Fprintf(table, "%s\t", name)
	}
	_, _ = fmt.Fprintln(table)
	for n, within := range r.windows {
		for index, strategy := range r.strategies {
			_, _ = fmt.Fprintf(table, "%s to %s\t%s\t", within.from, within.to, strategy.name())
			r.printTally(table, r.tallies[n][index], r.tallies[n][0])
		}
	}
	return table.Flush()
}

// printTally prints the cells of one window and strategy.
func (r *report) printTally(out io.Writer, t, bound *tally) {
	for _, quantile := range quantiles {
		_, _ = fmt.Fprintf(out, "%s\t%.3f\t", milliseconds(t.quantile(quantile)), t.ratio(bound, quantile))
	}
	for _, count := range t.counts {
		_, _ = fmt.Fprintf(out, "%d\t", count)
	}
	_, _ = fmt.Fprintln(out)
}

// milliseconds formats a duration in milliseconds.
func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f ms", d.Seconds()*1000) }
