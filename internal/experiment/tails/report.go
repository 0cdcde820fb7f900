package tails

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// quantiles are the columns of the report.
var quantiles = []float64{50, 99, 99.9}

// A report holds the tallies of one load by window and way.
type report struct {
	windows []window
	ways    []way
	tallies [][]*tally
	// last holds the tallies of the present round alone.
	last [][]*tally
}

func newReport(windows []window, ways []way) *report {
	r := &report{windows: windows, ways: ways}
	r.tallies = r.empty()
	r.last = r.empty()
	return r
}

// empty returns a tally for each window and way.
func (r *report) empty() [][]*tally {
	tallies := make([][]*tally, len(r.windows))
	for n := range tallies {
		for range r.ways {
			tallies[n] = append(tallies[n], newTally())
		}
	}
	return tallies
}

// add takes in the samples of a way.
func (r *report) add(way int, samples []sample) {
	for n, within := range r.windows {
		r.tallies[n][way].add(samples, within)
		r.last[n][way].add(samples, within)
	}
}

// printRound prints the ratios of one round.
func (r *report) printRound(out io.Writer) (err error) {
	for n, within := range r.windows {
		for w := 1; w < len(r.ways); w++ {
			one, bound := r.last[n][w], r.last[n][0]
			_, err = fmt.Fprintf(out, "round %s to %s, %s: p99 %s, %.3f of the bound\n",
				within.from, within.to, r.ways[w].name(), milliseconds(one.quantile(99)), one.ratio(bound, 99))
			if err != nil {
				return err
			}
		}
	}
	r.last = r.empty()
	return nil
}

// print prints all rounds together.
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
		for w, each := range r.ways {
			_, _ = fmt.Fprintf(table, "%s to %s\t%s\t", within.from, within.to, each.name())
			r.printTally(table, r.tallies[n][w], r.tallies[n][0])
		}
	}
	return table.Flush()
}

// printTally prints the cells of one row.
func (r *report) printTally(out io.Writer, one, bound *tally) {
	for _, quantile := range quantiles {
		_, _ = fmt.Fprintf(out, "%s\t%.3f\t", milliseconds(one.quantile(quantile)), one.ratio(bound, quantile))
	}
	for _, count := range one.counts {
		_, _ = fmt.Fprintf(out, "%d\t", count)
	}
	_, _ = fmt.Fprintln(out)
}

// milliseconds formats a duration in milliseconds.
func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f ms", d.Seconds()*1000) }
