// Package keyvalue is a stand-in for the platform's key-value service: an in-memory table with
// compare-and-swap, leases and watches. Tests inject faults into it and read its counters.
package keyvalue

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
)

// historyLimit is the number of changes to which the table compacts its history. A watch can start
// at an earlier revision only if the history still has all changes after that revision.
const historyLimit = 200_000

// An item is the value of one key, with the numbers that conditions compare: the revisions of the
// key's creation and last change, and the number of its writes including the creation.
type item struct {
	value    []byte
	created  storer.Revision
	modified storer.Revision
	version  int64
	lease    storer.LeaseID
}

// A lease is a set of keys that are deleted when its deadline passes.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

// A Table is the state of the key-value service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	revision storer.Revision
	// compacted is the revision up to which changes have been discarded from history.
	compacted storer.Revision
	items     map[string]item
	leases    map[storer.LeaseID]*lease
	nextLease storer.LeaseID
	history   []storer.Event
	// changed is closed and replaced at each change.
	changed        chan struct{}
	isExpiryPaused bool
}

// NewTable returns an empty table at revision 1.
func NewTable() *Table {
	return &Table{
		revision:  1,
		items:     map[string]item{},
		leases:    map[storer.LeaseID]*lease{},
		nextLease: 1000,
		changed:   make(chan struct{}),
	}
}

// Get returns the entry of one key and the present revision of the table. It reports false if the
// key doesn't exist.
func (t *Table) Get(now time.Time, key string) (entry storer.Entry, at storer.Revision, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	found, ok := t.items[key]
	if !ok {
		return storer.Entry{}, t.revision, false
	}
	return found.entry(key), t.revision, true
}

// Range returns the entries of the keys in [from, to), sorted by key. An empty to selects only
// from; "\x00" selects all keys that are not before from.
func (t *Table) Range(now time.Time, from, to string) storer.Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	listing := storer.Listing{Revision: t.revision}
	for _, key := range t.keys(from, to) {
		listing.Entries = append(listing.Entries, t.items[key].entry(key))
	}
	return listing
}

// Grant creates a lease with a time to live.
func (t *Table) Grant(now time.Time, ttl time.Duration) storer.LeaseID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.nextLease++
	t.leases[t.nextLease] = &lease{ttl: ttl, deadline: now.Add(ttl), keys: map[string]struct{}{}}
	return t.nextLease
}

// KeepAlive renews a lease and returns its time to live. It reports false if the lease doesn't
// exist.
func (t *Table) KeepAlive(now time.Time, id storer.LeaseID) (ttl time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	found, ok := t.leases[id]
	if !ok {
		return 0, false
	}
	found.deadline = now.Add(found.ttl)
	return found.ttl, true
}

// Revoke ends a lease and deletes its keys. It reports false if the lease doesn't exist.
func (t *Table) Revoke(now time.Time, id storer.LeaseID) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.endLease(id)
}

// Expire ends the leases whose deadline has passed, unless their expiry is paused.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

// PauseExpiry keeps leases from lapsing until ResumeExpiry.
func (t *Table) PauseExpiry(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.isExpiryPaused = true
}

// ResumeExpiry ends a pause and renews each lease for its full time to live.
func (t *Table) ResumeExpiry(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isExpiryPaused {
		return
	}
	t.isExpiryPaused = false
	for _, each := range t.leases {
		each.deadline = now.Add(each.ttl)
	}
}

// Since returns the changes to the keys in [from, to) after a revision, the present revision, and a
// channel that is closed at the next change. It reports false if changes after the revision have
// been compacted.
func (t *Table) Since(now time.Time, from, to string, after storer.Revision) (events []storer.Event, reached storer.Revision, changed <-chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if after < t.compacted {
		return nil, t.revision, nil, false
	}
	first, _ := slices.BinarySearchFunc(t.history, after+1, func(event storer.Event, revision storer.Revision) int {
		return int(event.Entry.Revision - revision)
	})
	for _, event := range t.history[first:] {
		if inRange(event.Entry.Key, from, to) {
			event.Entry.Value = bytes.Clone(event.Entry.Value)
			events = append(events, event)
		}
	}
	return events, t.revision, t.changed, true
}

