// Package watcher keeps a copy of the store's control keys by one watch for
// the whole daemon and delivers their changes to subscribers.
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
	firstPause  = 50 * time.Millisecond
	longPause   = 2 * time.Second
	listTimeout = 2 * time.Second
	// shortBreak is a break of the watch that doesn't count as one: no lease
	// can have lapsed in it unnoticed.
	shortBreak = 500 * time.Millisecond
)

// A Change is one changed key. Deleted keys carry their last known value.
type Change struct {
	Entry   storer.Entry
	Deleted bool
}

// A Watcher keeps a copy of the keys under a prefix. Changes are delivered in
// the order of their revisions by a single goroutine.
//
// Lock order: mu is a leaf; no callback is called with mu held.
type Watcher struct {
	store  storer.Store
	prefix string
	record recorder.Recorder

	mu          sync.Mutex
	entries     map[string]storer.Entry
	subscribers []subscriber
	revision    storer.Revision
	synced      chan struct{}
	isSynced    bool
	connected   bool
	since       time.Time
	brokenAt    time.Time
}

type subscriber struct {
	prefix  string
	deliver func([]Change)
}

// New returns a watcher of the keys under prefix.
func New(store storer.Store, prefix string, record recorder.Recorder) *Watcher {
	return &Watcher{
		store:   store,
		prefix:  prefix,
		record:  record,
		entries: make(map[string]storer.Entry),
		synced:  make(chan struct{}),
	}
}

// Subscribe registers a callback for changes of keys under prefix. Callbacks
// must not block. Keys known already are delivered at once.
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

// Entry returns the copy of one key.
func (w *Watcher) Entry(key string) (storer.Entry, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, ok := w.entries[key]
	return entry, ok
}

// Entries returns the copies of all keys under prefix, in no order.
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

// Synced returns a channel that is closed once the keys were read.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

// ConnectedFor returns how long the copy has followed the store without a
// break that matters; zero if it doesn't now.
func (w *Watcher) ConnectedFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.connected {
		return 0
	}
	return max(now.Sub(w.since), 1)
}

// Run follows the store until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	pause := pauser.NewBackoff(firstPause, longPause)
	relist := true
	for ctx.Err() == nil {
		err := w.follow(ctx, relist, pause.Reset)
		if ctx.Err() != nil {
			break
		}
		w.disconnect(time.Now(), err)
		relist = errors.Is(err, errs.ErrNotFound) || !w.hasSynced()
		pauser.Sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// follow lists the keys if asked to and then watches them.
func (w *Watcher) follow(ctx context.Context, relist bool, reset func()) error {
	if relist {
		if err := w.list(ctx); err != nil {
			return err
		}
		reset()
	}
	w.connect(time.Now())
	return w.store.Watch(ctx, w.prefix, w.Revision(), func(events []storer.Event) {
		reset()
		w.take(events)
	})
}

// Revision returns the revision up to which changes were delivered.
func (w *Watcher) Revision() storer.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

func (w *Watcher) list(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := w.store.List(call, w.prefix)
	if err != nil {
		return err
	}
	w.replace(listing)
	w.record.Record(time.Now(), EventListed, recorder.Fields{
		"revision": strconv.FormatInt(int64(listing.Revision), 10),
		"keys":     strconv.Itoa(len(listing.Entries)),
	})
	return nil
}

// replace takes a listing as the whole truth and delivers the differences.
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

func (w *Watcher) take(events []storer.Event) {
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

// apply changes the copy; the caller holds mu.
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

func filter(changes []Change, prefix string) []Change {
	var matching []Change
	for _, change := range changes {
		if strings.HasPrefix(change.Entry.Key, prefix) {
			matching = append(matching, change)
		}
	}
	return matching
}

func (w *Watcher) hasSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isSynced
}

func (w *Watcher) connect(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connected = true
	if w.brokenAt.IsZero() || now.Sub(w.brokenAt) > shortBreak {
		w.since = now
	}
}

func (w *Watcher) disconnect(now time.Time, cause error) {
	w.mu.Lock()
	w.connected = false
	w.brokenAt = now
	w.mu.Unlock()
	w.record.Record(now, EventWatchBroken, recorder.Fields{"cause": cause.Error()})
}
