package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// BenchmarkKeyedRequests reports the writes to the store for each keyed request at
// several rates, without the writes of an idle cluster.
func BenchmarkKeyedRequests(b *testing.B) {
	cluster := harness.Start(b, harness.Options{
		Sites: []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Runners: 4}},
	})
	time.Sleep(5 * time.Second) // Lets the daemons balance the partitions.
	idleWrites := writesPerSecond(cluster, func() { time.Sleep(benchDuration) })
	for _, rate := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				reportKeyedWrites(b, cluster, rate, idleWrites)
			}
		})
	}
}

// writesPerSecond returns the writes to the store for each second of an action.
func writesPerSecond(cluster *harness.Cluster, action func()) float64 {
	before, begin := cluster.StoreCounts().Writes, time.Now()
	action()
	return float64(cluster.StoreCounts().Writes-before) / time.Since(begin).Seconds()
}

// reportKeyedWrites sends keyed requests at a rate and reports the writes for each.
func reportKeyedWrites(b *testing.B, cluster *harness.Cluster, rate int, idleWrites float64) {
	b.Helper()
	var load *harness.Load
	writes := writesPerSecond(cluster, func() {
		load = harness.StartLoad(b, rate, func(number int) harness.Call {
			id := fmt.Sprintf("keyed-%d-%d", rate, number)
			return harness.Call{ID: id, Key: id, Path: harness.PathKeyed, Deadline: 2 * time.Second}
		}, harness.NewTarget(cluster.Daemons...).Choose)
		time.Sleep(benchDuration)
		load.Stop()
	})
	sent := float64(load.Count()) / benchDuration.Seconds()
	b.ReportMetric((writes-idleWrites)/sent, "writes/request")
	b.ReportMetric(idleWrites, "rest-writes/s")
	b.ReportMetric(sent, "requests/s")
	b.ReportMetric(100*float64(load.CountComplete())/float64(load.Count()), "whole-percent")
}
