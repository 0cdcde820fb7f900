// Package watcher keeps a copy of the store's control keys, which the whole daemon
// follows with a single watch, and delivers their changes to subscribers.
package watcher

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// Root is the prefix of all control keys.
const Root = "/kumquat/v1/ctl/"

const (
	// minBackoff and maxBackoff bound the back-off delays after a broken watch.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// listTimeout bounds one listing of all keys.
	listTimeout = 2 * time.Second
	// tolerableBreak is the longest interruption of the watch that doesn't restart
	// ConnectedFor. It is so short that no lease can lapse unnoticed during it.
	tolerableBreak = 500 * time.Millisecond
)

// A Change is the change of one key. For a deleted key, Entry has its last known
// value.
type Change struct {
	Entry   storer.Entry
	Deleted bool
}

// A Watcher keeps a copy of the keys under a prefix. A single goroutine delivers
// their changes in the order of the revisions.
//
// Lock order: no other lock is taken and no callback is called with mu held.
type Watcher struct {
	store    storer.Store
	prefix   string
	recorder recorder.Recorder

	mu          sync.Mutex
	entries     map[string]storer.Entry // the copy, by key
	subscribers []subscriber
	// revision is the revision up to which changes have been applied to entries.
	revision storer.Revision
	// isSynced is true, and synced is closed, once all keys have been read.
	synced   chan struct{}
	isSynced bool
	// isConnected is true while the watch works. connectedSince is when it began to
	// work, breaks of at most tolerableBreak ignored.
	isConnected    bool
	connectedSince time.Time
	disconnectedAt time.Time
}

// A subscriber receives the changes of the keys under a prefix.
type subscriber struct {
	prefix  string
	deliver func([]Change)
}

// New returns a watcher of the keys under prefix.
func New(store storer.Store, prefix string, record recorder.Recorder) *Watcher {
	return &Watcher{
		store:    store,
		prefix:   prefix,
		recorder: record,
		entries:  make(map[string]storer.Entry),
		synced:   make(chan struct{}),
	}
}

// Subscribe registers a callback for changes of keys under prefix. The callback must
// not block. Subscribe calls it at once with the keys that are already known.
func (w *Watcher) Subscribe(prefix string, deliver func([]Change)) {
	w.mu.Lock()
	w.subscribers = append(w.subscribers, subscriber{prefix: prefix, deliver: deliver})
	var known []Change
	for key, entry := range w.entries {
		if strings.HasPrefix(key, prefix) {
			known = append(known, Change{Entry: entry})
		}
	}
	w.mu.Unlock()
	if len(known) > 0 {
		deliver(known)
	}
}

// Entry returns the copy of one key. It returns false if the key is absent.
func (w *Watcher) Entry(key string) (storer.Entry, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, ok := w.entries[key]
	return entry, ok
}

// Entries returns the copies of all keys under prefix in unspecified order.
func (w *Watcher) Entries(prefix string) []storer.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []storer.Entry
	for key, entry := range w.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	return found
}

// Synced returns a channel that is closed once all keys have been read.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

// ConnectedFor returns how long the watcher has followed the store without an
// interruption of more than tolerableBreak. It returns zero if the watch is broken
// now.
func (w *Watcher) ConnectedFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isConnected {
		return 0
	}
	return max(now.Sub(w.connectedSince), 1)
}

// Run follows the store until the context ends. It resumes a broken watch, and lists
// all keys again if the watch can't be resumed.
func (w *Watcher) Run(ctx context.Context) error {
	backoff := pauser.NewBackoff(minBackoff, maxBackoff)
	relist := true
	for ctx.Err() == nil {
		err := w.follow(ctx, relist, backoff.Reset)
		if ctx.Err() != nil {
			break
		}
		w.disconnect(time.Now(), err)
		relist = errors.Is(err, errs.ErrNotFound) || !w.hasSynced()
		pauser.Sleep(ctx, backoff.NextBackOff())
	}
	return ctx.Err()
}

