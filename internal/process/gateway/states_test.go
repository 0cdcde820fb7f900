package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	manyParts = 5
	movedID   = "a"
)

// put writes a key of a store.
func put(t *testing.T, store transactor.Store, key string, value []byte, deletes ...string) {
	t.Helper()
	if _, err := store.Commit(t.Context(), transactor.Transaction{Writes: []transactor.Write{{Key: key, Value: value}}, Deletes: deletes}); err != nil {
		t.Fatal(err)
	}
}

// partsOf returns the part in which the submission is accepted and those that are not among its
// candidates.
func partsOf() (home int, others []int) {
	candidates := partitioner.Split{Parts: manyParts}.CandidateParts(movedID)
	for part := range manyParts {
		if part != candidates[0] && part != candidates[1] {
			others = append(others, part)
		}
	}
	return candidates[1], others
}

// putMoved stores the submission that was handed from one part to another.
func putMoved(t *testing.T, store transactor.Store, from, to int, progress *submitter.Progress) {
	t.Helper()
	home, _ := partsOf()
	sub := submitter.Submission{ID: movedID, Queue: "q", Steps: []submitter.Step{{Count: 1}}}
	sub = sub.WithMove(submitter.Move{Home: home, Count: 1, Progress: progress})
	value, err := sub.Encode()
	if err != nil {
		t.Fatal(err)
	}
	forward, err := submitter.EncodeForward(to)
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, conductor.KeysOf(to).Submission(movedID), value)
	put(t, store, conductor.KeysOf(home).Submission(movedID), forward)
	if from != home {
		put(t, store, "deleted", nil, conductor.KeysOf(from).Submission(movedID))
	}
}

// A movingStore hands a submission on just before a cancellation is stored.
type movingStore struct {
	transactor.Store
	move func()
}

func (s *movingStore) Commit(ctx context.Context, txn transactor.Transaction) (int64, error) {
	if move := s.move; move != nil {
		s.move = nil
		move()
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against submissions that callers can't see or cancel, or run twice, once they were
// handed to a part that isn't one of their candidates.
func TestMovedSubmissionIsFound(t *testing.T) {
	t.Parallel()
	home, others := partsOf()
	assertCancelledIn := func(t *testing.T, store transactor.Store, part int) {
		t.Helper()
		if _, err := store.Get(t.Context(), conductor.KeysOf(part).Cancellation(movedID)); err != nil {
			t.Errorf("no cancellation in part %d: %v", part, err)
		}
	}
	t.Run("state", func(t *testing.T) {
		t.Parallel()
		for want, progress := range map[submitter.State]*submitter.Progress{submitter.Queued: {}, submitter.Running: {Next: 1}} {
			store := memorystore.New()
			putMoved(t, store, home, others[0], progress)
			if state, known, err := newGateway(t, store, manyParts).State(t.Context(), movedID); state != want || !known || err != nil {
				t.Errorf("state %q, known %v, error %v; want %q", state, known, err, want)
			}
		}
	})
	t.Run("cancellation", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		putMoved(t, store, home, others[0], nil)
		g := newGateway(t, store, manyParts)
		for range 2 {
			if known, err := g.Cancel(t.Context(), movedID); !known || err != nil {
				t.Errorf("known %v, error %v; want a known one", known, err)
			}
		}
		assertCancelledIn(t, store, others[0])
		if state, _, _ := g.State(t.Context(), movedID); state != submitter.Cancelled {
			t.Errorf("state %q, want cancelled", state)
		}
	})
	t.Run("cancellation of one that is handed on meanwhile", func(t *testing.T) {
		t.Parallel()
		store := &movingStore{Store: memorystore.New()}
		putMoved(t, store, home, others[0], nil)
		store.move = func() { putMoved(t, store, others[0], others[1], nil) }
		if known, err := newGateway(t, store, manyParts).Cancel(t.Context(), movedID); !known || err != nil {
			t.Errorf("known %v, error %v; want a known one", known, err)
		}
		assertCancelledIn(t, store, others[1])
	})
	t.Run("repeated request", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		putMoved(t, store, home, others[0], nil)
		g := newGateway(t, store, manyParts)
		if err := g.Submit(t.Context(), submitter.Submission{ID: movedID, Queue: "q", Steps: []submitter.Step{{Count: 1}}}); err != nil {
			t.Errorf("error %v, want the earlier submission", err)
		}
		for part := range manyParts {
			item, err := store.Get(t.Context(), conductor.KeysOf(part).Submission(movedID))
			_, isForward, _ := submitter.DecodeForward(item.Value)
			if holds := err == nil && !isForward; holds != (part == others[0]) {
				t.Errorf("part %d holds the submission: %v", part, holds)
			}
		}
	})
	t.Run("deleted one", func(t *testing.T) {
		t.Parallel()
		store := memorystore.New()
		putMoved(t, store, home, others[0], nil)
		g := newGateway(t, store, manyParts)
		put(t, store, "deleted", nil, conductor.KeysOf(others[0]).Submission(movedID), conductor.KeysOf(home).Submission(movedID))
		if _, known, err := g.State(t.Context(), movedID); known || err != nil {
			t.Errorf("known %v, error %v; want an unknown one", known, err)
		}
		if _, _, err := g.find(t.Context(), movedID); !errors.Is(err, transactor.ErrNotFound) {
			t.Errorf("error %v, want not found", err)
		}
	})
}
