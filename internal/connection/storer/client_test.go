package storer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// newStore returns a client of a stand-in server on the loopback address.
func newStore(t *testing.T, options storer.Options) (*storer.Client, *keyvalue.Fake) {
	t.Helper()
	fake := keyvalue.NewFake()
	server := httptest.NewServer(keyvalue.NewHandler(fake))
	options.Endpoint = server.URL
	client := storer.NewClient(options)
	t.Cleanup(func() {
		_ = client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client, fake
}

func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var unknown *errs.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
}

func assertUnavailable(t *testing.T, err error) {
	t.Helper()
	var unavailable *errs.StoreUnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("error %v, want an unavailable store", err)
	}
}

func assertIs(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func assertOK(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func assertValue(t *testing.T, store storer.Store, want string) {
	t.Helper()
	entry, err := store.Get(t.Context(), "key")
	assertOK(t, err)
	if string(entry.Value) != want {
		t.Fatalf("the key holds %q, want %q", entry.Value, want)
	}
}

func swapOf(value string, expected storer.Revision) storer.Swap {
	return storer.Swap{Key: "key", Value: []byte(value), Expected: expected}
}

func TestClientKeys(t *testing.T) {
	client, _ := newStore(t, storer.Options{})
	first, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
	assertOK(t, err)
	t.Run("swap at the wrong revision is refused", func(t *testing.T) {
		_, err := client.CompareAndSwap(t.Context(), swapOf("2", 0))
		assertIs(t, err, errs.ErrConflict)
	})
	t.Run("listing is sorted and has a revision", func(t *testing.T) {
		_, err := client.CompareAndSwap(t.Context(), storer.Swap{Key: "a"})
		assertOK(t, err)
		listing, err := client.List(t.Context(), "")
		assertOK(t, err)
		if len(listing.Entries) != 2 || listing.Entries[0].Key != "a" || listing.Revision <= first {
			t.Fatalf("listing %+v", listing)
		}
	})
	t.Run("delete on condition", func(t *testing.T) {
		assertIs(t, client.Delete(t.Context(), "key", first+100), errs.ErrConflict)
		assertOK(t, client.Delete(t.Context(), "key", first))
		_, err := client.Get(t.Context(), "key")
		assertIs(t, err, errs.ErrNotFound)
	})
	t.Run("delete of a range", func(t *testing.T) {
		assertOK(t, client.DeleteRange(t.Context(), "a", "b"))
		_, err := client.Get(t.Context(), "a")
		assertIs(t, err, errs.ErrNotFound)
	})
}

func TestClientLeases(t *testing.T) {
	client, _ := newStore(t, storer.Options{})
	id, err := client.Grant(t.Context(), 3500*time.Millisecond)
	assertOK(t, err)
	_, err = client.CompareAndSwap(t.Context(), swapOf("1", 0).WithLease(id))
	assertOK(t, err)
	ttl, err := client.KeepAlive(t.Context(), id)
	assertOK(t, err)
	if ttl != 4*time.Second {
		t.Fatalf("time to live %s", ttl)
	}
	assertOK(t, client.Revoke(t.Context(), id))
	t.Run("revoking deletes the keys", func(t *testing.T) {
		_, err := client.Get(t.Context(), "key")
		assertIs(t, err, errs.ErrNotFound)
	})
	t.Run("a lapsed lease is not found", func(t *testing.T) {
		_, err := client.KeepAlive(t.Context(), id)
		assertIs(t, err, errs.ErrNotFound)
		_, err = client.CompareAndSwap(t.Context(), swapOf("1", 0).WithLease(id))
		assertIs(t, err, errs.ErrNotFound)
		assertIs(t, client.Revoke(t.Context(), id), errs.ErrNotFound)
	})
}

func TestClientWatch(t *testing.T) {
	t.Run("resumes from a revision", func(t *testing.T) {
		client, _ := newStore(t, storer.Options{})
		first, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertOK(t, err)
		second, err := client.CompareAndSwap(t.Context(), swapOf("2", first))
		assertOK(t, err)
		assertOK(t, client.Delete(t.Context(), "key", second))
		ctx, cancel := context.WithCancel(t.Context())
		var seen []storer.Event
		err = client.Watch(ctx, "k", first, func(events []storer.Event) {
			if client.Calls().WatchesWaiting != 1 {
				t.Errorf("counts %+v", client.Calls())
			}
			seen = append(seen, events...)
			if len(seen) == 2 {
				cancel()
			}
		})
		assertUnavailable(t, err)
		if string(seen[0].Entry.Value) != "2" || seen[0].Entry.Revision != second || !seen[1].Deleted {
			t.Fatalf("saw %+v", seen)
		}
	})
	t.Run("reports a compacted revision", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{})
		first, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertOK(t, err)
		second, err := client.CompareAndSwap(t.Context(), swapOf("2", first))
		assertOK(t, err)
		fake.Table().Compact(second)
		assertIs(t, client.Watch(t.Context(), "key", first, func([]storer.Event) {}), errs.ErrNotFound)
	})
	t.Run("breaks when no message arrives", func(t *testing.T) {
		client, _ := newStore(t, storer.Options{WatchIdle: 50 * time.Millisecond})
		assertUnavailable(t, client.Watch(t.Context(), "key", 0, func([]storer.Event) {}))
	})
	t.Run("breaks in an outage", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{})
		go fake.SetFaults(keyvalue.Faults{Outage: true})
		assertUnavailable(t, client.Watch(t.Context(), "key", 0, func([]storer.Event) {}))
	})
}

