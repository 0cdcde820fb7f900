package elector

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
)

// memoryStore is a transactor.Store in memory. Its leases never expire; they end
// only by End.
type memoryStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]transactor.Item
	leases   map[string]int64 // lease of each key
	alive    map[int64]bool
	changed  chan struct{}
}

var _ transactor.Store = (*memoryStore)(nil)

func newMemoryStore() *memoryStore {
	return &memoryStore{
		items: make(map[string]transactor.Item), leases: make(map[string]int64), alive: make(map[int64]bool),
		changed: make(chan struct{}),
	}
}

func (s *memoryStore) Get(_ context.Context, key string) (transactor.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, transactor.ErrNotFound
	}
	return item, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) (items []transactor.Item, revision int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, s.revision, nil
}

func (s *memoryStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]transactor.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if revision > after {
			return []transactor.Event{{}}, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *memoryStore) Commit(_ context.Context, txn transactor.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &transactor.ConflictError{}
	holds := true
	for _, condition := range txn.Conditions {
		item := s.items[condition.Key]
		holds = holds && item.Revision == condition.Revision
		if item.Revision > 0 {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if !holds {
		return 0, conflict
	}
	for _, write := range txn.Writes {
		if write.Lease != 0 && !s.alive[write.Lease] {
			return 0, transactor.ErrNotFound
		}
	}
	s.bump()
	for _, write := range txn.Writes {
		s.items[write.Key] = transactor.Item{Key: write.Key, Value: write.Value, Revision: s.revision}
		s.leases[write.Key] = write.Lease
	}
	return s.revision, nil
}

func (s *memoryStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := int64(len(s.alive) + 1)
	s.alive[lease] = true
	return lease, nil
}

func (s *memoryStore) KeepAlive(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive[lease] {
		return transactor.ErrNotFound
	}
	return nil
}

func (s *memoryStore) Revoke(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive[lease] {
		return transactor.ErrNotFound
	}
	s.alive[lease] = false
	for key, held := range s.leases {
		if held == lease {
			delete(s.items, key)
			delete(s.leases, key)
		}
	}
	s.bump()
	return nil
}

// removeKey removes a key although its lease is alive.
func (s *memoryStore) removeKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
	delete(s.leases, key)
	s.bump()
}

// bump starts the next revision and wakes the watches; the caller holds the lock.
func (s *memoryStore) bump() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}
