// Package memorystore keeps the keys of a transactor.Store in memory, for tests.
package memorystore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
)

// A Store is a transactor.Store in memory. Its leases never expire; they end only by
// Revoke. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]transactor.Item
	history  []transactor.Event
	leases   map[string]int64 // lease of each key
	alive    map[int64]bool
	changed  chan struct{}
}

var _ transactor.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		items: make(map[string]transactor.Item), leases: make(map[string]int64), alive: make(map[int64]bool),
		changed: make(chan struct{}),
	}
}

// Get implements transactor.Store.
func (s *Store) Get(_ context.Context, key string) (transactor.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, transactor.ErrNotFound
	}
	return item, nil
}

// List implements transactor.Store.
func (s *Store) List(_ context.Context, prefix string) (items []transactor.Item, revision int64, err error) {
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

// Watch implements transactor.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []transactor.Event, revision int64, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		events, revision = s.eventsAfter(prefix, after), s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
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

// Commit implements transactor.Store.
func (s *Store) Commit(_ context.Context, txn transactor.Transaction) (int64, error) {
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
		item := transactor.Item{Key: write.Key, Value: write.Value, Revision: s.revision}
		s.items[write.Key], s.leases[write.Key] = item, write.Lease
		s.history = append(s.history, transactor.Event{Item: item})
	}
	for _, key := range txn.Deletes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	return s.revision, nil
}

// Grant implements transactor.Store.
func (s *Store) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := int64(len(s.alive) + 1)
	s.alive[lease] = true
	return lease, nil
}

// KeepAlive implements transactor.Store.
func (s *Store) KeepAlive(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive[lease] {
		return transactor.ErrNotFound
	}
	return nil
}

// Revoke implements transactor.Store.
func (s *Store) Revoke(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive[lease] {
		return transactor.ErrNotFound
	}
	s.alive[lease] = false
	s.bump()
	for key, held := range s.leases {
		if held == lease {
			s.remove(key)
		}
	}
	return nil
}

// Remove removes a key although its lease is alive.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	s.remove(key)
}

// remove removes a key at the current revision; the caller holds the lock.
func (s *Store) remove(key string) {
	delete(s.items, key)
	delete(s.leases, key)
	s.history = append(s.history, transactor.Event{Item: transactor.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// eventsAfter returns the changes of keys with a prefix after a revision; the caller
// holds the lock.
func (s *Store) eventsAfter(prefix string, after int64) (events []transactor.Event) {
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// bump starts the next revision and wakes the watches; the caller holds the lock.
func (s *Store) bump() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}
