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

// testAuthority is an owner.Authority that owns all partitions or none. Each call of set
// begins a new epoch.
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

// testClock is the real time plus an offset that tests advance.
type testClock struct{ offset atomic.Int64 }

func (c *testClock) now() time.Time          { return time.Now().Add(time.Duration(c.offset.Load())) }
func (c *testClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// A fixture is a table with one runner, whose handler counts the requests in served. ready
// counts the calls of OnReady.
type fixture struct {
	slots     *Slots
	authority *testAuthority
	clock     *testClock
	host      lister.Host
	declared  *declarer.Declarations
	served    atomic.Int64
	ready     atomic.Int64
}

const (
	fixtureSlots = 2
	maxDuration  = 10 * time.Second
)

func newFixture(t *testing.T, handle http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{authority: &testAuthority{held: true, epoch: 1}, clock: &testClock{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.served.Add(1)
		handle(w, r)
	}))
	f.host = lister.Host{
		Name: "charm-1", Address: server.Listener.Addr().String(), Kind: lister.KindRunner,
		State: lister.StateLive, DataCentre: "atl-a", Upstream: "charms",
	}
	f.declared = &declarer.Declarations{
		Regions: []declarer.Region{{Name: "north-ga", DataCentres: []declarer.DataCentre{{Name: "atl-a"}}}},
		Upstreams: []declarer.Upstream{{
			Name: "charms", SlotsPerRunner: fixtureSlots, ConnectionsPerRunner: 64,
			MaxDuration: maxDuration, QueueLength: 10,
		}},
	}
	f.slots = New(Options{DataCentre: "atl-a", Authority: f.authority, Now: f.clock.now, OnReady: func() { f.ready.Add(1) }})
	f.slots.SetDeclarations(f.declared)
	f.slots.SetHosts([]lister.Host{f.host})
	t.Cleanup(func() {
		if err := f.slots.Close(); err != nil {
			t.Error(err)
		}
		server.Close()
	})
	return f
}

func (f *fixture) request() SlotRequest {
	return SlotRequest{Upstream: "charms", Caller: "a", Deadline: f.clock.now().Add(time.Second)}
}

func (f *fixture) assertFree(t *testing.T, want int) {
	t.Helper()
	for range 500 {
		if f.slots.Load("charms", f.clock.now()).Free == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("free slots = %d, want %d", f.slots.Load("charms", f.clock.now()).Free, want)
}

// use sends one request on a slot, reads the response and releases the slot.
func (f *fixture) use(ctx context.Context, slot *Slot) error {
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

func (f *fixture) mustAcquire(t *testing.T) *Slot {
	t.Helper()
	slot, ok := f.slots.TryAcquire(f.request())
	if !ok {
		t.Fatal("no slot is free")
	}
	return slot
}

func quick(http.ResponseWriter, *http.Request) {}

// Guards against more requests at a runner than it has slots: requests of a former owner
// may be in flight for the upstream's maximum duration after a takeover.
func TestSlotsRespectFormerOwners(t *testing.T) {
	f := newFixture(t, quick)
	f.authority.set(true, f.clock.now())
	f.assertFree(t, 0)
	f.slots.maintainOnce(f.clock.now())
	before := f.ready.Load()
	f.clock.advance(maxDuration)
	f.assertFree(t, fixtureSlots)
	f.slots.maintainOnce(f.clock.now())
	if got := f.ready.Load() - before; got != 1 {
		t.Errorf("OnReady was called %d times after the takeover, want 1", got)
	}
}

// Guards against the use of a runner by two daemons: a daemon may lose the runner's
// partition between the grant of a slot and the send of the request.
func TestSlotsAskTheAuthorityBeforeEachSend(t *testing.T) {
	f := newFixture(t, quick)
	slot := f.mustAcquire(t)
	f.authority.set(false, time.Time{})
	err := f.use(t.Context(), slot)
	if !errors.Is(err, ErrNotAuthorised) || exchanger.IsSent(err) {
		t.Errorf("error = %v, want ErrNotAuthorised and nothing sent", err)
	}
	if f.served.Load() != 0 {
		t.Error("the request was sent")
	}
}

func TestSlotsOfLeavingRunners(t *testing.T) {
	t.Run("by the host list", func(t *testing.T) {
		f := newFixture(t, quick)
		slot := f.mustAcquire(t)
		leaving := f.host
		leaving.State = lister.StateLeaving
		f.slots.SetHosts([]lister.Host{leaving})
		f.assertFree(t, 0)
		if err := f.use(t.Context(), slot); exchanger.IsSent(err) || err == nil {
			t.Errorf("a leaving runner got a request: %v", err)
		}
	})
	t.Run("by their own signal", func(t *testing.T) {
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(answerer.HeaderRunner, answerer.RunnerLeaving)
		})
		granted := f.mustAcquire(t)
		if err := f.use(t.Context(), f.mustAcquire(t)); err != nil {
			t.Fatal(err)
		}
		f.assertFree(t, 0)
		if err := f.use(t.Context(), granted); exchanger.IsSent(err) || err == nil {
			t.Errorf("a leaving runner got a request: %v", err)
		}
	})
	t.Run("by their data centre", func(t *testing.T) {
		f := newFixture(t, quick)
		f.slots.SetDeclarations(f.declared.WithDataCentre("atl-a", true))
		f.assertFree(t, 0)
		f.slots.SetDeclarations(f.declared)
		f.assertFree(t, fixtureSlots)
	})
}

