package watcher

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// A history is a sequence of changes of a store. The change with index i has revision
// i+1.
type history []storer.Event

// drawHistory returns a random history of a few keys.
func drawHistory(r *rapid.T) history {
	changes := make(history, rapid.IntRange(1, 40).Draw(r, "changes"))
	for i := range changes {
		changes[i] = storer.Event{
			Entry:   storer.Entry{Key: fmt.Sprintf("%sk%d", Root, rapid.IntRange(0, 4).Draw(r, "key")), Revision: storer.Revision(i + 1)},
			Deleted: rapid.Bool().Draw(r, "deleted"),
		}
	}
	return changes
}

// entries returns the revisions of the keys after the first n changes.
func (h history) entries(n int) map[string]storer.Revision {
	found := make(map[string]storer.Revision)
	for _, change := range h[:n] {
		found[change.Entry.Key] = change.Entry.Revision
		if change.Deleted {
			delete(found, change.Entry.Key)
		}
	}
	return found
}

// TestCopyFollowsStore delivers a history by a random mix of listings and watches. The
// watches resume at earlier revisions than needed, so that they repeat changes. The copy
// and what the subscriber has received must always equal the store.
func TestCopyFollowsStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		changes := drawHistory(r)
		w := New(nil, Root, recorder.Discard{})
		received := make(map[string]storer.Revision)
		w.Subscribe(Root, func(changes []Change) {
			for _, change := range changes {
				received[change.Entry.Key] = change.Entry.Revision
				if change.Deleted {
					delete(received, change.Entry.Key)
				}
			}
		})
		for known := 0; known < len(changes); {
			next := rapid.IntRange(known+1, len(changes)).Draw(r, "next")
			if rapid.Bool().Draw(r, "list") {
				w.replace(listingOf(changes, next))
			} else {
				w.applyEvents(changes[rapid.IntRange(0, known).Draw(r, "resumed"):next])
			}
			known = next
			want := changes.entries(known)
			assertSame(r, "the copy", copyOf(w), want)
			assertSame(r, "what the subscriber has received", received, want)
		}
	})
}

func listingOf(changes history, n int) storer.Listing {
	listing := storer.Listing{Revision: storer.Revision(n)}
	for key, revision := range changes.entries(n) {
		listing.Entries = append(listing.Entries, storer.Entry{Key: key, Revision: revision})
	}
	return listing
}

func copyOf(w *Watcher) map[string]storer.Revision {
	found := make(map[string]storer.Revision)
	for _, entry := range w.Entries(Root) {
		found[entry.Key] = entry.Revision
	}
	return found
}

func assertSame(r *rapid.T, what string, got, want map[string]storer.Revision) {
	r.Helper()
	if !maps.Equal(got, want) {
		r.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func TestConnectedFor(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name    string
		breaks  []time.Duration // durations of the breaks of the watch
		elapsed time.Duration
		want    time.Duration
	}{
		{"no break", nil, time.Minute, time.Minute},
		{"a short break doesn't restart the time", []time.Duration{tolerableBreak}, time.Minute, time.Minute},
		{"a long break restarts the time", []time.Duration{2 * time.Second}, time.Minute, 28 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := New(nil, Root, recorder.Discard{})
			w.connect(start)
			for _, breakTime := range c.breaks {
				w.disconnect(start.Add(30*time.Second), errors.New("broken"))
				if got := w.ConnectedFor(start.Add(30 * time.Second)); got != 0 {
					t.Errorf("connected for %s during a break", got)
				}
				w.connect(start.Add(30*time.Second + breakTime))
			}
			if got := w.ConnectedFor(start.Add(c.elapsed)); got != c.want {
				t.Errorf("connected for %s, want %s", got, c.want)
			}
		})
	}
}
