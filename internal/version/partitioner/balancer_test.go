package partitioner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestBalancerChoose(t *testing.T) {
	t.Parallel()
	parts := []int{2, 0}
	reserving := Load{Reserved: 1000}
	t.Run("the first of equally loaded partitions", func(t *testing.T) {
		t.Parallel()
		if part := NewBalancer().Choose(parts, reserving); part != 2 {
			t.Errorf("partition %d, want 2", part)
		}
	})
	t.Run("the less loaded partition", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 5000}, time.Time{})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4500}, time.Time{})
		for i, want := range []int{0, 2, 0} {
			if part := b.Choose(parts, reserving); part != want {
				t.Errorf("choice %d: partition %d, want %d", i, part, want)
			}
		}
	})
	t.Run("best-effort load counts for best-effort tasks only", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 1000, Filling: 9000}, time.Time{})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4000}, time.Time{})
		if part := b.Choose(parts, reserving); part != 2 {
			t.Errorf("partition %d for a reserving task, want 2", part)
		}
		if part := b.Choose(parts, Load{Filling: 1000}); part != 0 {
			t.Errorf("partition %d for a best-effort task, want 0", part)
		}
	})
	t.Run("long-running tasks are compared with long-running ones", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 9000, LongRunning: 5000}, time.Time{})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 7000, LongRunning: 7000}, time.Time{})
		if part := b.Choose(parts, Load{Reserved: 1000, LongRunning: 1000}); part != 2 {
			t.Errorf("partition %d for a long-running task, want 2", part)
		}
		if part := b.Choose(parts, reserving); part != 0 {
			t.Errorf("partition %d for a short task, want 0", part)
		}
	})
	t.Run("the load of an owner without runners is ignored", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 100}, time.Time{})
		b.UpdateLoad(0, Load{}, time.Time{})
		if part := b.Choose(parts, reserving); part != 2 {
			t.Errorf("partition %d, want 2", part)
		}
	})
}

func TestBalancerSkipsPartitionsThatAreOut(t *testing.T) {
	t.Parallel()
	parts := []int{2, 0}
	demand := Load{Filling: 1000}
	idle, busy := Load{Capacity: 10_000}, Load{Capacity: 10_000, Filling: 9000}
	for name, takeOut := range map[string]func(b *Balancer){
		"no runner":    func(b *Balancer) { b.UpdateLoad(2, Load{}, time.Time{}) },
		"silent owner": func(b *Balancer) { b.MarkSilent(2) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := NewBalancer()
			b.UpdateLoad(2, idle, time.Time{})
			b.UpdateLoad(0, busy, time.Time{})
			takeOut(b)
			assertChoice(t, b, parts, demand, 0)
			b.UpdateLoad(2, idle, time.Time{})
			assertChoice(t, b, parts, demand, 2)
		})
	}
	t.Run("silent owner of an unknown load", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.MarkSilent(2)
		assertChoice(t, b, parts, demand, 0)
	})
	t.Run("all are out", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.MarkSilent(2)
		b.MarkSilent(0)
		assertChoice(t, b, parts, demand, 2)
	})
}

func assertChoice(t *testing.T, b *Balancer, parts []int, demand Load, want int) {
	t.Helper()
	if part := b.Choose(parts, demand); part != want {
		t.Errorf("partition %d, want %d", part, want)
	}
}

func TestBalancerOutdated(t *testing.T) {
	t.Parallel()
	b := NewBalancer()
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		when string
		at   time.Duration
		want []int
	}{
		{"not known", 0, []int{0, 1}},
		{"asked just now", maxLoadAge - 1, nil},
		{"no answer", maxLoadAge, []int{0, 1}},
	} {
		assertOutdated(t, b, c.when, start.Add(c.at), c.want)
	}
	b.UpdateLoad(1, Load{Capacity: 1}, start.Add(maxLoadAge+time.Second))
	assertOutdated(t, b, "one has answered", start.Add(2*maxLoadAge), []int{0})
}

func assertOutdated(t *testing.T, b *Balancer, when string, now time.Time, want []int) {
	t.Helper()
	if got := b.Outdated([]int{0, 1}, now); !slices.Equal(got, want) {
		t.Errorf("%s: partitions %v are outdated, want %v", when, got, want)
	}
}

// highestUtilisation submits long-running tasks to random daemons until four
// fifths of all processors are taken, and returns the utilisation of the
// fullest partition.
func highestUtilisation(seed uint64, daemons, submissions int, balanced bool) float64 {
	const parts = 4
	random := rand.New(rand.NewPCG(seed, seed))
	split := Split{Parts: parts}
	balancers := make([]*Balancer, daemons)
	for i := range balancers {
		balancers[i] = NewBalancer()
	}
	demands := make([]Load, submissions)
	total := int64(0)
	for n := range demands {
		demands[n].Reserved = 8000 + random.Int64N(13_000)
		total += demands[n].Reserved
	}
	var loads [parts]Load
	for part := range loads {
		loads[part].Capacity = total * 10 / 8 / parts
		for _, b := range balancers {
			b.UpdateLoad(part, loads[part], time.Time{})
		}
	}
	for _, demand := range demands {
		candidates := split.CandidateParts(fmt.Sprintf("%016x", random.Uint64()))
		daemon, part := balancers[random.IntN(daemons)], candidates[0]
		if balanced {
			part = daemon.Choose(candidates, demand)
		}
		loads[part] = loads[part].plus(demand)
		daemon.UpdateLoad(part, loads[part], time.Time{})
	}
	highest := 0.0
	for _, load := range loads {
		highest = max(highest, load.utilisationFor(Load{Reserved: 1}))
	}
	return highest
}

// Guards against a partition that is full while others have room: long-running
// tasks take four fifths of all processors (sdg-sched-grown), and with partitions
// chosen by hash alone, one of four was full.
func TestLongRunningTasksAreSpreadEvenly(t *testing.T) {
	t.Parallel()
	const seeds = 200
	byHash, balanced := 0.0, 0.0
	for seed := range uint64(seeds) {
		byHash += highestUtilisation(seed, 8, 400, false) / seeds
		balanced += highestUtilisation(seed, 8, 400, true) / seeds
	}
	t.Logf("utilisation of the fullest partition %.3f, by hash alone %.3f", balanced, byHash)
	if balanced-0.8 > (byHash-0.8)/2 {
		t.Errorf("utilisation of the fullest partition %.3f, by hash alone %.3f; want at most half as far above the mean", balanced, byHash)
	}
}

func TestDemandOf(t *testing.T) {
	t.Parallel()
	sub := &submitter.Submission{Steps: []submitter.Step{
		{Count: 4, Resources: submitter.Resources{MilliCores: 500}},
		{Count: 10, Resources: submitter.Resources{MilliCores: 1000}, Fills: true},
		{Count: 3, Resources: submitter.Resources{MilliCores: 100}, LongRunning: true},
	}}
	if got, want := DemandOf(sub), (Load{Reserved: 2000, LongRunning: 300, Filling: 10_000}); got != want {
		t.Errorf("demand %+v, want %+v", got, want)
	}
}
