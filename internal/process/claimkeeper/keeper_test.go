package claimkeeper

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// fakeStore holds the journals of all partitions in memory.
type fakeStore struct {
	mu      sync.Mutex
	records map[owner.Partition][]*kumquatv1.Record
	epochs  map[owner.Partition]owner.Epoch
	// loseResponses makes appends take effect but return an unknown outcome.
	loseResponses bool
	snapshots     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: make(map[owner.Partition][]*kumquatv1.Record), epochs: make(map[owner.Partition]owner.Epoch)}
}

func (store *fakeStore) open(_ context.Context, name owner.Partition, epoch owner.Epoch, apply func(*kumquatv1.Record)) (Journal, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.epochs[name] = epoch
	for _, record := range store.records[name] {
		apply(record)
	}
	return &fakeJournal{store: store, name: name, epoch: epoch}, nil
}

// fakeJournal is one owner's view of a partition's journal.
type fakeJournal struct {
	store *fakeStore
	name  owner.Partition
	epoch owner.Epoch
}

func (j *fakeJournal) Append(_ context.Context, records ...*kumquatv1.Record) error {
	j.store.mu.Lock()
	defer j.store.mu.Unlock()
	if j.store.epochs[j.name] != j.epoch {
		return errs.ErrFenced
	}
	for _, record := range records {
		j.store.records[j.name] = append(j.store.records[j.name], proto.CloneOf(record))
	}
	if j.store.loseResponses {
		return &errs.UnknownOutcomeError{Op: "append", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (j *fakeJournal) Position() int64 {
	j.store.mu.Lock()
	defer j.store.mu.Unlock()
	return int64(len(j.store.records[j.name]))
}

func (j *fakeJournal) Backlog() (int, int64) { return int(j.Position()), 0 }

func (j *fakeJournal) Snapshot(_ context.Context, position int64, records []*kumquatv1.Record) error {
	j.store.mu.Lock()
	defer j.store.mu.Unlock()
	j.store.records[j.name] = append(records, j.store.records[j.name][position:]...)
	j.store.snapshots++
	return nil
}

func (j *fakeJournal) Close() error { return nil }

// ownership names the keeper that owns all partitions.
type ownership struct {
	mu    sync.Mutex
	name  string
	epoch owner.Epoch
}

func (o *ownership) transferTo(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.name = name
	o.epoch++
}

// authority is one keeper's view of the ownership.
type authority struct {
	*ownership
	self string
}

func (v authority) Holds(owner.Partition, time.Time) (owner.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.name == v.self
}
func (v authority) AcquiredAt(owner.Partition) time.Time { return time.Time{} }
func (v authority) MayStart(string, time.Time) bool      { return true }

func newTestKeeper(t *testing.T, o *ownership, store *fakeStore, name string) *Keeper {
	t.Helper()
	return newKeeperAt(t, o, store, name, time.Now)
}

// afterHold is a clock that is past the time in which the holders of the tests'
// claims may report.
func afterHold() time.Time { return time.Now().Add(time.Minute) }

func newKeeperAt(t *testing.T, o *ownership, store *fakeStore, name string, now func() time.Time) *Keeper {
	t.Helper()
	k := New(Options{Authority: authority{ownership: o, self: name}, Open: store.open, Now: now})
	t.Cleanup(func() {
		if err := k.Close(); err != nil {
			t.Error(err)
		}
	})
	return k
}

func claimAs(token string) *kumquatv1.ClaimRequest {
	return &kumquatv1.ClaimRequest{
		Key: "charms/1", Digest: []byte("print"), Token: token,
		DeadlineUnixMillis: time.Now().Add(200 * time.Millisecond).UnixMilli(),
	}
}

// claimUntilOwned repeats a claim until the keeper has opened the key's partition.
func claimUntilOwned(t *testing.T, k *Keeper, request *kumquatv1.ClaimRequest) *kumquatv1.ClaimResponse {
	t.Helper()
	for range 500 {
		response, err := k.Claim(t.Context(), request)
		if err == nil {
			return response
		}
		if !errors.Is(err, errs.ErrNotOwner) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the partition was not opened")
	return nil
}

func assertState(t *testing.T, got *kumquatv1.ClaimResponse, want kumquatv1.ClaimState) {
	t.Helper()
	if got.GetState() != want {
		t.Errorf("state = %v, want %v", got.GetState(), want)
	}
}

func complete(t *testing.T, k *Keeper, report *kumquatv1.CompleteRequest) {
	t.Helper()
	if _, err := k.Complete(t.Context(), report); err != nil {
		t.Fatal(err)
	}
}

func TestKeeperGrantsOnce(t *testing.T) {
	o, store := &ownership{}, newFakeStore()
	o.transferTo("a")
	k := newTestKeeper(t, o, store, "a")
	assertState(t, claimUntilOwned(t, k, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	t.Run("the claim is repeated under the same token", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, k, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
	t.Run("another token waits", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, k, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("the key is refused for another request", func(t *testing.T) {
		other := claimAs("t2")
		other.Digest = []byte("other")
		assertState(t, claimUntilOwned(t, k, other), kumquatv1.ClaimState_CLAIM_STATE_MISMATCH)
	})
	t.Run("a report under another token has no effect", func(t *testing.T) {
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t2", NotRun: true})
		assertState(t, claimUntilOwned(t, k, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("a result is final", func(t *testing.T) {
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 201}})
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", NotRun: true})
		got := claimUntilOwned(t, k, claimAs("t2"))
		assertState(t, got, kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
		if got.GetResult().GetStatus() != 201 {
			t.Errorf("result = %v, want status 201", got.GetResult())
		}
	})
}

// TestKeeperTakesOver moves a partition with a claim in progress. A next owner that
// lost the claim would grant the key again, and the request would run twice.
func TestKeeperTakesOver(t *testing.T) {
	o, store := &ownership{}, newFakeStore()
	o.transferTo("a")
	a, b, c := newTestKeeper(t, o, store, "a"), newTestKeeper(t, o, store, "b"), newKeeperAt(t, o, store, "c", afterHold)
	assertState(t, claimUntilOwned(t, a, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	o.transferTo("b")
	t.Run("the old owner grants nothing", func(t *testing.T) {
		if _, err := a.Claim(t.Context(), claimAs("t2")); !errors.Is(err, errs.ErrNotOwner) {
			t.Errorf("error = %v, want not owner", err)
		}
	})
	t.Run("a claim in progress stays in progress", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("the outcome is unknown once the claim's hold has ended", func(t *testing.T) {
		o.transferTo("c")
		assertState(t, claimUntilOwned(t, c, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		o.transferTo("b")
		claimUntilOwned(t, b, claimAs("t1"))
	})
	t.Run("the claim's holder may still report", func(t *testing.T) {
		complete(t, b, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 200}})
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
	})
}

// TestKeeperSendsWaitersToTheNextOwner moves a partition while a second caller
// waits for the first caller's result. The first caller reports to the next owner,
// so the wait at the old owner must end at once rather than at the deadline.
func TestKeeperSendsWaitersToTheNextOwner(t *testing.T) {
	o, store := &ownership{}, newFakeStore()
	o.transferTo("a")
	a, b := newTestKeeper(t, o, store, "a"), newTestKeeper(t, o, store, "b")
	now := time.Now()
	first, second := claimAs("t1"), claimAs("t2")
	first.DeadlineUnixMillis = now.Add(2 * time.Minute).UnixMilli()
	second.DeadlineUnixMillis = first.GetDeadlineUnixMillis()
	claimUntilOwned(t, a, first)
	_, wait := a.claimOnce(t.Context(), a.find(second.GetKey(), now), second, now)
	o.transferTo("b")
	if !wait.await(t.Context(), now, now.Add(time.Minute)) {
		t.Error("the wait lasted until the deadline")
	}
	if _, err := a.Claim(t.Context(), second); !errors.Is(err, errs.ErrNotOwner) {
		t.Errorf("error = %v, want not owner", err)
	}
	claimUntilOwned(t, b, first)
	complete(t, b, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 200}})
	assertState(t, claimUntilOwned(t, b, second), kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
}

// TestKeeperWithLostResponses makes a write of a claim durable without the keeper
// learning of it. The claim must not be granted, and the record left in the journal
// must not override the claim that is granted next.
func TestKeeperWithLostResponses(t *testing.T) {
	o, store := &ownership{}, newFakeStore()
	o.transferTo("a")
	a, b := newTestKeeper(t, o, store, "a"), newKeeperAt(t, o, store, "b", afterHold)
	store.mu.Lock()
	store.loseResponses = true
	store.mu.Unlock()
	t.Run("nothing is granted", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, a, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE)
	})
	store.mu.Lock()
	store.loseResponses = false
	store.mu.Unlock()
	t.Run("the next claim is granted", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, a, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
	t.Run("the claim persists after a takeover", func(t *testing.T) {
		o.transferTo("b")
		assertState(t, claimUntilOwned(t, b, claimAs("t3")), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
}

// TestKeeperSnapshotLosesNothing writes snapshots during concurrent claims. A
// snapshot that covered an entry before its claim was applied would lose the claim.
func TestKeeperSnapshotLosesNothing(t *testing.T) {
	o, store := &ownership{}, newFakeStore()
	o.transferTo("a")
	a, b := newTestKeeper(t, o, store, "a"), newKeeperAt(t, o, store, "b", afterHold)
	request := claimAs("t1")
	claimUntilOwned(t, a, request)
	var claims sync.WaitGroup
	for worker := range 8 {
		claims.Go(func() {
			for i := range 100 {
				other := claimAs("t")
				other.Key = "charms/" + string(rune('a'+worker)) + string(rune('0'+i%10)) + string(rune('0'+i/10))
				claimUntilOwned(t, a, other)
			}
		})
	}
	for range 20 {
		p := a.find("charms/1", time.Now())
		if err := p.snapshot(t.Context()); err != nil {
			t.Error(err)
		}
	}
	claims.Wait()
	o.transferTo("b")
	for worker := range 8 {
		for i := range 100 {
			other := claimAs("another")
			other.Key = "charms/" + string(rune('a'+worker)) + string(rune('0'+i%10)) + string(rune('0'+i/10))
			assertState(t, claimUntilOwned(t, b, other), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	}
}
