package slots

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// policies are the policies that are compared. The first, the perfect queue, is
// the bound for the others.
var policies = []func(s *simulation) policy{
	newPerfectQueue, newOwnerForwarding, newLeasedCredits, newFixedSplit, newRandomChoice,
}

// Compare runs one scenario under every policy.
func Compare(scenario Scenario) []Result {
	results := make([]Result, 0, len(policies))
	for _, newPolicy := range policies {
		s := newSimulation(scenario)
		results = append(results, s.run(newPolicy(s)))
	}
	return results
}

// Print writes the results of one scenario, with the ratio of each p99 and p99.9
// latency to that of the first result.
func Print(out io.Writer, title string, results []Result) (err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err = fmt.Fprintf(table, "%s\np99\tratio\tp99.9\tratio\tfailed\tlate\tforwards\tpolicy\n", title)
	if err != nil {
		return err
	}
	bound := results[0]
	for _, r := range results {
		_, err = fmt.Fprintf(table, "%.1f ms\t%.3f\t%.1f ms\t%.3f\t%d\t%d\t%d\t%s\n",
			r.Quantile(99).Seconds()*1000, ratio(r, bound, 99),
			r.Quantile(99.9).Seconds()*1000, ratio(r, bound, 99.9),
			r.Failed, r.Late, r.Forwards, r.Policy)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// ratio returns the ratio of a latency quantile of a result to the same quantile
// of the bound.
func ratio(r, bound Result, percent float64) float64 {
	return r.Quantile(percent).Seconds() / bound.Quantile(percent).Seconds()
}
