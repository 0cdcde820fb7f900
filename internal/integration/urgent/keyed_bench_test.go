package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// BenchmarkKeyedRequests counts the writes of the store for keyed requests at
// several rates, less the writes of the same time at rest.
func BenchmarkKeyedRequests(b *testing.B) {
	cluster := harness.Start(b, harness.Options{
		Sites: []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Runners: 4}},
	})
	time.Sleep(5 * time.Second) // Until partitions are balanced.
	rest := writesDuring(cluster, func() { time.Sleep(benchDuration) })
	for _, rate := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				measureKeyed(b, cluster, rate, rest)
			}
		})
	}
}

// writesDuring returns the writes of the store in a second of an action.
func writesDuring(cluster *harness.Cluster, act func()) float64 {
	before, begin := cluster.StoreCounts().Writes, time.Now()
	act()
	return float64(cluster.StoreCounts().Writes-before) / time.Since(begin).Seconds()
}

// measureKeyed sends keyed requests at a rate.
func measureKeyed(b *testing.B, cluster *harness.Cluster, rate int, rest float64) {
	b.Helper()
	var load *harness.Load
	writes := writesDuring(cluster, func() {
		load = harness.StartLoad(b, rate, func(number int) harness.Call {
			id := fmt.Sprintf("keyed-%d-%d", rate, number)
			return harness.Call{ID: id, Key: id, Path: harness.PathKeyed, Deadline: 2 * time.Second}
		}, harness.NewTarget(cluster.Daemons...).Choose)
		time.Sleep(benchDuration)
		load.Stop()
	})
	sent := float64(load.Count()) / benchDuration.Seconds()
	b.ReportMetric((writes-rest)/sent, "writes/request")
	b.ReportMetric(rest, "rest-writes/s")
	b.ReportMetric(sent, "requests/s")
	b.ReportMetric(100*float64(load.Whole())/float64(load.Count()), "whole-percent")
}
