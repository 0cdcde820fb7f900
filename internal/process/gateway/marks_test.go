package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const cancelledID = "a"

// A lateStore answers no transaction, and carries them out later.
type lateStore struct {
	transactor.Store
	mu   sync.Mutex
	late []transactor.Transaction
}

func (s *lateStore) Commit(_ context.Context, txn transactor.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, txn)
	return 0, transactor.ErrUnknown
}

func (s *lateStore) carryOut(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.late {
		_, _ = s.Store.Commit(ctx, txn) // nobody learns of a conflict
	}
}

// A leaselessStore grants no leases.
type leaselessStore struct{ transactor.Store }

func (leaselessStore) Grant(context.Context, time.Duration) (int64, error) {
	return 0, transactor.ErrUnavailable
}

func handIn(g *Gateway) error {
	return g.Submit(context.Background(), submitter.Submission{ID: cancelledID, Queue: "q", Steps: []submitter.Step{{Count: 1}}})
}

func assertCancel(t *testing.T, g *Gateway, wantKnown bool) {
	t.Helper()
	if known, err := g.Cancel(t.Context(), cancelledID); known != wantKnown || err != nil {
		t.Errorf("cancellation: known %v, error %v; want known %v", known, err, wantKnown)
	}
}

// assertStored checks whether a submission is stored in any part.
func assertStored(t *testing.T, store transactor.Store, want bool) {
	t.Helper()
	stored := false
	for _, part := range (partitioner.Split{Parts: manyParts}).CandidateParts(cancelledID) {
		if _, err := store.Get(t.Context(), conductor.KeysOf(part).Submission(cancelledID)); err == nil {
			stored = true
		}
	}
	if stored != want {
		t.Errorf("submission is stored: %v, want %v", stored, want)
	}
}

func assertRejected(t *testing.T, err error, wantRetry bool) {
	t.Helper()
	var rejected *RejectedError
	if !errors.As(err, &rejected) || (rejected.RetryAfter > 0) != wantRetry {
		t.Errorf("error %v, want a rejection, with a time to retry: %v", err, wantRetry)
	}
}

// Guards against a submission that runs although its cancellation was acknowledged: the store
// carried out the hand-in only after that.
func TestCancellationOutlivesAHandInUnderWay(t *testing.T) {
	t.Parallel()
	t.Run("hand-in is carried out late", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		late := &lateStore{Store: store}
		if err := handIn(newGateway(t, late, manyParts)); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatalf("error %v, want an unknown outcome", err)
		}
		assertCancel(t, newGateway(t, store, manyParts), false)
		late.carryOut(t.Context())
		assertStored(t, store, false)
	})
	t.Run("hand-in is carried out just before the mark", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		other := newGateway(t, store, manyParts)
		g := newGateway(t, &movingStore{Store: store, move: func() {
			if err := handIn(other); err != nil {
				t.Error(err)
			}
		}}, manyParts)
		assertCancel(t, g, true)
		if state, _, err := g.State(t.Context(), cancelledID); state != submitter.Cancelled {
			t.Errorf("state %q, error %v; want cancelled", state, err)
		}
	})
	t.Run("repeated hand-in never runs", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		g := newGateway(t, store, manyParts)
		for range 2 {
			assertCancel(t, g, false)
			assertRejected(t, handIn(newGateway(t, store, manyParts)), false)
		}
		assertStored(t, store, false)
	})
	t.Run("hand-in before the cancellation", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		g := newGateway(t, store, manyParts)
		if err := handIn(g); err != nil {
			t.Fatal(err)
		}
		assertCancel(t, g, true)
		if err := handIn(g); err != nil {
			t.Errorf("repeated hand-in: %v, want the stored submission", err)
		}
	})
	t.Run("mark without an answer", func(t *testing.T) {
		t.Parallel()
		late := &lateStore{Store: memorystore.New()}
		if _, err := newGateway(t, late, manyParts).Cancel(t.Context(), cancelledID); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("error %v, want an unknown outcome", err)
		}
	})
}

func TestLeaseOfMarks(t *testing.T) {
	t.Parallel()
	count := func(t *testing.T, store transactor.Store) int {
		t.Helper()
		items, _, err := store.List(t.Context(), markKey(""))
		if err != nil {
			t.Fatal(err)
		}
		return len(items)
	}
	t.Run("mark ends with the lease", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		g := newGateway(t, store, manyParts)
		assertCancel(t, g, false)
		if n := count(t, store); n != 1 {
			t.Fatalf("%d marks, want 1", n)
		}
		if err := store.Revoke(t.Context(), g.marks.current.id); err != nil {
			t.Fatal(err)
		}
		if n := count(t, store); n != 0 {
			t.Errorf("%d marks are left", n)
		}
		t.Run("and the next one has a new lease", func(t *testing.T) {
			assertCancel(t, g, false)
			if n := count(t, store); n != 1 {
				t.Errorf("%d marks, want 1", n)
			}
		})
	})
	t.Run("a lease is not used once it might end before a new mark may", func(t *testing.T) {
		t.Parallel()
		g := newGateway(t, memorystore.New(), manyParts)
		assertCancel(t, g, false)
		first := g.marks.current.id
		assertCancel(t, g, false)
		if id := g.marks.current.id; id != first {
			t.Errorf("lease %d, want %d", id, first)
		}
		g.marks.current.grantedAt -= markLifetime
		assertCancel(t, g, false)
		if id := g.marks.current.id; id == first {
			t.Errorf("lease %d is used for longer than %s", id, markLifetime)
		}
	})
	t.Run("no lease", func(t *testing.T) {
		t.Parallel()
		_, err := newGateway(t, leaselessStore{memorystore.New()}, manyParts).Cancel(t.Context(), cancelledID)
		assertRejected(t, err, true)
	})
	t.Run("too many marks", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		g := newGateway(t, store, manyParts)
		g.marks.limiter.SetLimit(0)
		for range markBurst {
			assertCancel(t, g, false)
		}
		_, err := g.Cancel(t.Context(), cancelledID)
		assertRejected(t, err, true)
		t.Run("and the cancellation of a known one is stored", func(t *testing.T) {
			put(t, store, "mark removed", nil, markKey(cancelledID))
			if err := handIn(g); err != nil {
				t.Fatal(err)
			}
			assertCancel(t, g, true)
		})
	})
}

// Guards against a transaction that is sent once the mark of a cancellation may have ended, as
// the host was suspended.
func TestOldTransactionIsNotRepeated(t *testing.T) {
	t.Parallel()
	store := &lateStore{Store: memorystore.New()}
	g := newGateway(t, store, manyParts)
	err := g.commitBefore(t.Context(), transactor.Transaction{}, clocker.SinceBoot())
	assertRejected(t, err, true)
	if len(store.late) > 0 {
		t.Errorf("%d calls", len(store.late))
	}
}
