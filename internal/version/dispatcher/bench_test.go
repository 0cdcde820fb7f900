package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Measures one report with its placement pass, for a runner among 350 that hold
// 4,000 tasks while more are waiting than fit.
func BenchmarkReport(b *testing.B) {
	const runners = 350
	t := &testing.T{}
	h := newHarness(t, 0, runners)
	infos := make([]RunnerInfo, runners)
	for i := range infos {
		infos[i] = RunnerInfo{
			ID: fmt.Sprintf("r%d", i), Service: "s", DataCentre: "z", Lifetime: 1,
			Capacity: submitter.Resources{MilliCores: 32_000, MemoryMB: 128_000},
		}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(runners)
	for n := range 150 {
		step := serving(fmt.Sprint("image", n%5))
		step.Count, step.MilliCores = 14, 6400
		h.add(fmt.Sprint("svc", n), "urgent", step)
	}
	h.starts()
	for n := range 120 {
		step := bestEffort(fmt.Sprint("batch", n%9), 20)
		step.MilliCores = 3500
		h.add(fmt.Sprint("job", n), "night", step)
	}
	h.starts()
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		runner := fmt.Sprint("r", i%runners)
		for k := range h.reported[runner] {
			row := &h.reported[runner][k]
			row.Percent, row.Measure = 100, 8
		}
		h.now = h.now.Add(time.Millisecond)
		h.poll(runner)
		h.table.placementDue = true
		h.table.Schedule(h.now)
		h.execute(h.table.Orders())
	}
}