// Guards against more requests at a runner than it has slots: a request whose deadline
// has passed still occupies the runner until the runner has ended it.
func TestSlotIsHeldUntilTheRunnerHasEnded(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := f.use(ctx, f.mustAcquire(t)); !exchanger.IsSent(err) {
		t.Errorf("error = %v, want one after the request was sent", err)
	}
	time.Sleep(50 * time.Millisecond)
	if free := f.slots.Load("charms", f.clock.now()).Free; free != fixtureSlots-1 {
		t.Errorf("free slots = %d, want the slot held while the runner still works", free)
	}
	close(release)
	f.assertFree(t, fixtureSlots)
}

func TestSlotsDrainPartition(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})
	used := make(chan error, 1)
	slot := f.mustAcquire(t)
	go func() { used <- f.use(context.Background(), slot) }()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.slots.DrainPartition(ctx, PartitionOf(f.host)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained while a request was in flight: %v", err)
	}
	if _, ok := f.slots.TryAcquire(f.request()); ok {
		t.Error("a draining partition granted a slot")
	}
	close(release)
	if err := f.slots.DrainPartition(t.Context(), PartitionOf(f.host)); err != nil {
		t.Error(err)
	}
	if err := <-used; err != nil {
		t.Errorf("the request in flight was aborted: %v", err)
	}
	f.authority.set(true, time.Time{})
	f.assertFree(t, fixtureSlots)
}

// Guards against a handover while requests of the owner before this daemon may still be in
// flight. After a clean handover the next owner does not wait for them.
func TestSlotsDrainWaitsForFormerOwners(t *testing.T) {
	f := newFixture(t, quick)
	f.authority.set(true, f.clock.now())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.slots.DrainPartition(ctx, PartitionOf(f.host)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained while a former owner's requests might still run: %v", err)
	}
	f.clock.advance(maxDuration)
	if err := f.slots.DrainPartition(t.Context(), PartitionOf(f.host)); err != nil {
		t.Error(err)
	}
}

// Guards against requests that wait in the queue although they are expected to miss their
// deadline.
func TestSlotsRefuseEarly(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	refuse := func(want string) {
		request := f.request()
		request.Deadline = f.clock.now().Add(5 * time.Millisecond)
		_, err := f.slots.Acquire(t.Context(), request)
		var refused *errs.NotRunError
		if !errors.As(err, &refused) || refused.RetryAfter <= 0 || refused.Reason != want {
			t.Errorf("error = %v, want %q", err, want)
		}
	}
	held := []*Slot{f.mustAcquire(t), f.mustAcquire(t)}
	refuse("deadline passed while waiting for a slot")
	if err := f.use(t.Context(), held[0]); err != nil {
		t.Fatal(err)
	}
	held[0] = f.mustAcquire(t)
	refuse("expected wait exceeds the deadline")
	for _, slot := range held {
		slot.Release()
	}
	f.assertFree(t, fixtureSlots)
}

// A lateContext is past its deadline, and has not ended yet: its timer is late.
type lateContext struct {
	context.Context

	deadline time.Time
}

func (c lateContext) Deadline() (deadline time.Time, ok bool) { return c.deadline, true }

// Guards against a runner that is ejected since a request's time has run out while a
// connection was opened.
func TestFailedDialEjectsUnlessTimeHasRunOut(t *testing.T) {
	for _, c := range []struct {
		name string
		ctx  context.Context
		want int
	}{
		{"with time left", t.Context(), 0},
		{"after the deadline", lateContext{t.Context(), time.Now()}, fixtureSlots},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, quick)
			closed := httptest.NewServer(http.NotFoundHandler())
			closed.Close()
			f.slots.opts.Dial = func(ctx context.Context, _ string) (*exchanger.Conn, error) {
				return exchanger.Dial(ctx, closed.Listener.Addr().String())
			}
			if err := f.use(c.ctx, f.mustAcquire(t)); err == nil || exchanger.IsSent(err) {
				t.Errorf("error = %v, want one before anything was sent", err)
			}
			f.assertFree(t, c.want)
		})
	}
}

// Guards against slots that are lost when queued requests are cancelled.
func TestSlotsServeWaitingRequests(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Millisecond) })
	var callers sync.WaitGroup
	var failed atomic.Int64
	for i := range 10 {
		callers.Go(func() {
			request := f.request()
			ctx := t.Context()
			if i%3 == 0 {
				short, cancel := context.WithTimeout(ctx, time.Duration(i)*time.Millisecond)
				defer cancel()
				ctx = short
			}
			slot, err := f.slots.Acquire(ctx, request)
			if err == nil {
				err = f.use(ctx, slot)
			}
			if err != nil && i%3 != 0 {
				failed.Add(1)
			}
		})
	}
	callers.Wait()
	if failed.Load() > 0 {
		t.Errorf("%d requests that were not cancelled failed", failed.Load())
	}
	if err := f.slots.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	f.assertFree(t, fixtureSlots)
}

// Guards against a slot that is released as the daemon stops and waits for its runner in the
// background, although nobody waits for that any more. The race detector reported it.
func TestSlotReleasedWhileClosing(t *testing.T) {
	for range 20 {
		f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		ctx, cancel := context.WithCancel(t.Context())
		slot := f.mustAcquire(t)
		var user sync.WaitGroup
		user.Go(func() { _ = f.use(ctx, slot) }) // cancelled, or answered first
		for f.served.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		user.Go(cancel)
		if err := f.slots.Close(); err != nil {
			t.Error(err)
		}
		user.Wait()
		if r := slot.runner; r.inFlight != 0 {
			t.Errorf("%d requests in flight after both, want none", r.inFlight)
		}
	}
}
