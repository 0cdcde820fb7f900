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

// disk keeps the journals of all partitions, as the store does.
type disk struct {
	mu      sync.Mutex
	records map[owner.Partition][]*kumquatv1.Record
	epochs  map[owner.Partition]owner.Epoch
	// loseAnswers makes appends take effect and yet fail.
	loseAnswers bool
	snapshots   int
}

func newDisk() *disk {
	return &disk{records: make(map[owner.Partition][]*kumquatv1.Record), epochs: make(map[owner.Partition]owner.Epoch)}
}

func (d *disk) open(_ context.Context, name owner.Partition, epoch owner.Epoch, apply func(*kumquatv1.Record)) (Journal, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epochs[name] = epoch
	for _, record := range d.records[name] {
		apply(record)
	}
	return &diskJournal{disk: d, name: name, epoch: epoch}, nil
}

// diskJournal is the journal of one owner.
type diskJournal struct {
	disk  *disk
	name  owner.Partition
	epoch owner.Epoch
}

func (j *diskJournal) Append(_ context.Context, records ...*kumquatv1.Record) error {
	j.disk.mu.Lock()
	defer j.disk.mu.Unlock()
	if j.disk.epochs[j.name] != j.epoch {
		return errs.ErrFenced
	}
	for _, record := range records {
		j.disk.records[j.name] = append(j.disk.records[j.name], proto.CloneOf(record))
	}
	if j.disk.loseAnswers {
		return &errs.UnknownOutcomeError{Op: "append", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (j *diskJournal) Position() int64 {
	j.disk.mu.Lock()
	defer j.disk.mu.Unlock()
	return int64(len(j.disk.records[j.name]))
}

func (j *diskJournal) Backlog() (int, int64) { return int(j.Position()), 0 }

func (j *diskJournal) Snapshot(_ context.Context, position int64, records []*kumquatv1.Record) error {
	j.disk.mu.Lock()
	defer j.disk.mu.Unlock()
	j.disk.records[j.name] = append(records, j.disk.records[j.name][position:]...)
	j.disk.snapshots++
	return nil
}

func (j *diskJournal) Close() error { return nil }

// holder says which keeper holds all partitions.
type holder struct {
	mu    sync.Mutex
	name  string
	epoch owner.Epoch
}

func (h *holder) give(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.name = name
	h.epoch++
}

type view struct {
	*holder
	self string
}

func (v view) Holds(owner.Partition, time.Time) (owner.Epoch, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.name == v.self
}
func (v view) AcquiredAt(owner.Partition) time.Time { return time.Time{} }
func (v view) MayStart(string, time.Time) bool      { return true }

func newTestKeeper(t *testing.T, h *holder, d *disk, name string) *Keeper {
	t.Helper()
	return newKeeperAt(t, h, d, name, time.Now)
}

// afterHold is a clock by which the holders of the tests' claims can't report.
func afterHold() time.Time { return time.Now().Add(time.Minute) }

func newKeeperAt(t *testing.T, h *holder, d *disk, name string, now func() time.Time) *Keeper {
	t.Helper()
	k := New(Options{Authority: view{holder: h, self: name}, Open: d.open, Now: now})
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

// claimUntilOwned claims once the keeper has opened the key's partition.
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
	t.Fatal("partition was never opened")
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
	h, d := &holder{}, newDisk()
	h.give("a")
	k := newTestKeeper(t, h, d, "a")
	assertState(t, claimUntilOwned(t, k, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	t.Run("again under the same token", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, k, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
	t.Run("not under another", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, k, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("not for another request", func(t *testing.T) {
		other := claimAs("t2")
		other.Digest = []byte("other")
		assertState(t, claimUntilOwned(t, k, other), kumquatv1.ClaimState_CLAIM_STATE_MISMATCH)
	})
	t.Run("reports of others have no effect", func(t *testing.T) {
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t2", NotRun: true})
		assertState(t, claimUntilOwned(t, k, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("a result is final", func(t *testing.T) {
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 201}})
		complete(t, k, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", NotRun: true})
		got := claimUntilOwned(t, k, claimAs("t2"))
		assertState(t, got, kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
		if got.GetResult().GetStatus() != 201 {
			t.Errorf("result = %v", got.GetResult())
		}
	})
}

func TestKeeperTakesOver(t *testing.T) {
	h, d := &holder{}, newDisk()
	h.give("a")
	a, b, c := newTestKeeper(t, h, d, "a"), newTestKeeper(t, h, d, "b"), newKeeperAt(t, h, d, "c", afterHold)
	assertState(t, claimUntilOwned(t, a, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	h.give("b")
	t.Run("the old owner grants nothing", func(t *testing.T) {
		if _, err := a.Claim(t.Context(), claimAs("t2")); !errors.Is(err, errs.ErrNotOwner) {
			t.Errorf("error = %v", err)
		}
	})
	t.Run("a claim in progress goes on", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_IN_PROGRESS)
	})
	t.Run("and is unknown after its holder's time", func(t *testing.T) {
		h.give("c")
		assertState(t, claimUntilOwned(t, c, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		h.give("b")
		claimUntilOwned(t, b, claimAs("t1"))
	})
	t.Run("its holder may still report", func(t *testing.T) {
		complete(t, b, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 200}})
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
	})
}

// TestKeeperSendsWaitersToTheNextOwner moves a partition while a second caller
// waits for the first one's result, which goes to the next owner.
func TestKeeperSendsWaitersToTheNextOwner(t *testing.T) {
	h, d := &holder{}, newDisk()
	h.give("a")
	a, b := newTestKeeper(t, h, d, "a"), newTestKeeper(t, h, d, "b")
	now := time.Now()
	first, second := claimAs("t1"), claimAs("t2")
	first.DeadlineUnixMillis = now.Add(2 * time.Minute).UnixMilli()
	second.DeadlineUnixMillis = first.GetDeadlineUnixMillis()
	claimUntilOwned(t, a, first)
	_, progress := a.claimOnce(t.Context(), a.find(second.GetKey(), now), second, now)
	h.give("b")
	if !progress.await(t.Context(), now, now.Add(time.Minute)) {
		t.Error("the wait went on until the deadline")
	}
	if _, err := a.Claim(t.Context(), second); !errors.Is(err, errs.ErrNotOwner) {
		t.Errorf("error = %v", err)
	}
	claimUntilOwned(t, b, first)
	complete(t, b, &kumquatv1.CompleteRequest{Key: "charms/1", Token: "t1", Result: &kumquatv1.StoredResult{Status: 200}})
	assertState(t, claimUntilOwned(t, b, second), kumquatv1.ClaimState_CLAIM_STATE_COMPLETED)
}

func TestKeeperWithLostAnswers(t *testing.T) {
	h, d := &holder{}, newDisk()
	h.give("a")
	a, b := newTestKeeper(t, h, d, "a"), newKeeperAt(t, h, d, "b", afterHold)
	d.mu.Lock()
	d.loseAnswers = true
	d.mu.Unlock()
	t.Run("nothing is granted", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, a, claimAs("t1")), kumquatv1.ClaimState_CLAIM_STATE_UNAVAILABLE)
	})
	d.mu.Lock()
	d.loseAnswers = false
	d.mu.Unlock()
	t.Run("the next claim is granted", func(t *testing.T) {
		assertState(t, claimUntilOwned(t, a, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
	t.Run("and holds after a take-over", func(t *testing.T) {
		h.give("b")
		assertState(t, claimUntilOwned(t, b, claimAs("t3")), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		assertState(t, claimUntilOwned(t, b, claimAs("t2")), kumquatv1.ClaimState_CLAIM_STATE_GRANTED)
	})
}

func TestKeeperSnapshotLosesNothing(t *testing.T) {
	h, d := &holder{}, newDisk()
	h.give("a")
	a, b := newTestKeeper(t, h, d, "a"), newKeeperAt(t, h, d, "b", afterHold)
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
	h.give("b")
	for worker := range 8 {
		for i := range 100 {
			other := claimAs("another")
			other.Key = "charms/" + string(rune('a'+worker)) + string(rune('0'+i%10)) + string(rune('0'+i/10))
			assertState(t, claimUntilOwned(t, b, other), kumquatv1.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	}
}
