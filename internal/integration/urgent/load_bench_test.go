package urgent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

const (
	benchDaemons  = 8
	benchRunners  = 10
	benchSlots    = benchRunners * 8
	benchService  = 50 * time.Millisecond
	benchDuration = 10 * time.Second
)

// BenchmarkTailUnderLoad reports response times of requests that arrive as a Poisson
// process, three times as often at half of the daemons as at the others.
func BenchmarkTailUnderLoad(b *testing.B) {
	cluster := harness.Start(b, harness.Options{
		Sites: []harness.Site{
			{DataCentre: "atl-a", Region: "north-ga", Daemons: benchDaemons / 2, Runners: benchRunners / 2},
			{DataCentre: "ath-a", Region: "north-ga", Daemons: benchDaemons / 2, Runners: benchRunners / 2},
		},
		RunnerArgs: []string{"--mean", benchService.String(), "--sigma", "0.5"},
	})
	time.Sleep(3 * time.Second)
	for _, percent := range []int{50, 80, 95} {
		b.Run(fmt.Sprintf("%d percent", percent), func(b *testing.B) {
			for range b.N {
				reportResponseTimes(b, cluster, harness.PathOnce, float64(percent)/100)
			}
		})
	}
	cluster.AssertNoBreach()
}

// BenchmarkSlowRunner reports response times of idempotent requests while one runner
// of ten takes ten times as long, without and with retries.
func BenchmarkSlowRunner(b *testing.B) {
	sites := []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Runners: benchRunners}}
	for _, retryPercent := range []string{"0", "10"} {
		cluster := harness.Start(b, harness.Options{
			Sites:        sites,
			Declarations: strings.Replace(harness.DeclarationsOf(sites), "retryPercent: 10", "retryPercent: "+retryPercent, 1),
			RunnerArgs:   []string{"--mean", benchService.String(), "--sigma", "0.5"},
		})
		time.Sleep(3 * time.Second)
		cluster.SetRunnerFaults(runner.FaultsRequest{Runner: "atl-a-runner-1", Faults: runner.Faults{SlowPercent: 1000}})
		for _, percent := range []int{30, 60} {
			b.Run(fmt.Sprintf("retryPercent=%s/load=%d", retryPercent, percent), func(b *testing.B) {
				for range b.N {
					reportResponseTimes(b, cluster, harness.PathIdempotent, float64(percent)/100)
				}
			})
		}
		cluster.AssertNoBreach()
	}
}

// reportResponseTimes sends requests at a share of the runners' capacity and reports
// quantiles of the response times, which count from when a request was due.
func reportResponseTimes(b *testing.B, cluster *harness.Cluster, path string, load float64) {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 0))
	caller := harness.NewCaller()
	defer caller.Close()
	var mu sync.Mutex
	var calls sync.WaitGroup
	failed := 0
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	rate := load * benchSlots / benchService.Seconds()
	begin := time.Now()
	next := begin
	for number := 0; next.Sub(begin) < benchDuration; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		daemon := cluster.Daemons[chooseSkewedDaemon(random)%len(cluster.Daemons)]
		time.Sleep(time.Until(next))
		due := next
		calls.Go(func() {
			call := harness.Call{ID: fmt.Sprintf("b%.2f-%d", load, number), Path: path, Body: []byte("print"), Deadline: 2 * time.Second}
			answer := caller.Do(context.Background(), daemon, call)
			mu.Lock()
			defer mu.Unlock()
			if !answer.IsComplete() {
				failed++
				return
			}
			_ = histogram.RecordValue(time.Since(due).Microseconds())
		})
	}
	calls.Wait()
	for name, quantile := range map[string]float64{"p50-ms": 50, "p99-ms": 99, "p99.9-ms": 99.9} {
		b.ReportMetric(float64(histogram.ValueAtQuantile(quantile))/1000, name)
	}
	b.ReportMetric(float64(histogram.TotalCount()), "answered")
	b.ReportMetric(float64(failed), "failed")
}

// chooseSkewedDaemon returns the index of a random daemon; the first half of them is
// chosen three times as often as the second.
func chooseSkewedDaemon(random *rand.Rand) int {
	pick := random.IntN(2 * benchDaemons)
	if pick < 3*benchDaemons/2 {
		return pick / 3
	}
	return benchDaemons/2 + pick - 3*benchDaemons/2
}
