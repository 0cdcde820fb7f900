package storer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

func TestResolve(t *testing.T) {
	lost := func(t *testing.T, faults keyvalue.Faults) (*keyvalue.Fake, error) {
		t.Helper()
		fake := keyvalue.NewFake()
		fake.SetFaults(faults)
		_, err := fake.CompareAndSwap(t.Context(), swapOf("mine", 0))
		assertUnknown(t, err)
		return fake, err
	}
	t.Run("applied", func(t *testing.T) {
		fake, cause := lost(t, keyvalue.Faults{LoseAnswers: 1})
		revision, err := storer.Resolve(t.Context(), fake, swapOf("mine", 0), cause)
		assertOK(t, err)
		if revision == 0 {
			t.Fatal("no revision")
		}
	})
	t.Run("unchanged", func(t *testing.T) {
		fake, cause := lost(t, keyvalue.Faults{LoseRequests: 1})
		_, err := storer.Resolve(t.Context(), fake, swapOf("mine", 0), cause)
		assertIs(t, err, storer.ErrUnchanged)
	})
	t.Run("replaced", func(t *testing.T) {
		fake, cause := lost(t, keyvalue.Faults{LoseRequests: 1})
		_, err := fake.CompareAndSwap(t.Context(), swapOf("theirs", 0))
		assertOK(t, err)
		_, err = storer.Resolve(t.Context(), fake, swapOf("mine", 0), cause)
		assertIs(t, err, errs.ErrConflict)
	})
	t.Run("still unknown during an outage", func(t *testing.T) {
		fake, cause := lost(t, keyvalue.Faults{LoseAnswers: 1})
		fake.SetFaults(keyvalue.Faults{Outage: true})
		_, err := storer.Resolve(t.Context(), fake, swapOf("mine", 0), cause)
		assertUnknown(t, err)
	})
	t.Run("other errors are returned unchanged", func(t *testing.T) {
		_, err := storer.Resolve(t.Context(), keyvalue.NewFake(), swapOf("mine", 0), errs.ErrConflict)
		assertIs(t, err, errs.ErrConflict)
	})
}

// TestCommitProperties checks that of two writers who race to create a key while
// requests and responses are lost or late, Commit reports success to exactly the
// one whose value the key holds.
func TestCommitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := keyvalue.NewFake()
		fake.SetFaults(keyvalue.Faults{
			LoseRequests: rapid.IntRange(0, 2).Draw(t, "loseRequests"),
			LoseAnswers:  rapid.IntRange(0, 2).Draw(t, "loseAnswers"),
			LateWrites:   rapid.IntRange(0, 2).Draw(t, "lateWrites"),
			LateMillis:   rapid.Int64Range(0, 60).Draw(t, "lateMillis"),
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		won := make(chan string, 2)
		for _, writer := range []string{"a", "b"} {
			go func() {
				_, err := storer.Commit(ctx, fake, swapOf(writer, 0))
				switch {
				case err == nil:
					won <- writer
				case errors.Is(err, errs.ErrConflict):
					won <- ""
				default:
					won <- err.Error()
				}
			}()
		}
		winner := <-won + <-won
		entry, err := fake.Get(ctx, "key")
		if err != nil || winner != string(entry.Value) {
			t.Fatalf("winner %q, the key holds %q (%v)", winner, entry.Value, err)
		}
	})
}
