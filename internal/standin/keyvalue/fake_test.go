package keyvalue

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
)

func assertIs(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
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

func assertValue(t *testing.T, store storer.Store, key, want string) {
	t.Helper()
	entry, err := store.Get(t.Context(), key)
	if err != nil {
		t.Fatalf("get %s: %v", key, err)
	}
	if string(entry.Value) != want {
		t.Fatalf("%s holds %q, want %q", key, entry.Value, want)
	}
}

func mustSwap(t *testing.T, store storer.Store, swap storer.Swap) storer.Revision {
	t.Helper()
	revision, err := store.CompareAndSwap(t.Context(), swap)
	if err != nil {
		t.Fatalf("swap %s: %v", swap.Key, err)
	}
	return revision
}

func TestFakeSwap(t *testing.T) {
	t.Run("refuses a wrong expected revision", func(t *testing.T) {
		fake := NewFake()
		first := mustSwap(t, fake, storer.Swap{Key: "a", Value: []byte("1")})
		_, err := fake.CompareAndSwap(t.Context(), storer.Swap{Key: "a", Value: []byte("2")})
		assertIs(t, err, errs.ErrConflict)
		mustSwap(t, fake, storer.Swap{Key: "a", Expected: first, Value: []byte("2")})
		assertValue(t, fake, "a", "2")
	})
	t.Run("takes effect although the response is lost", func(t *testing.T) {
		fake := NewFake()
		fake.SetFaults(Faults{LoseAnswers: 1})
		_, err := fake.CompareAndSwap(t.Context(), storer.Swap{Key: "a", Value: []byte("1")})
		assertUnknown(t, err)
		assertValue(t, fake, "a", "1")
	})
	t.Run("has no effect if the request is lost", func(t *testing.T) {
		fake := NewFake()
		fake.SetFaults(Faults{LoseRequests: 1})
		_, err := fake.CompareAndSwap(t.Context(), storer.Swap{Key: "a", Value: []byte("1")})
		assertUnknown(t, err)
		_, err = fake.Get(t.Context(), "a")
		assertIs(t, err, errs.ErrNotFound)
	})
	t.Run("applies a delayed write when it is due", func(t *testing.T) {
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		fake := NewFake()
		fake.SetClock(func() time.Time { return now })
		fake.SetFaults(Faults{LateWrites: 1, LateMillis: 1000})
		_, err := fake.CompareAndSwap(t.Context(), storer.Swap{Key: "a", Value: []byte("1")})
		assertUnknown(t, err)
		_, err = fake.Get(t.Context(), "a")
		assertIs(t, err, errs.ErrNotFound)
		now = now.Add(time.Second)
		assertValue(t, fake, "a", "1")
	})
	t.Run("fails without effect during an outage", func(t *testing.T) {
		fake := NewFake()
		fake.SetFaults(Faults{Outage: true})
		_, err := fake.CompareAndSwap(t.Context(), storer.Swap{Key: "a", Value: []byte("1")})
		assertUnavailable(t, err)
		fake.SetFaults(Faults{})
		_, err = fake.Get(t.Context(), "a")
		assertIs(t, err, errs.ErrNotFound)
	})
}

func TestFakeLease(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	lapses := []struct {
		name   string
		outage Faults
		after  time.Duration
		gone   bool
	}{
		{"lapses without renewal", Faults{}, 5 * time.Second, true},
		{"exists until its end", Faults{}, 3 * time.Second, false},
		{"is kept through an outage", Faults{Outage: true}, time.Hour, false},
		{"lapses during an outage if the faults say so", Faults{Outage: true, LapseDuringOutage: true}, time.Hour, true},
	}
	for _, lapse := range lapses {
		t.Run(lapse.name, func(t *testing.T) {
			now := start
			fake := NewFake()
			fake.SetClock(func() time.Time { return now })
			id, err := fake.Grant(t.Context(), 4*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			mustSwap(t, fake, storer.Swap{Key: "m"}.WithLease(id))
			fake.SetFaults(lapse.outage)
			now = now.Add(lapse.after)
			fake.SetFaults(Faults{})
			_, err = fake.KeepAlive(t.Context(), id)
			if lapse.gone {
				assertIs(t, err, errs.ErrNotFound)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			assertValue(t, fake, "m", "")
		})
	}
}

func TestFakeWatch(t *testing.T) {
	t.Run("delivers the changes after a revision in order", func(t *testing.T) {
		fake := NewFake()
		first := mustSwap(t, fake, storer.Swap{Key: "p/a", Value: []byte("1")})
		mustSwap(t, fake, storer.Swap{Key: "p/a", Expected: first, Value: []byte("2")})
		mustSwap(t, fake, storer.Swap{Key: "q", Value: []byte("x")})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var seen []string
		go func() { _, _ = fake.CompareAndSwap(ctx, storer.Swap{Key: "p/b", Value: []byte("3")}) }()
		_ = fake.Watch(ctx, "p/", first, func(events []storer.Event) {
			for _, event := range events {
				seen = append(seen, string(event.Entry.Value))
			}
			if len(seen) == 2 {
				cancel()
			}
		})
		if len(seen) != 2 || seen[0] != "2" || seen[1] != "3" {
			t.Fatalf("saw %q, want 2 and 3", seen)
		}
	})
	t.Run("reports a compacted revision", func(t *testing.T) {
		fake := NewFake()
		first := mustSwap(t, fake, storer.Swap{Key: "a", Value: []byte("1")})
		second := mustSwap(t, fake, storer.Swap{Key: "a", Expected: first, Value: []byte("2")})
		fake.Table().Compact(second)
		err := fake.Watch(t.Context(), "a", first, func([]storer.Event) {})
		assertIs(t, err, errs.ErrNotFound)
	})
	t.Run("ends when an outage begins", func(t *testing.T) {
		fake := NewFake()
		go fake.SetFaults(Faults{Outage: true})
		err := fake.Watch(t.Context(), "a", 0, func([]storer.Event) {})
		assertUnavailable(t, err)
	})
}
