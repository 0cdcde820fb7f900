package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestChooseHome(t *testing.T) {
	t.Parallel()
	homes := []int{2, 0}
	lasting := Load{Reserved: 1000}
	t.Run("the first of equals", func(t *testing.T) {
		t.Parallel()
		if home := NewBalancer().Choose(homes, lasting); home != 2 {
			t.Errorf("home %d", home)
		}
	})
	t.Run("the less loaded", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 5000})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4500})
		for i, want := range []int{0, 2, 0} {
			if home := b.Choose(homes, lasting); home != want {
				t.Errorf("choice %d: home %d, want %d", i, home, want)
			}
		}
	})
	t.Run("filling work counts for filling work only", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 1000, Filling: 9000})
		b.UpdateLoad(0, Load{Capacity: 10_000, Reserved: 4000})
		if home := b.Choose(homes, lasting); home != 2 {
			t.Errorf("home %d for a task that lasts", home)
		}
		if home := b.Choose(homes, Load{Filling: 1000}); home != 0 {
			t.Errorf("home %d for a filling task", home)
		}
	})
	t.Run("an owner without runners says nothing", func(t *testing.T) {
		t.Parallel()
		b := NewBalancer()
		b.UpdateLoad(2, Load{Capacity: 10_000, Reserved: 100})
		b.UpdateLoad(0, Load{})
		if home := b.Choose(homes, lasting); home != 2 {
			t.Errorf("home %d", home)
		}
	})
}

// fullest hands in tasks that last at random daemons until they take four fifths
// of all processors, and returns the share that is taken in the fullest part.
func fullest(seed uint64, daemons, submissions int, balanced bool) float64 {
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
	var held [parts]Load
	for part := range held {
		held[part].Capacity = total * 10 / 8 / parts
		for _, b := range balancers {
			b.UpdateLoad(part, held[part])
		}
	}
	for _, demand := range demands {
		homes := split.CandidateParts(fmt.Sprintf("%016x", random.Uint64()))
		daemon, home := balancers[random.IntN(daemons)], homes[0]
		if balanced {
			home = daemon.Choose(homes, demand)
		}
		held[home] = held[home].plus(demand)
		daemon.UpdateLoad(home, held[home])
	}
	most := 0.0
	for _, load := range held {
		most = max(most, load.shareFor(Load{Reserved: 1}))
	}
	return most
}

// Replays the load of sdg-sched-grown: tasks that last take four fifths of all
// processors. By hash alone, one of four parts was full.
func TestLastingTasksAreSpreadEvenly(t *testing.T) {
	t.Parallel()
	const seeds = 200
	byHash, balanced := 0.0, 0.0
	for seed := range uint64(seeds) {
		byHash += fullest(seed, 8, 400, false) / seeds
		balanced += fullest(seed, 8, 400, true) / seeds
	}
	t.Logf("the fullest part is taken by %.3f, by hash alone %.3f", balanced, byHash)
	if balanced-0.8 > (byHash-0.8)/2 {
		t.Errorf("the fullest part is taken by %.3f, by hash alone %.3f", balanced, byHash)
	}
}

func TestDemandOf(t *testing.T) {
	t.Parallel()
	sub := &submitter.Submission{Steps: []submitter.Step{
		{Count: 4, Resources: submitter.Resources{MilliCores: 500}},
		{Count: 10, Resources: submitter.Resources{MilliCores: 1000}, Fills: true},
		{Count: 3, Resources: submitter.Resources{MilliCores: 100}},
	}}
	if got, want := DemandOf(sub), (Load{Reserved: 2000, Filling: 10_000}); got != want {
		t.Errorf("demand %+v, want %+v", got, want)
	}
}
