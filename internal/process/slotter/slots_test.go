package slotter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// testAuthority holds everything or nothing.
type testAuthority struct {
	mu       sync.Mutex
	held     bool
	epoch    owner.Epoch
	acquired time.Time
}

func (a *testAuthority) set(held bool, acquired time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held, a.acquired = held, acquired
	a.epoch++
}

func (a *testAuthority) Holds(owner.Partition, time.Time) (owner.Epoch, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch, a.held
}

func (a *testAuthority) AcquiredAt(owner.Partition) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acquired
}

func (a *testAuthority) MayStart(string, time.Time) bool { return true }

// testClock is a clock that tests move.
type testClock struct{ offset atomic.Int64 }

func (c *testClock) now() time.Time          { return time.Now().Add(time.Duration(c.offset.Load())) }
func (c *testClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// A bench is a table with one runner.
type bench struct {
	slots     *Slots
	authority *testAuthority
	clock     *testClock
	host      lister.Host
	declared  *declarer.Declarations
	served    atomic.Int64
	ready     atomic.Int64
}

const (
	benchSlots  = 2
	maxDuration = 10 * time.Second
)

func newBench(t *testing.T, handle http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{authority: &testAuthority{held: true, epoch: 1}, clock: &testClock{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.served.Add(1)
		handle(w, r)
	}))
	b.host = lister.Host{
		Name: "charm-1", Address: server.Listener.Addr().String(), Kind: lister.KindRunner,
		State: lister.StateLive, DataCentre: "atl-a", Upstream: "charms",
	}
	b.declared = &declarer.Declarations{
		Regions: []declarer.Region{{Name: "north-ga", DataCentres: []declarer.DataCentre{{Name: "atl-a"}}}},
		Upstreams: []declarer.Upstream{{
			Name: "charms", SlotsPerRunner: benchSlots, ConnectionsPerRunner: 64,
			MaxDuration: maxDuration, QueueLength: 10,
		}},
	}
	b.slots = New(Options{DataCentre: "atl-a", Authority: b.authority, Now: b.clock.now, OnReady: func() { b.ready.Add(1) }})
	b.slots.SetDeclarations(b.declared)
	b.slots.SetHosts([]lister.Host{b.host})
	t.Cleanup(func() {
		if err := b.slots.Close(); err != nil {
			t.Error(err)
		}
		server.Close()
	})
	return b
}

func (b *bench) ask() Ask {
	return Ask{Upstream: "charms", Caller: "a", Deadline: b.clock.now().Add(time.Second)}
}