// Compact discards the changes up to and including a revision.
func (t *Table) Compact(revision storer.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compacted = max(t.compacted, min(revision, t.revision))
	t.history = slices.DeleteFunc(t.history, func(event storer.Event) bool {
		return event.Entry.Revision <= t.compacted
	})
}

// expire ends lapsed leases unless their expiry is paused. The caller must hold the lock.
func (t *Table) expire(now time.Time) {
	if t.isExpiryPaused {
		return
	}
	for id, each := range t.leases {
		if now.After(each.deadline) {
			t.endLease(id)
		}
	}
}

// endLease deletes a lease, and all keys of the lease at one revision. It reports false if the
// lease doesn't exist. The caller must hold the lock.
func (t *Table) endLease(id storer.LeaseID) bool {
	found, ok := t.leases[id]
	if !ok {
		return false
	}
	delete(t.leases, id)
	if len(found.keys) == 0 {
		return true
	}
	t.revision++
	for key := range found.keys {
		t.remove(key)
	}
	t.publish()
	return true
}

// put writes a key at the present revision. The caller must hold the lock.
func (t *Table) put(key string, value []byte, id storer.LeaseID) {
	old, existed := t.items[key]
	if existed {
		t.detach(key, old.lease)
	}
	next := item{value: bytes.Clone(value), created: old.created, modified: t.revision, version: old.version + 1, lease: id}
	if !existed {
		next.created = t.revision
	}
	t.items[key] = next
	if attached, ok := t.leases[id]; ok {
		attached.keys[key] = struct{}{}
	}
	t.history = append(t.history, storer.Event{Entry: next.entry(key)})
}

// remove deletes a key at the present revision and reports whether it existed. The caller must hold
// the lock.
func (t *Table) remove(key string) bool {
	old, ok := t.items[key]
	if !ok {
		return false
	}
	t.detach(key, old.lease)
	delete(t.items, key)
	deleted := storer.Entry{Key: key, Revision: t.revision}
	t.history = append(t.history, storer.Event{Entry: deleted, Deleted: true})
	return true
}

// detach removes a key from its lease. The caller must hold the lock.
func (t *Table) detach(key string, id storer.LeaseID) {
	if attached, ok := t.leases[id]; ok {
		delete(attached.keys, key)
	}
}

// publish wakes the waiting watches. Once the history exceeds historyLimit by a tenth, publish
// compacts the history to historyLimit changes. The caller must hold the lock.
func (t *Table) publish() {
	if excess := len(t.history) - historyLimit; excess > historyLimit/10 {
		t.compacted = t.history[excess-1].Entry.Revision
		t.history = slices.DeleteFunc(t.history, func(event storer.Event) bool {
			return event.Entry.Revision <= t.compacted
		})
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// keys returns the keys in [from, to), sorted. The caller must hold the lock.
func (t *Table) keys(from, to string) []string {
	if to == "" {
		if _, ok := t.items[from]; ok {
			return []string{from}
		}
		return nil
	}
	var found []string
	for key := range t.items {
		if inRange(key, from, to) {
			found = append(found, key)
		}
	}
	slices.Sort(found)
	return found
}

// entry returns the item as a client of the store sees it.
func (i item) entry(key string) storer.Entry {
	return storer.Entry{Key: key, Value: bytes.Clone(i.value), Revision: i.modified, Lease: i.lease}
}

// inRange reports whether a key is in [from, to), where an empty to selects only from and "\x00" is
// no upper bound.
func inRange(key, from, to string) bool {
	switch to {
	case "":
		return key == from
	case "\x00":
		return key >= from
	default:
		return key >= from && key < to
	}
}
