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

// Measures one tick, for 350 runners that short tasks fill while 300 long-running tasks of
// 150 steps have been interrupted and wait for room.
func BenchmarkTickWithInterruptedTasks(b *testing.B) {
	const runners = 350
	t := &testing.T{}
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	var lost []Order
	for n := range 150 {
		h.add(fmt.Sprint("long", n), "urgent", submitter.Step{Count: 2, Resources: submitter.Resources{MilliCores: 5000}, LongRunning: true})
		lost = append(lost, h.starts()...)
	}
	for _, o := range lost {
		h.drop(o)
		h.poll(o.Runner, End{Task: o.Task, Run: o.Run, Kind: Failure})
	}
	for r := range h.table.runners {
		h.table.runners[r].suspendedUntil = h.now
	}
	for n := range 300 {
		h.add(fmt.Sprint("short", n), "urgent", oneCore(10))
	}
	for _, s := range h.table.subs {
		if s.sub.Steps[0].LongRunning {
			s.occs[0].steps[0].blockedAt = h.now.Add(time.Hour)
		}
	}
	for range 30 {
		h.starts()
	}
	h.table.Tick(h.now)
	h.advance(reserveAfter)
	h.pollAll(runners)
	h.table.Tick(h.now)
	if len(h.table.reserved) < 100 {
		b.Fatalf("%d runners with reserved room, want at least 100", len(h.table.reserved))
	}
	b.ReportAllocs()
	for b.Loop() {
		h.table.Tick(h.now)
	}
}

// Measures one tick of an owner of 200 runners of which 50 have announced that they leave,
// with 25 long-running tasks on each runner, while short tasks wait for room.
func BenchmarkTick(b *testing.B) {
	const runners, leaving = 200, 50
	for _, bench := range []struct {
		name         string
		used         int64 // by each long-running task, in milliCores, of 32 cores a runner
		maxPerRunner int
	}{
		{"with room", 600, 0},
		{"without room", 1250, 0},
		{"without room, with a limit per runner", 1250, 1},
	} {
		b.Run(bench.name, func(b *testing.B) {
			h := newHarness(&testing.T{}, 0, runners)
			infos := h.table.Runners()
			for i := range infos {
				infos[i].Capacity = submitter.Resources{MilliCores: 32_000, MemoryMB: 128_000}
			}
			h.table.SetRunners(infos, h.now)
			h.pollAll(runners)
			for n := range 100 {
				step := lasting(50, bench.used)
				step.MaxPerRunner = bench.maxPerRunner
				h.add(fmt.Sprint("long", n), "urgent", step)
			}
			for len(h.starts()) > 0 {
				h.pollAll(runners)
			}
			for n := range 500 {
				h.add(fmt.Sprint("short", n), "urgent", oneCore(20))
			}
			for len(h.starts()) > 0 {
				h.now = h.now.Add(time.Millisecond)
			}
			h.pollAll(runners)
			for i := range infos {
				infos[i].Draining = i < leaving
			}
			h.table.SetRunners(infos, h.now)
			b.ReportAllocs()
			for b.Loop() {
				h.table.Tick(h.now)
				h.table.Orders()
			}
		})
	}
}

// newBacklog returns a harness of runners that services fill up to what they bear, with late
// best-effort submissions of several images, sizes and affinities of which nothing runs.
func newBacklog(runners, submissions int) *harness {
	h := newHarness(&testing.T{}, 0, 0)
	infos := make([]RunnerInfo, runners)
	for i := range infos {
		infos[i] = RunnerInfo{
			ID: fmt.Sprint("r", i), Service: "s", DataCentre: "z", Lifetime: 1, Rack: fmt.Sprint("rack", i%4),
			Labels: []string{fmt.Sprint("rack", i%4)}, Capacity: submitter.Resources{MilliCores: 32_000, MemoryMB: 128_000},
		}
	}
	h.table.SetRunners(infos, h.now)
	h.table.RosterStored(infos)
	h.pollAll(runners)
	const services = 3
	for n := range services {
		step := serving(fmt.Sprint("web", n))
		step.Count, step.MaxPerRunner = runners, 1
		h.add(fmt.Sprint("service", n), "urgent", step)
		for image := range 9 {
			for range 50 {
				h.table.interference.pressures.Learn(step.Image, 0.5, map[string]float64{fmt.Sprint("batch", image): 1})
			}
		}
	}
	for len(h.starts()) > 0 {
		h.pollAll(runners)
	}
	h.work()
	for _, rows := range h.reported {
		for i := range rows {
			rows[i].Measure = 18 // the target, so that the service bears nothing beside it
		}
	}
	for n := range submissions {
		step := bestEffort(fmt.Sprint("batch", n%9), 8+n%43)
		step.MilliCores, step.Affinity = int64(2000+50*(n%60)), fmt.Sprint("rack", n%4)
		h.add(fmt.Sprint("job", n), "night", step)
	}
	for range 20 {
		h.advance(time.Second)
		h.pollAll(runners)
	}
	return h
}

