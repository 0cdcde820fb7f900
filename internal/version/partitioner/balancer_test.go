package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

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
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 5000})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4500})
		for i, want := range []int{0, 2, 0} {
			if part := b.Choose(parts, reserving); part != want {
				t.Errorf("choice %d: partition %d, want %d", i, part, want)
			}
		}
	})
	t.Run("best-effort load counts for best-effort tasks only", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 1000, Filling: 9000})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4000})
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
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 9000, LongRunning: 5000})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 7000, LongRunning: 7000})
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
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 100})
		b.UpdateLoad(0, Load{})
		if part := b.Choose(parts, reserving); part != 2 {
			t.Errorf("partition %d, want 2", part)
		}
	})
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
			b.UpdateLoad(part, loads[part])
		}
	}
	for _, demand := range demands {
		candidates := split.CandidateParts(fmt.Sprintf("%016x", random.Uint64()))
		daemon, part := balancers[random.IntN(daemons)], candidates[0]
		if balanced {
			part = daemon.Choose(candidates, demand)
		}
		loads[part] = loads[part].plus(demand)
		daemon.UpdateLoad(part, loads[part])
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
