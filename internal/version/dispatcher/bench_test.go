package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Measures one look, with its pass of placement, at a runner among 350 that
// hold 4,000 tasks while more wait than fit.
func BenchmarkReport(b *testing.B) {
	const runners = 350
	t := &testing.T{}
	bench := newBench(t, 0, runners)
	infos := make([]RunnerInfo, runners)
	for i := range infos {
		infos[i] = RunnerInfo{
			ID: fmt.Sprintf("r%d", i), Service: "s", DataCentre: "z", Lifetime: 1,
			Capacity: submitter.Resources{MilliCores: 32_000, MemoryMB: 128_000},
		}
	}
	bench.table.SetRunners(infos, bench.now)
	bench.lookAll(runners)
	for n := range 150 {
		step := serving(fmt.Sprint("image", n%5))
		step.Count, step.MilliCores = 14, 6400
		bench.add(fmt.Sprint("svc", n), "urgent", step)
	}
	bench.starts()
	for n := range 120 {
		step := filling(fmt.Sprint("batch", n%9), 20)
		step.MilliCores = 3500
		bench.add(fmt.Sprint("job", n), "night", step)
	}
	bench.starts()
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		runner := fmt.Sprint("r", i%runners)
		for k := range bench.lists[runner] {
			row := &bench.lists[runner][k]
			row.Percent, row.Measure = 100, 8
		}
		bench.now = bench.now.Add(time.Millisecond)
		bench.look(runner)
		bench.table.recheck = true
		bench.table.Schedule(bench.now)
		bench.carry(bench.table.Orders())
	}
}