// follow lists the keys if relist is set and then watches them until the watch breaks.
// It calls resetBackoff after each success.
func (w *Watcher) follow(ctx context.Context, relist bool, resetBackoff func()) error {
	if relist {
		if err := w.list(ctx); err != nil {
			return err
		}
		resetBackoff()
	}
	w.connect(time.Now())
	return w.store.Watch(ctx, w.prefix, w.Revision(), func(events []storer.Event) {
		resetBackoff()
		w.applyEvents(events)
	})
}

// Revision returns the revision up to which changes have been applied to the copy.
func (w *Watcher) Revision() storer.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// list reads all keys from the store and replaces the copy.
func (w *Watcher) list(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := w.store.List(call, w.prefix)
	if err != nil {
		return err
	}
	w.replace(listing)
	w.recorder.Record(time.Now(), EventListed, recorder.Fields{
		"revision": strconv.FormatInt(int64(listing.Revision), 10),
		"keys":     strconv.Itoa(len(listing.Entries)),
	})
	return nil
}

// replace makes the copy equal to a listing of all keys and delivers the differences.
// Entries newer than the listing are kept.
func (w *Watcher) replace(listing storer.Listing) {
	w.mu.Lock()
	seen := make(map[string]bool, len(listing.Entries))
	var changes []Change
	for _, entry := range listing.Entries {
		seen[entry.Key] = true
		if w.entries[entry.Key].Revision >= entry.Revision {
			continue
		}
		w.entries[entry.Key] = entry
		changes = append(changes, Change{Entry: entry})
	}
	for key, entry := range w.entries {
		if !seen[key] && entry.Revision <= listing.Revision {
			delete(w.entries, key)
			changes = append(changes, Change{Entry: entry, Deleted: true})
		}
	}
	w.revision = max(w.revision, listing.Revision)
	w.mu.Unlock()
	w.deliver(changes)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isSynced {
		w.isSynced = true
		close(w.synced)
	}
}

// applyEvents changes the copy by events of the watch and delivers the changes. It
// skips events that are already in the copy, because a resumed watch can repeat them.
func (w *Watcher) applyEvents(events []storer.Event) {
	w.mu.Lock()
	changes := make([]Change, 0, len(events))
	for _, event := range events {
		if event.Entry.Revision <= w.revision && w.entries[event.Entry.Key].Revision >= event.Entry.Revision {
			continue
		}
		changes = append(changes, w.apply(event))
	}
	for _, event := range events {
		w.revision = max(w.revision, event.Entry.Revision)
	}
	w.mu.Unlock()
	w.deliver(changes)
}

// apply changes the copy by one event. The caller holds mu.
func (w *Watcher) apply(event storer.Event) Change {
	key := event.Entry.Key
	if !event.Deleted {
		w.entries[key] = event.Entry
		return Change{Entry: event.Entry}
	}
	last := w.entries[key]
	delete(w.entries, key)
	last.Key = key
	return Change{Entry: last, Deleted: true}
}

// deliver passes changes to the subscribers of their keys.
func (w *Watcher) deliver(changes []Change) {
	if len(changes) == 0 {
		return
	}
	w.mu.Lock()
	subscribers := append([]subscriber(nil), w.subscribers...)
	w.mu.Unlock()
	for _, s := range subscribers {
		if matching := filter(changes, s.prefix); len(matching) > 0 {
			s.deliver(matching)
		}
	}
}

// filter returns the changes of keys under prefix.
func filter(changes []Change, prefix string) []Change {
	var matching []Change
	for _, change := range changes {
		if strings.HasPrefix(change.Entry.Key, prefix) {
			matching = append(matching, change)
		}
	}
	return matching
}

// hasSynced reports whether all keys have been read at least once.
func (w *Watcher) hasSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isSynced
}

// connect marks the watch as connected. A break of at most tolerableBreak doesn't
// restart ConnectedFor.
func (w *Watcher) connect(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isConnected = true
	if w.disconnectedAt.IsZero() || now.Sub(w.disconnectedAt) > tolerableBreak {
		w.connectedSince = now
	}
}

// disconnect marks the watch as broken.
func (w *Watcher) disconnect(now time.Time, cause error) {
	w.mu.Lock()
	w.isConnected = false
	w.disconnectedAt = now
	w.mu.Unlock()
	w.recorder.Record(now, EventWatchBroken, recorder.Fields{"cause": cause.Error()})
}
