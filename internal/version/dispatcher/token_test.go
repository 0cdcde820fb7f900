package dispatcher

import (
	"testing"
	"time"
)

// A tokens is an owner of one runner that may use few tokens, and the answers of that.
type tokens struct{ *harness }

// newTokens returns an owner that may use its first token and some more, and whose runner has
// accepted the first.
func newTokens(t *testing.T, more int64) tokens {
	t.Helper()
	h := newHarness(t, 0, 1)
	h.table.maxToken = testFence + more
	h.poll("r0")
	return tokens{h}
}

// answer passes an answer of an incarnation to a poll with the token that is some above the
// first one.
func (h tokens) answer(above, lifetime int64) {
	h.table.Token("r0") // of the poll
	h.table.Report("r0", Report{Token: testFence + above, Lifetime: lifetime, Clock: h.clock("r0")}, h.now, h.now.Add(time.Millisecond))
}

// list passes a registry entry that names an incarnation.
func (h tokens) list(lifetime int64) {
	h.lifetimes["r0"] = lifetime
	h.register("r0")
}

// sentStart returns the start of a new task, as it is sent.
func (h tokens) sentStart() Order {
	h.t.Helper()
	h.add("a", "urgent", oneCore(1))
	h.table.placementDue = true
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	assertStarts(h.t, orders, 1)
	start, ok := h.table.Confirm(orders[0], h.now)
	if !ok || start.Token != h.table.runners["r0"].token {
		h.t.Fatalf("start %+v is sent: %v, want it with the token of the runner", start, ok)
	}
	return start
}

// assertToken checks the runner's incarnation, and its token, which is some above the first one.
func (h tokens) assertToken(above, lifetime int64) {
	h.t.Helper()
	info, _ := h.table.Runner("r0")
	if token, ok := h.table.Token("r0"); !ok || token != testFence+above || info.Lifetime != lifetime {
		h.t.Errorf("incarnation %d has token %d (usable: %v), want %d with %d", info.Lifetime, token, ok, lifetime, testFence+above)
	}
}

func (h tokens) assertNotCalled() {
	h.t.Helper()
	if token, ok := h.table.Token("r0"); ok {
		h.t.Errorf("the runner is called with token %d", token)
	}
}

// assertNoLease checks that no lease end is sent to the runner, as its clock is not known.
func (h tokens) assertNoLease() {
	h.t.Helper()
	if until := h.table.LeaseUntil("r0", h.now); until != 0 {
		h.t.Errorf("a lease until %d is granted", until)
	}
}

func (h tokens) assertLease() {
	h.t.Helper()
	if h.table.LeaseUntil("r0", h.now) == 0 {
		h.t.Error("no lease is granted")
	}
}

// assertStopIsSent checks that an order is a stop, and is sent to an incarnation with its token.
func (h tokens) assertStopIsSent(o Order, above, lifetime int64) {
	h.t.Helper()
	if stop, ok := h.table.Confirm(o, h.now); !ok || stop.Kind != Stop || stop.Token != testFence+above || stop.Lifetime != lifetime {
		h.t.Errorf("%+v is sent: %v, want a stop with token %d for incarnation %d", stop, ok, testFence+above, lifetime)
	}
}

// Guards against tokens that are higher than the first one of a successor.
func TestRunnerRestartedMoreOftenThanTheStoreHasChanged(t *testing.T) {
	newRestarted := func(t *testing.T) (h tokens, x *run) {
		t.Helper()
		h = newTokens(t, 1)
		start := h.sentStart()
		h.table.ApplyStart(start, Unanswered, 0, h.now)
		h.list(2)
		h.assertToken(1, 2)
		h.list(3)
		return h, h.table.find(start)
	}
	t.Run("is called once a newer revision is known", func(t *testing.T) {
		h, _ := newRestarted(t)
		h.assertNotCalled()
		h.table.AllowTokens(testFence)
		h.assertNotCalled()
		h.table.AllowTokens(testFence + 2)
		h.assertToken(2, 3)
	})
	t.Run("gets its stops with its token", func(t *testing.T) {
		h, _ := newRestarted(t)
		h.table.AllowTokens(testFence + 2)
		for _, o := range h.table.Orders() {
			h.assertStopIsSent(o, 2, 3)
		}
	})
	t.Run("has its stop repeated", func(t *testing.T) {
		h, _ := newRestarted(t)
		for _, o := range h.table.Orders() {
			if o, ok := h.table.Confirm(o, h.now); ok {
				t.Errorf("%+v is sent", o)
			}
		}
		h.table.AllowTokens(testFence + 2)
		h.advance(stopRetryAfter + testLimits.StopTimeout + time.Millisecond)
		h.assertStopIsSent(h.stop(), 2, 3)
	})
	t.Run("has its pace ordered again", func(t *testing.T) {
		h, x := newRestarted(t)
		h.table.Orders()
		for pace := range 2 {
			h.table.paceRun(x, pace, h.now)
			orders := h.table.Orders()
			if len(orders) != 1 || orders[0].Kind != Pace {
				t.Fatalf("orders %+v, want a pace", orders)
			}
			if o, ok := h.table.Confirm(orders[0], h.now); ok {
				t.Errorf("%+v is sent", o)
			}
		}
	})
}

