package colocation

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// Compare simulates all strategies at a site with tasks from the same seed and
// prints their measurements.
func Compare(out io.Writer, site Site, seed uint64) error {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	strategies := Strategies()
	results := make([]Result, len(strategies))
	var group sync.WaitGroup
	for i, strategy := range strategies {
		group.Go(func() { results[i] = newSimulation(site, strategy, seed, epoch).run(epoch) })
	}
	group.Wait()
	return report(out, site, results)
}

// report prints one line for each strategy, and a line with the goal of the
// response time and the bound of the throughput.
func report(out io.Writer, site Site, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// The writer keeps its first error, which Flush returns.
	_, _ = fmt.Fprintf(table, "%s\tservice p50\tp99\tthroughput\tat work during absence\tthrottles\tevictions\tlost\tbreaches\t\n", site.Name)
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.1f %%\t%.1f %%\t%d\t%d\t%d\t%d\t\n", r.Strategy,
			float64(r.slowness.ValueAtQuantile(50))/fullPercent,
			float64(r.slowness.ValueAtQuantile(99))/fullPercent,
			fullPercent*r.doneCoreSeconds/r.freeCoreSeconds,
			fullPercent*r.busyInOutage/r.freeInOutage,
			r.throttles, r.evictions, r.lost, r.breaches)
	}
	_, _ = fmt.Fprintf(table, "bound\t\t%.2f\t%.1f %%\t\t\t\t\t\t\n\n", goal, fullPercent*bound())
	return table.Flush()
}

// goal is the largest p99 response time of services that is accepted, relative to
// the response time of a service that runs alone.
const goal = 1.15

// bound returns an upper bound of the throughput. It is the share of the free
// cores that a placement with perfect knowledge of the interference could use if
// it took the classes of tasks in the proportion in which they arrive and kept
// every service just within the goal.
func bound() float64 {
	const freeCores = float64(workerMilliCores-serviceMilliCores) / milliCores
	noisy := (noisyShareInWave + noisyShareOutside) / 2
	perCore := 0.0
	for _, pair := range model().Pairs {
		if pair.Class != classService {
			continue
		}
		share := 1 - noisy
		if pair.Neighbour == classNoisy {
			share = noisy
		}
		perCore += share * float64(pair.SlowdownPercent) / fullPercent / (float64(workerMilliCores) / milliCores)
	}
	return min((goal-1)/perCore/freeCores, 1)
}
