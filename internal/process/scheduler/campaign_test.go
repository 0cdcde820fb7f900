package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// fleetParts is the number of parts that a daemon of 0.8 core chooses for newDaemon's
// runners.
const fleetParts = 3

// A fleet is a set of daemons that agree on a split and elect owners of its parts.
type fleet struct {
	t      *testing.T
	store  *memorystore.Store
	agreed sync.WaitGroup
	// leavesIfStrained says that owners give up parts as they do in serveOwner.
	leavesIfStrained bool

	mu       sync.Mutex
	electors map[int]*elector.Elector // by daemon
	owners   map[int]map[int]bool     // daemons that serve, by part
}

func emptyFleet(t *testing.T) *fleet {
	t.Helper()
	return &fleet{t: t, store: memorystore.New(), electors: make(map[int]*elector.Elector), owners: make(map[int]map[int]bool)}
}

// newFleet starts daemons with the given cores. The calls of each one last up to
// callTime.
func newFleet(t *testing.T, seed uint64, callTime time.Duration, cores []float64) *fleet {
	t.Helper()
	f := emptyFleet(t)
	for i := range cores {
		f.start(i, cores[i], newSlowStore(f.store, seed*1000+uint64(i), callTime))
	}
	f.agreed.Wait()
	return f
}

// start starts a daemon.
func (f *fleet) start(i int, cores float64, store *slowStore) {
	s := newDaemon(store, i, cores)
	f.agreed.Go(func() {
		d := &duties{s: s, split: agree(f.t, s)}
		d.elector = d.newElector(func(ctx context.Context, term *elector.Term) {
			if f.leavesIfStrained {
				f.agreed.Go(func() { d.leaveIfStrained(ctx, term) })
			}
			f.serve(ctx, i, term.Owner.Part)
		})
		f.mu.Lock()
		f.electors[i] = d.elector
		f.mu.Unlock()
		d.elector.Run(f.t.Context())
	})
}

// close stops all daemons.
func (f *fleet) close() {
	for _, e := range f.electors {
		e.Close()
	}
}

// serve notes that a daemon owns a part until the context ends.
func (f *fleet) serve(ctx context.Context, daemon, part int) {
	f.note(daemon, part, true)
	<-ctx.Done()
	f.note(daemon, part, false)
}

func (f *fleet) note(daemon, part int, owns bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owners[part] == nil {
		f.owners[part] = make(map[int]bool)
	}
	if f.owners[part][daemon] = owns; !owns {
		delete(f.owners[part], daemon)
	}
}

// resign makes daemons give up their parts for good.
func (f *fleet) resign(daemons ...int) {
	for _, i := range daemons {
		f.electors[i].Resign(f.t.Context())
	}
}

// assertOwners checks that each part has one owner, which has the wanted cores. It
// returns the parts that each daemon owns.
func (f *fleet) assertOwners(when string, cores []float64, want float64) (owned map[int]int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	owned = make(map[int]int)
	for part := range fleetParts {
		if n := len(f.owners[part]); n != 1 {
			f.t.Errorf("%s: part %d has %d owners, want one", when, part, n)
		}
		for daemon := range f.owners[part] {
			if cores[daemon] != want {
				f.t.Errorf("%s: the owner of part %d has %.3f cores, want %.3f", when, part, cores[daemon], want)
			}
			owned[daemon]++
		}
	}
	return owned
}

// fleetCores returns the cores of large daemons, which come first, and small ones.
func fleetCores(large, small int, smallCores float64) (cores []float64) {
	for range large {
		cores = append(cores, 0.8)
	}
	for range small {
		cores = append(cores, smallCores)
	}
	return cores
}

// Guards against parts owned by small daemons while there are large ones, because a
// small one noticed first that a part was vacant.
func TestLargeDaemonsOwnPartsWhoeverNoticesFirst(t *testing.T) {
	t.Parallel()
	const large, small = 5, 22
	for _, c := range []struct {
		smallCores float64
		callTime   time.Duration
	}{
		{0.192, 80 * time.Millisecond},
		{0.4, 40 * time.Millisecond},
	} {
		cores := fleetCores(large, small, c.smallCores)
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%.3f cores, seed %d", c.smallCores, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, c.callTime, cores)
					defer f.close()
					time.Sleep(time.Second)
					owned := f.assertOwners("at the start", cores, 0.8)
					if len(owned) > 0 {
						f.resign(slices.Min(slices.Collect(maps.Keys(owned))))
					}
					time.Sleep(time.Second)
					f.assertOwners("after a takeover", cores, 0.8)
				})
			})
		}
	}
}

func TestSmallDaemonsOwnPartsWithoutLargeOnes(t *testing.T) {
	t.Parallel()
	const large, small = 2, 8
	cores := fleetCores(large, small, 0.192)
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 20*time.Millisecond, cores)
				defer f.close()
				time.Sleep(time.Second)
				f.resign(0, 1)
				time.Sleep(500 * time.Millisecond)
				f.assertOwners("500 ms after the end of the large daemons", cores, 0.192)
			})
		})
	}
}

func TestPartsSpreadOverEqualDaemons(t *testing.T) {
	t.Parallel()
	cores := fleetCores(4, 0, 0)
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 2*time.Millisecond, cores)
				defer f.close()
				time.Sleep(500 * time.Millisecond)
				if owned := f.assertOwners("at the start", cores, 0.8); len(owned) != fleetParts {
					t.Errorf("parts by daemon: %v, want %d daemons with one each", owned, fleetParts)
				}
			})
		})
	}
}

func TestShortageDelay(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name              string
		cores, splitCores float64
		owned             int
		want              time.Duration
	}{
		{"the cores of the split", 0.8, 0.8, 0, 0},
		{"a second part", 0.8, 0.8, 1, 0},
		{"a fourth part", 0.8, 0.8, 3, noticeSpread},
		{"more cores than the split's", 3, 0.8, 0, 0},
		{"half of the cores", 0.4, 0.8, 0, noticeSpread},
		{"a quarter of the cores, and a second part", 0.2, 0.8, 1, 2 * noticeSpread},
		{"a split without cores", 0.2, 0, 3, 0},
		{"unknown cores", 0, 0.8, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := shortageDelay(c.cores, c.splitCores, c.owned); got != c.want {
				t.Errorf("delay %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against one large daemon that takes all parts because small ones wait for it.
func TestLargeDaemonLeavesPartsToSmallOnes(t *testing.T) {
	t.Parallel()
	const splitCores, smallCores = 0.8, 0.2
	large, small := newDaemon(memorystore.New(), 0, splitCores), newDaemon(memorystore.New(), 1, smallCores)
	split := partitioner.Split{Parts: 16, Cores: splitCores}
	largeDuties, smallDuties := &duties{s: large, split: split}, &duties{s: small, split: split}
	waits := smallDuties.campaignDelay(0, 0)
	for owned := range split.Parts {
		larger, delay := splitCores/float64(1+owned) > smallCores, largeDuties.campaignDelay(0, owned)
		switch {
		case larger && delay >= waits:
			t.Errorf("large daemon with %d parts waits %s, small one %s; want the large one to go first", owned, delay, waits)
		case owned >= 7 && delay <= waits: // half of the small daemon's cores for a part
			t.Errorf("large daemon with %d parts waits %s, small one %s; want the small one to go first", owned, delay, waits)
		}
	}
}
