package conductor

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A lateStore carries out some transactions only after their callers have given up.
type lateStore struct {
	emptyStore
	mu     sync.Mutex
	isSlow bool
	late   []transactor.Transaction
	items  map[string]transactor.Item
}

func (s *lateStore) Commit(ctx context.Context, txn transactor.Transaction) (revision int64, err error) {
	s.mu.Lock()
	if !s.isSlow {
		defer s.mu.Unlock()
		return s.carryOut(txn)
	}
	s.late = append(s.late, txn)
	s.mu.Unlock()
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *lateStore) Get(_ context.Context, key string) (item transactor.Item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, transactor.ErrNotFound
	}
	return item, nil
}

// carryOut applies a transaction if its conditions hold. The owner record never changes.
func (s *lateStore) carryOut(txn transactor.Transaction) (revision int64, err error) {
	conflict := &transactor.ConflictError{}
	for _, c := range txn.Conditions {
		if item := s.items[c.Key]; c.Key != "owner" && item.Revision != c.Revision {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if len(conflict.Items) > 0 {
		conflict.Items = append(conflict.Items, transactor.Item{Key: "owner", Revision: 1})
		return 0, conflict
	}
	revision, err = s.emptyStore.Commit(context.Background(), txn)
	for _, w := range txn.Writes {
		s.items[w.Key] = transactor.Item{Key: w.Key, Value: w.Value, Revision: revision}
	}
	return revision, err
}

// setSlow makes the store slow, or fast again.
func (s *lateStore) setSlow(isSlow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSlow = isSlow
}

// carryOutLate carries out the transactions whose callers have given up.
func (s *lateStore) carryOutLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.late {
		_, _ = s.carryOut(txn) // nobody learns of a conflict
	}
	s.late = nil
}

func (s *lateStore) assertRoster(t *testing.T, want ...string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var infos []dispatcher.RunnerInfo
	if err := json.Unmarshal(s.items[KeysOf(0).roster].Value, &infos); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, info := range infos {
		ids = append(ids, info.ID)
	}
	if slices.Sort(ids); !slices.Equal(ids, want) {
		t.Errorf("roster %v, want %v", ids, want)
	}
}

// rosterRunner returns the registry entry of a runner.
func rosterRunner(id string) dispatcher.RunnerInfo {
	return dispatcher.RunnerInfo{ID: id, Service: "s", Address: id, DataCentre: "z", Lifetime: 1, Capacity: heldRunner.Capacity}
}

// deliver delivers a list of runners, and waits until it has been applied.
func (r listRegistry) deliver(runners ...dispatcher.RunnerInfo) {
	r <- runners
	r <- runners // is taken once the first one has been applied
}

// startWithLateStore starts the term of an owner of one runner.
func startWithLateStore(t *testing.T) (c *Conductor, client *heldClient, store *lateStore) {
	t.Helper()
	client = newHeldClient()
	client.release()
	store = &lateStore{items: make(map[string]transactor.Item)}
	opts := heldOptions(t, client)
	opts.Store, opts.OwnerKey = store, "owner"
	return start(t, client, opts, rosterRunner("r0")), client, store
}

// Guards against a roster that lacks runners in use, since an earlier one, whose write had
// counted as failed, was written late.
func TestLateRosterDoesNotReplaceANewerOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, client, store := startWithLateStore(t)
		defer c.Close()
		r0, r1, r2 := rosterRunner("r0"), rosterRunner("r1"), rosterRunner("r2")
		client.registry.deliver(r0)
		store.assertRoster(t, "r0")
		store.setSlow(true)
		client.registry.deliver(r0, r1)
		store.setSlow(false)
		client.registry.deliver(r0, r1, r2)
		store.assertRoster(t, "r0", "r1", "r2")
		store.carryOutLate()
		store.assertRoster(t, "r0", "r1", "r2")
	})
}

// Guards against a roster with addresses at which no runner answers: a write that had counted
// as failed was carried out after the runners had changed back.
func TestRosterIsWrittenAgainAfterAFailure(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, client, store := startWithLateStore(t)
		defer c.Close()
		r0, r1 := rosterRunner("r0"), rosterRunner("r1")
		client.registry.deliver(r0, r1)
		store.setSlow(true)
		r0.Address = "moved"
		client.registry.deliver(r0, r1)
		store.setSlow(false)
		r0.Address = "r0"
		client.registry.deliver(r0, r1)
		store.carryOutLate()
		var infos []dispatcher.RunnerInfo
		if err := json.Unmarshal(store.items[KeysOf(0).roster].Value, &infos); err != nil {
			t.Fatal(err)
		}
		for _, info := range infos {
			if info.Address == "moved" {
				t.Errorf("roster names the address %q of %s", info.Address, info.ID)
			}
		}
	})
}

// Guards against a roster that replaces the one on which an owner before relies that is cut off
// with most of its runners, so that a successor takes a quorum of the new one for its end.
func TestRosterStaysWhileAnEarlierOwnerMayHaveAQuorum(t *testing.T) {
	t.Parallel()
	const mayAct = 10 * time.Second
	for _, c := range []struct {
		name   string
		silent int // of four runners
		after  time.Duration
	}{
		{"a quarter answers", 3, mayAct},
		{"half answers", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				client := newHeldClient()
				client.release()
				client.silent = "silent"
				former := []dispatcher.RunnerInfo{rosterRunner("r0"), rosterRunner("r1"), rosterRunner("r2"), rosterRunner("r3")}
				for i := range c.silent {
					former[i].Address = "silent"
				}
				store := newRosterStore(t, former)
				opts := heldOptions(t, client)
				opts.Store, opts.OwnerKey = store, "owner"
				opts.Generation, opts.FormerOwnerEnd = 1, time.Now().Add(mayAct)
				listed := append(slices.Clone(former), rosterRunner("r4"))
				defer start(t, client, opts, listed...).Close()
				if c.after > 0 {
					time.Sleep(c.after - time.Second)
					client.registry.deliver(listed...)
					store.assertRoster(t, "r0", "r1", "r2", "r3")
				}
				time.Sleep(2 * time.Second)
				client.registry.deliver(listed...)
				store.assertRoster(t, "r0", "r1", "r2", "r3", "r4")
			})
		})
	}
}

// newRosterStore returns a store that holds a roster.
func newRosterStore(t *testing.T, roster []dispatcher.RunnerInfo) *lateStore {
	t.Helper()
	value, err := json.Marshal(roster)
	if err != nil {
		t.Fatal(err)
	}
	s := &lateStore{items: make(map[string]transactor.Item)}
	if _, err := s.carryOut(transactor.Transaction{Writes: []transactor.Write{{Key: KeysOf(0).roster, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	return s
}