func TestClientOutcomes(t *testing.T) {
	t.Run("a lost response has an unknown outcome", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{})
		fake.SetFaults(keyvalue.Faults{LoseAnswers: 1})
		_, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertUnknown(t, err)
		assertValue(t, client, "1")
	})
	t.Run("a late response has an unknown outcome", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{CallTimeout: 50 * time.Millisecond})
		fake.SetFaults(keyvalue.Faults{DelayMillis: 500})
		_, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertUnknown(t, err)
	})
	t.Run("a failed read is unavailable", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{})
		fake.SetFaults(keyvalue.Faults{Outage: true})
		_, err := client.Get(t.Context(), "key")
		assertUnavailable(t, err)
	})
	t.Run("a write without a connection is unavailable", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assertOK(t, err)
		assertOK(t, listener.Close())
		client := storer.NewClient(storer.Options{Endpoint: "http://" + listener.Addr().String()})
		_, err = client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertUnavailable(t, err)
	})
	t.Run("a faulty response gives writes an unknown outcome", func(t *testing.T) {
		handlers := []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"succ`)) },
		}
		for _, handler := range handlers {
			server := httptest.NewServer(handler)
			client := storer.NewClient(storer.Options{Endpoint: server.URL})
			_, err := client.CompareAndSwap(t.Context(), swapOf("1", 0))
			assertUnknown(t, err)
			_, err = client.Get(t.Context(), "key")
			assertUnavailable(t, err)
			server.Close()
		}
	})
	t.Run("the budget refuses without effect", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{Rate: 0.001, Burst: 1})
		_, err := client.Get(t.Context(), "key")
		assertIs(t, err, errs.ErrNotFound)
		_, err = client.CompareAndSwap(t.Context(), swapOf("1", 0))
		assertUnavailable(t, err)
		if writes := fake.Counts().Writes; writes != 0 || client.Calls().RefusedByBudget != 1 {
			t.Fatalf("%d writes, counts %+v", writes, client.Calls())
		}
		_, err = client.KeepAlive(t.Context(), 1)
		assertIs(t, err, errs.ErrNotFound)
	})
	t.Run("the circuit opens and closes again", func(t *testing.T) {
		client, fake := newStore(t, storer.Options{})
		fake.SetFaults(keyvalue.Faults{Outage: true})
		for client.Calls().RefusedByCircuit == 0 {
			_, err := client.Get(t.Context(), "key")
			assertUnavailable(t, err)
		}
		fake.SetFaults(keyvalue.Faults{})
		for {
			_, err := client.Get(t.Context(), "key")
			if errors.Is(err, errs.ErrNotFound) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