// Guards against a runner that was restarted while the owner did not know it, and that carries
// out calls from before.
func TestDroppedRunnerComesBackWithAHigherToken(t *testing.T) {
	h := newTokens(t, 10)
	infos := h.table.Runners()
	for above := range int64(3) {
		h.assertToken(above, 1)
		h.table.SetRunners(nil, h.now)
		h.advance(2 * testLimits.MaxLease)
		h.assertNotCalled()
		h.table.SetRunners(infos, h.now)
	}
}

// Guards against a host whose time jumps back: its new incarnation is the lower one.
func TestIncarnationWhoseStartTimeJumpsBack(t *testing.T) {
	h := newTokens(t, 10)
	h.list(9)
	h.answer(1, 9)
	h.answer(1, 5)
	h.assertToken(2, 5)
	t.Run("is not reset by the entry of the former one", func(t *testing.T) {
		h.list(9)
		h.assertToken(2, 5)
	})
	t.Run("is used", func(t *testing.T) {
		h.list(5)
		h.answer(2, 5)
		h.assertToken(2, 5)
		h.sentStart()
	})
	t.Run("is reset by the entry of the next one", func(t *testing.T) {
		h.list(6)
		h.assertToken(3, 6)
	})
}

// Guards against leases of a clock that a call for the former incarnation may still change.
func TestNewIncarnationGetsNoLeaseBeforeItHasItsToken(t *testing.T) {
	h := newTokens(t, 10)
	start := h.sentStart()
	h.list(2)
	h.table.ObserveClock(start, 2, 77, h.now)
	h.assertNoLease()
	h.answer(0, 2)
	h.assertNoLease()
	h.answer(1, 2)
	h.assertLease()
	h.answer(1, 3) // shows one more restart
	h.assertNoLease()
	h.assertToken(2, 3)
	h.answer(2, 3)
	h.assertLease()
}

func TestIsSuperseded(t *testing.T) {
	h := newTokens(t, 10)
	h.list(2)
	for _, test := range []struct {
		runner string
		above  int64
		want   bool
	}{{"r0", 0, true}, {"r0", 1, false}, {"r0", 2, false}, {"r1", 0, false}} {
		if got := h.table.IsSuperseded(test.runner, testFence+test.above); got != test.want {
			t.Errorf("a call to %s with token %d is superseded: %v", test.runner, testFence+test.above, got)
		}
	}
}

// Guards against orders that were decided before a restart and sent after it.
func TestStopOfAnUnknownRunIsNotSentToTheNextIncarnation(t *testing.T) {
	h := newTokens(t, 10)
	start := h.sentStart()
	start.Run += 1000
	h.table.stopUnknown(h.table.runners["r0"], runKey{start.Task, start.Run}, h.now)
	stop := h.stop()
	if _, ok := h.table.Confirm(stop, h.now); !ok {
		t.Error("the stop is not sent")
	}
	h.list(2)
	if o, ok := h.table.Confirm(stop, h.now); ok {
		t.Errorf("%+v is sent to incarnation 2", o)
	}
}

// Guards against a task that waits for the end of a lease although its runner was restarted.
func TestAnsweredStartEndsWithItsIncarnation(t *testing.T) {
	h := newTokens(t, 10)
	h.table.ApplyStart(h.sentStart(), Succeeded, 1, h.now)
	h.restart("r0")
	h.poll("r0")
	assertStarts(t, h.starts(), 1)
}

// A runner is restarted twice before its owner hears of the first restart, and a start is
// answered after that.
func TestTwoRestartsBeforeTheOwnerHearsOfOne(t *testing.T) {
	newRestarted := func(t *testing.T) (h tokens, start Order) {
		t.Helper()
		h = newTokens(t, 10)
		start = h.sentStart()
		h.answer(0, 3)
		h.assertToken(1, 3)
		h.lifetimes["r0"] = 3
		return h, start
	}
	assertStartsOnceStopped := func(t *testing.T, h tokens, want int) {
		t.Helper()
		h.table.ApplyStop(h.stop(), Succeeded, h.now)
		h.advance(700 * time.Millisecond)
		h.poll("r0")
		assertStarts(t, h.starts(), want)
	}
	t.Run("the entry of the one between is late", func(t *testing.T) {
		h, _ := newRestarted(t)
		h.list(2)
		h.assertToken(1, 3)
	})
	t.Run("the start is not answered", func(t *testing.T) {
		h, _ := newRestarted(t)
		h.list(3)
		assertStartsOnceStopped(t, h, 0)
	})
	t.Run("the one between has answered the start", func(t *testing.T) {
		h, start := newRestarted(t)
		h.list(3)
		h.table.ApplyStart(start, Succeeded, 2, h.now)
		assertStartsOnceStopped(t, h, 1)
	})
	t.Run("the first one has answered the start", func(t *testing.T) {
		h, start := newRestarted(t)
		h.list(3)
		h.table.ApplyStart(start, Succeeded, 1, h.now)
		h.poll("r0")
		assertStarts(t, h.starts(), 1)
	})
	t.Run("the last one has answered the start", func(t *testing.T) {
		h, start := newRestarted(t)
		h.list(3)
		h.table.ApplyStart(start, Succeeded, 3, h.now)
		h.reported["r0"] = []RunStatus{{Task: start.Task, Run: start.Run}}
		assertStartsOnceStopped(t, h, 0)
	})
}