func (b *bench) assertFree(t *testing.T, want int) {
	t.Helper()
	for range 500 {
		if b.slots.Load("charms", b.clock.now()).Free == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("free slots = %d, want %d", b.slots.Load("charms", b.clock.now()).Free, want)
}

// use sends one request on a slot and reads its answer.
func (b *bench) use(ctx context.Context, slot *Slot) error {
	defer slot.Release()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+slot.Address()+"/", nil)
	if err != nil {
		return err
	}
	resp, err := slot.Do(ctx, req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (b *bench) mustAcquire(t *testing.T) *Slot {
	t.Helper()
	slot, ok := b.slots.TryAcquire(b.ask())
	if !ok {
		t.Fatal("no slot is free")
	}
	return slot
}

func quick(http.ResponseWriter, *http.Request) {}

func TestSlotsRespectFormerOwners(t *testing.T) {
	b := newBench(t, quick)
	b.authority.set(true, b.clock.now())
	b.assertFree(t, 0)
	b.slots.tidy(b.clock.now())
	before := b.ready.Load()
	b.clock.advance(maxDuration)
	b.assertFree(t, benchSlots)
	b.slots.tidy(b.clock.now())
	if got := b.ready.Load() - before; got != 1 {
		t.Errorf("told %d times that the runner may be used again", got)
	}
}

func TestSlotsAskTheAuthorityBeforeEachSend(t *testing.T) {
	b := newBench(t, quick)
	slot := b.mustAcquire(t)
	b.authority.set(false, time.Time{})
	err := b.use(t.Context(), slot)
	if !errors.Is(err, ErrNoAuthority) || exchanger.IsSent(err) {
		t.Errorf("error = %v", err)
	}
	if b.served.Load() != 0 {
		t.Error("the request was sent")
	}
}

func TestSlotsOfLeavingRunners(t *testing.T) {
	t.Run("by the host list", func(t *testing.T) {
		b := newBench(t, quick)
		slot := b.mustAcquire(t)
		leaving := b.host
		leaving.State = lister.StateLeaving
		b.slots.SetHosts([]lister.Host{leaving})
		b.assertFree(t, 0)
		if err := b.use(t.Context(), slot); exchanger.IsSent(err) || err == nil {
			t.Errorf("a leaving runner got a request: %v", err)
		}
	})
	t.Run("by their own signal", func(t *testing.T) {
		b := newBench(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(answerer.HeaderRunner, answerer.RunnerLeaving)
		})
		granted := b.mustAcquire(t)
		if err := b.use(t.Context(), b.mustAcquire(t)); err != nil {
			t.Fatal(err)
		}
		b.assertFree(t, 0)
		if err := b.use(t.Context(), granted); exchanger.IsSent(err) || err == nil {
			t.Errorf("a leaving runner got a request: %v", err)
		}
	})
	t.Run("by their data centre", func(t *testing.T) {
		b := newBench(t, quick)
		b.slots.SetDeclarations(b.declared.WithDataCentre("atl-a", true))
		b.assertFree(t, 0)
		b.slots.SetDeclarations(b.declared)
		b.assertFree(t, benchSlots)
	})
}

func TestSlotIsHeldUntilTheRunnerHasEnded(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(http.ResponseWriter, *http.Request) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := b.use(ctx, b.mustAcquire(t)); !exchanger.IsSent(err) {
		t.Errorf("error = %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	if free := b.slots.Load("charms", b.clock.now()).Free; free != benchSlots-1 {
		t.Errorf("free slots = %d while the runner still works", free)
	}
	close(release)
	b.assertFree(t, benchSlots)
}

func TestSlotsDrainPartition(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	b := newBench(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})
	used := make(chan error, 1)
	slot := b.mustAcquire(t)
	go func() { used <- b.use(context.Background(), slot) }()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := b.slots.DrainPartition(ctx, PartitionOf(b.host)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained while a request is in flight: %v", err)
	}
	if _, ok := b.slots.TryAcquire(b.ask()); ok {
		t.Error("a draining partition gave a slot")
	}
	close(release)
	if err := b.slots.DrainPartition(t.Context(), PartitionOf(b.host)); err != nil {
		t.Error(err)
	}
	if err := <-used; err != nil {
		t.Errorf("the request in flight was cut off: %v", err)
	}
	b.authority.set(true, time.Time{})
	b.assertFree(t, benchSlots)
}

func TestSlotsDrainWaitsForFormerOwners(t *testing.T) {
	b := newBench(t, quick)
	b.authority.set(true, b.clock.now())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := b.slots.DrainPartition(ctx, PartitionOf(b.host)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained while a former owner's requests may run: %v", err)
	}
	b.clock.advance(maxDuration)
	if err := b.slots.DrainPartition(t.Context(), PartitionOf(b.host)); err != nil {
		t.Error(err)
	}
}

func TestSlotsRefuseEarly(t *testing.T) {
	b := newBench(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	refuse := func(want string) {
		ask := b.ask()
		ask.Deadline = b.clock.now().Add(5 * time.Millisecond)
		_, err := b.slots.Acquire(t.Context(), ask)
		var refused *errs.NotRunError
		if !errors.As(err, &refused) || refused.RetryAfter <= 0 || refused.Reason != want {
			t.Errorf("error = %v, want %q", err, want)
		}
	}
	held := []*Slot{b.mustAcquire(t), b.mustAcquire(t)}
	refuse("deadline passed while waiting for a slot")
	if err := b.use(t.Context(), held[0]); err != nil {
		t.Fatal(err)
	}
	held[0] = b.mustAcquire(t)
	refuse("expected wait exceeds the deadline")
	for _, slot := range held {
		slot.Release()
	}
	b.assertFree(t, benchSlots)
}

func TestSlotsServeWaitingRequests(t *testing.T) {
	b := newBench(t, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Millisecond) })
	var callers sync.WaitGroup
	var failed atomic.Int64
	for i := range 10 {
		callers.Go(func() {
			ask := b.ask()
			ctx := t.Context()
			if i%3 == 0 {
				short, cancel := context.WithTimeout(ctx, time.Duration(i)*time.Millisecond)
				defer cancel()
				ctx = short
			}
			slot, err := b.slots.Acquire(ctx, ask)
			if err == nil {
				err = b.use(ctx, slot)
			}
			if err != nil && i%3 != 0 {
				failed.Add(1)
			}
		})
	}
	callers.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d requests failed", failed.Load())
	}
	if err := b.slots.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	b.assertFree(t, benchSlots)
}
