package sharder

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/estimator"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

func TestNewOwnerRestoresEstimates(t *testing.T) {
	now := time.UnixMilli(1_900_000_000_000)
	known := isolator.Estimate{Service: "orders", Batch: "casting", PerCore: 7.5, At: now}
	use := placer.Resources{MilliCores: 2000, MemoryBytes: 3 * testGB}
	newOwner := func() *Sharder {
		return &Sharder{sizes: estimator.New(), options: Options{Interference: isolator.NewLearner()}}
	}
	first, second := newOwner(), newOwner()
	first.sizes.Observe("casts/0", "casts", use, now)
	first.options.Interference.Restore([]isolator.Estimate{known})
	second.replay(estimatesRecord(first.estimates()))
	if got := second.sizes.Size("casts/1", "casts", placer.Resources{}, now); got != use {
		t.Errorf("size %+v, want %+v", got, use)
	}
	got := second.options.Interference.Estimates()
	if len(got) != 1 || !got[0].At.Equal(now) || got[0].PerCore != known.PerCore || got[0].Batch != known.Batch {
		t.Errorf("estimates %+v, want %+v", got, known)
	}
}