// keepAnswering lets all runners have answered just now.
func (h *harness) keepAnswering() {
	h.table.ConfirmOwnership(h.now)
	h.table.Authorize(0, 0, h.now)
	for _, r := range h.table.runners {
		r.answeredAt, r.roomAt = h.now, h.now
	}
}

// Measures a placement pass and a tick while hundreds of late best-effort submissions wait, none of
// which can start. Ten milliseconds pass between the passes, 200 between the ticks.
func BenchmarkBacklog(b *testing.B) {
	for _, runners := range []int{66, 192} {
		for _, waiting := range []int{250, 700} {
			h := newBacklog(runners, waiting)
			run := func(name string, interval time.Duration, do func()) {
				b.Run(fmt.Sprintf("%s/runners=%d/waiting=%d", name, runners, waiting), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						h.now = h.now.Add(interval)
						h.keepAnswering()
						do()
						if orders := h.table.Orders(); len(orders) > 0 {
							b.Fatalf("%d orders, want none", len(orders))
						}
					}
				})
			}
			run("Schedule", 10*time.Millisecond, func() {
				h.table.placementDue = true
				h.table.Schedule(h.now)
			})
			run("Tick", 200*time.Millisecond, func() { h.table.Tick(h.now) })
		}
	}
}

// Measures one tick of an owner of 192 runners that short tasks fill, for 250 late submissions
// of tasks of many cores, of which nothing has run for long.
func BenchmarkTickWithIdleTasks(b *testing.B) {
	for _, bench := range []struct {
		name  string
		step  submitter.Step
		label string
	}{
		{"of many cores", large(4), ""},
		{"gangs", submitter.Step{Count: 20, Resources: large(1).Resources, Gang: true}, ""},
		{"that no runner takes", large(4), "other"},
	} {
		b.Run(bench.name, func(b *testing.B) {
			s := newStream(&testing.T{}, 192, stream{queue: "urgent", memoryMB: 100})
			bench.step.RequiredLabel = bench.label
			for n := range 250 {
				s.addAged(fmt.Sprint("late", n), "urgent", waitBound, bench.step)
			}
			s.pollAll(192)
			b.ReportAllocs()
			for b.Loop() {
				s.table.Tick(s.now)
			}
		})
	}
}

// Measures the decisions of an owner of 66 runners over a minute with more best-effort work
// than fits, and how much of it ends in time.
func BenchmarkReplay(b *testing.B) {
	for _, rate := range []float64{12, 20, 30} {
		b.Run(fmt.Sprintf("submissions=%.0f/s", rate), func(b *testing.B) {
			var best, short float64
			counts := make(map[string]int)
			for seed := uint64(1); b.Loop(); seed++ {
				r := newReplay(seed, 66)
				r.run(time.Minute, rate, 4.5)
				ofBest, ofShort := r.worth()
				best, short = best+ofBest, short+ofShort
				for name, n := range r.counts {
					counts[name] += n
				}
			}
			b.ReportMetric(best/float64(b.N), "best-effort")
			b.ReportMetric(short/float64(b.N), "short")
			for name, n := range counts {
				b.ReportMetric(float64(n)/float64(b.N), name)
			}
		})
	}
}
