package conductor

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	rareLabel          = "rare"
	leavingPart        = 1
	servingPart        = 0
	movedID            = "a"
	relocationDeadline = 10 * time.Second
)

// A forgetfulStore gives no answer to some transactions that write forwards.
type forgetfulStore struct {
	*memorystore.Store
	isCarriedOut bool
	unanswered   atomic.Int64 // number of transactions still to leave unanswered
}

func (s *forgetfulStore) Commit(ctx context.Context, txn transactor.Transaction) (revision int64, err error) {
	if isMove(txn) && s.unanswered.Add(-1) >= 0 {
		if s.isCarriedOut {
			_, _ = s.Store.Commit(ctx, txn) // the caller doesn't learn of it
		}
		return 0, transactor.ErrUnknown
	}
	return s.Store.Commit(ctx, txn)
}

func isMove(txn transactor.Transaction) bool {
	for _, write := range txn.Writes {
		if _, isForward, _ := submitter.DecodeForward(write.Value); isForward {
			return true
		}
	}
	return false
}

// put writes a key, and returns its revision.
func put(t *testing.T, store transactor.Store, key string, value []byte) (revision int64) {
	t.Helper()
	revision, err := store.Commit(t.Context(), transactor.Transaction{Writes: []transactor.Write{{Key: key, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// startPart starts the term of the owner of one of two parts, with one runner.
func startPart(t *testing.T, store transactor.Store, part int, askOffer func() partitioner.Offer, labels ...string) (*Conductor, *endingClient) {
	t.Helper()
	client := &endingClient{heldClient: newHeldClient(), lasting: submitter.TaskID{Submission: movedID}}
	client.release()
	opts := heldOptions(t, client.heldClient)
	opts.Store, opts.Part, opts.Split, opts.RunnerClient = store, part, partitioner.Split{Parts: 2}, client
	opts.OwnerKey = KeysOf(part).memory + "/owner"
	opts.Fence = put(t, store, opts.OwnerKey, nil)
	opts.AskOffer = func(context.Context, int, []partitioner.Need) (partitioner.Offer, error) { return askOffer(), nil }
	runner := heldRunner
	runner.Labels = labels
	return start(t, client.heldClient, opts, runner), client
}

// putRare stores a submission that needs a label in the part that it has to leave.
func putRare(t *testing.T, store transactor.Store) {
	t.Helper()
	sub := submitter.Submission{
		ID: movedID, Queue: "q", AcceptedAt: time.Now(),
		Steps: []submitter.Step{{Count: 1, RequiredLabel: rareLabel, LongRunning: true, Resources: submitter.Resources{MilliCores: 100}}},
	}
	value, err := sub.Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, KeysOf(leavingPart).Submission(movedID), value)
}

func offers(offer partitioner.Offer) func() partitioner.Offer {
	return func() partitioner.Offer { return offer }
}

// assertInPart checks which part a submission is in by the store.
func assertInPart(t *testing.T, store transactor.Store, want int) {
	t.Helper()
	for _, part := range []int{leavingPart, servingPart} {
		item, err := store.Get(t.Context(), KeysOf(part).Submission(movedID))
		_, isForward, _ := submitter.DecodeForward(item.Value)
		if is := err == nil && !isForward; is != (part == want) {
			t.Errorf("part %d holds the submission: %v (%q, %v), want it in part %d", part, is, item.Value, err, want)
		}
	}
}

// Guards against submissions that wait for good in a part without a runner for them, and against
// one that runs in two parts since the outcome of its move was not known.
func TestSubmissionIsHandedToAPartThatServesIt(t *testing.T) {
	t.Parallel()
	able := partitioner.Offer{IsAble: true}
	for _, c := range []struct {
		name         string
		unanswered   int64
		isCarriedOut bool
	}{
		{"store answers", 0, false},
		{"carried out without an answer", 1, true},
		{"not carried out, without an answer", 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := &forgetfulStore{Store: memorystore.New(), isCarriedOut: c.isCarriedOut}
				store.unanswered.Store(c.unanswered)
				leaving, leavingClient := startPart(t, store, leavingPart, offers(able))
				serving, servingClient := startPart(t, store, servingPart, offers(partitioner.Offer{}), rareLabel)
				putRare(t, store)
				time.Sleep(relocationDeadline)
				assertInPart(t, store, servingPart)
				if n := startsOf(servingClient.orders(), movedID); n != 1 {
					t.Errorf("%d starts in the part that serves it, want 1", n)
				}
				if n := startsOf(leavingClient.orders(), movedID); n != 0 {
					t.Errorf("%d starts in the part that it has left", n)
				}
				if _, known := leaving.State(movedID); known {
					t.Error("the owner of the part that it has left knows it")
				}
				assertState(t, serving, movedID, submitter.Running)
				leaving.Close()
				serving.Close()
			})
		})
	}
	t.Run("cancelled while the outcome is not known", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			store := &forgetfulStore{Store: memorystore.New()}
			store.unanswered.Store(2)
			c, _ := startPart(t, store, leavingPart, offers(able))
			putRare(t, store)
			for store.unanswered.Load() == 2 {
				time.Sleep(10 * time.Millisecond)
			}
			put(t, store, KeysOf(leavingPart).Cancellation(movedID), []byte("{}"))
			time.Sleep(relocationDeadline)
			assertInPart(t, store, leavingPart)
			assertState(t, c, movedID, submitter.Cancelled)
			c.Close()
		})
	})
	t.Run("no part serves it until the registry lists a runner", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			store := memorystore.New()
			c, client := startPart(t, store, leavingPart, offers(partitioner.Offer{}))
			putRare(t, store)
			time.Sleep(relocationDeadline)
			assertInPart(t, store, leavingPart)
			rare := heldRunner
			rare.Labels = []string{rareLabel}
			client.registry.deliver(rare)
			time.Sleep(relocationDeadline)
			if n := startsOf(client.orders(), movedID); n != 1 {
				t.Errorf("%d starts, want 1", n)
			}
			c.Close()
		})
	})
	t.Run("ended submission is deleted with its forward", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			store := memorystore.New()
			leaving, _ := startPart(t, store, leavingPart, offers(able))
			serving, _ := startPart(t, store, servingPart, offers(partitioner.Offer{}))
			putRare(t, store)
			time.Sleep(relocationDeadline)
			assertInPart(t, store, servingPart)
			put(t, store, KeysOf(servingPart).Cancellation(movedID), []byte("{}"))
			time.Sleep(5 * time.Minute)
			for _, part := range []int{leavingPart, servingPart} {
				if items, _, _ := store.List(t.Context(), KeysOf(part).submissions); len(items) > 0 {
					t.Errorf("part %d still holds %+v", part, items)
				}
			}
			leaving.Close()
			serving.Close()
		})
	})
}
