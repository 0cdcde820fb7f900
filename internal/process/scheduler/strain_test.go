package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// joinLater starts a daemon that takes all parts, and others later. It returns the number of
// parts that each daemon owns in the end.
func joinLater(t *testing.T, seed uint64, cores []float64, want float64) (owned map[int]int) {
	t.Helper()
	f := emptyFleet(t)
	f.leavesIfStrained = true
	defer f.close()
	split, err := partitioner.ChooseSplit(490, 0.8).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err = f.store.Commit(t.Context(), transactor.Transaction{Writes: []transactor.Write{{Key: splitKey, Value: split}}}); err != nil {
		t.Fatal(err)
	}
	for i := range cores {
		f.start(i, cores[i], newSlowStore(f.store, seed*1000+uint64(i), 20*time.Millisecond))
		if i == 0 {
			time.Sleep(2 * time.Second)
			f.assertOwners("at the start", cores, cores[0])
		}
	}
	time.Sleep(time.Minute)
	return f.assertOwners("a minute later", cores, want)
}

func TestPartsMoveToDaemonsWithMoreProcessorTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		for name, c := range map[string]struct {
			cores []float64
			want  float64 // cores of the owners
			parts map[int]int
		}{
			"equal daemons":       {[]float64{0.8, 0.8, 0.8, 0.8}, 0.8, nil},
			"larger daemons":      {[]float64{0.192, 0.8, 0.8, 0.8}, 0.8, nil},
			"no daemon with more": {[]float64{0.8, 0.192, 0.192}, 0.8, map[int]int{0: fleetParts}},
		} {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					owned := joinLater(t, seed, c.cores, c.want)
					if c.parts == nil && len(owned) != fleetParts {
						t.Errorf("parts by daemon: %v, want %d daemons with one each", owned, fleetParts)
					}
					if c.parts != nil && !maps.Equal(owned, c.parts) {
						t.Errorf("parts by daemon: %v, want %v", owned, c.parts)
					}
				})
			})
		}
	}
}
