package scheduler

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// A slowStore delays the answers to reads by random lengths, and counts all calls.
type slowStore struct {
	*memorystore.Store
	maxDelay time.Duration

	mu     sync.Mutex
	random *rand.Rand
	calls  int
	// brokenWatches is how many further watches end without an answer.
	brokenWatches int
}

// delay waits for a random length, and reports whether the context has not ended.
func (s *slowStore) delay(ctx context.Context) bool {
	s.mu.Lock()
	s.calls++
	length := time.Duration(s.random.Int64N(int64(s.maxDelay) + 1))
	s.mu.Unlock()
	return pauser.Sleep(ctx, length)
}

func (s *slowStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// breaksWatch reports whether the next watch is to end without an answer.
func (s *slowStore) breaksWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenWatches--
	return s.brokenWatches >= 0
}

func (s *slowStore) Get(ctx context.Context, key string) (transactor.Item, error) {
	item, err := s.Store.Get(ctx, key)
	if !s.delay(ctx) {
		return transactor.Item{}, ctx.Err()
	}
	return item, err
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]transactor.Item, int64, error) {
	items, revision, err := s.Store.List(ctx, prefix)
	if !s.delay(ctx) {
		return nil, 0, ctx.Err()
	}
	return items, revision, err
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]transactor.Event, int64, error) {
	if s.breaksWatch() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if !s.delay(ctx) {
		return nil, 0, ctx.Err()
	}
	return events, revision, err
}

// A fixedRegistry has a constant number of runners.
type fixedRegistry struct {
	conductor.Registry
	runners int
}

func (r fixedRegistry) Count(context.Context) (int, error) { return r.runners, nil }

// newDaemon returns a scheduler of a daemon that has read its configuration. Its
// campaign delay grows by 40 ms when its cores for each part halve.
func newDaemon(store transactor.Store, number int, cores float64) *Scheduler {
	s := &Scheduler{opts: Options{
		Instance: fmt.Sprint("d", number), PeerAddress: fmt.Sprint("host", number), Cores: cores,
		CampaignDelay: func(part, owned int) time.Duration {
			jitter := time.Duration((number*7+part*5)%15) * time.Millisecond
			return jitter + max(0, time.Duration(-math.Log2(cores/float64(1+owned))*float64(40*time.Millisecond)))
		},
		Store: store, Registry: fixedRegistry{runners: 490}, Recorder: recorder.Discard{},
	}}
	s.config.Set(Configuration{Version: 1})
	return s
}

// newSlowStore returns a daemon's access to a store.
func newSlowStore(store *memorystore.Store, seed uint64, maxDelay time.Duration) *slowStore {
	return &slowStore{Store: store, maxDelay: maxDelay, random: rand.New(rand.NewPCG(seed, seed))}
}

// agree returns the split that a daemon agrees on.
func agree(t *testing.T, s *Scheduler) partitioner.Split {
	t.Helper()
	split, err := s.agreeOnSplit(t.Context())
	if err != nil && t.Context().Err() == nil {
		t.Errorf("agreement on the split: %v", err)
	}
	return split
}
