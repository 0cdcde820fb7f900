package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
)

const benchDaemons = 8

// report publishes quantiles of durations in milliseconds.
func report(b *testing.B, durations *hdrhistogram.Histogram) {
	b.Helper()
	for _, quantile := range []float64{50, 99, 100} {
		value := time.Duration(durations.ValueAtQuantile(quantile)) * time.Microsecond
		b.ReportMetric(float64(value)/float64(time.Millisecond), fmt.Sprintf("p%.0f-ms", quantile))
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// BenchmarkTakeover measures the time from the kill of a daemon until all its
// partitions are owned again. This includes up to the lease's time to live, until
// the lease lapses in the store.
func BenchmarkTakeover(b *testing.B) {
	c := newCluster(b)
	nodes := c.startAll(benchDaemons)
	durations := newHistogram()
	for b.Loop() {
		time.Sleep(member.LeaseTTL + 2*time.Second) // Past reconnectGrace and the update of the guarantor lists.
		victim := nodes[0]
		killed := time.Now()
		victim.kill()
		c.await("the other daemons to take over", func() bool { return c.isBalanced(nodes[1:]) })
		_ = durations.RecordValue(time.Since(killed).Microseconds())
		nodes[0] = c.start(victim.name, "atl-a")
		c.await("all daemons to own their share", func() bool { return c.isBalanced(nodes) })
	}
	report(b, durations)
}

// BenchmarkSpread measures the time from a change of the declarations until all
// daemons have confirmed it.
func BenchmarkSpread(b *testing.B) {
	c := newCluster(b)
	nodes := c.startAll(benchDaemons)
	durations := newHistogram()
	out := false
	for b.Loop() {
		out = !out
		began := time.Now()
		result, err := nodes[0].config.SetDataCentre(b.Context(), "ath-a", out)
		if err != nil || len(result.Unconfirmed) > 0 {
			b.Fatalf("result %+v, error %v", result, err)
		}
		_ = durations.RecordValue(time.Since(began).Microseconds())
	}
	report(b, durations)
}

// BenchmarkRest counts the store calls of an idle cluster. An iteration takes
// ten seconds.
func BenchmarkRest(b *testing.B) {
	const idle = 10 * time.Second
	for _, daemons := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			c := newCluster(b)
			c.startAll(daemons)
			time.Sleep(settleWait)
			before := c.store.Counts()
			for b.Loop() {
				time.Sleep(idle)
			}
			after := c.store.Counts()
			seconds := float64(b.N) * idle.Seconds()
			b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
			b.ReportMetric(float64(after.WatchesWaiting), "watches")
		})
	}
}
