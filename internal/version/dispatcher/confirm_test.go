package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// decide runs a placement pass and returns the decided orders without sending them.
func (h *harness) decide() []Order {
	h.table.placementDue = true
	h.table.Schedule(h.now)
	return h.table.Orders()
}

// decideOne returns the order to start the only task of a new submission.
func (h *harness) decideOne(step submitter.Step) Order {
	h.t.Helper()
	h.add("a", "urgent", step)
	orders := h.decide()
	assertStarts(h.t, orders, 1)
	return orders[0]
}

// assertWithdrawn checks that a start is not sent any more, and that its task has no run.
func assertWithdrawn(t *testing.T, h *harness, start Order) {
	t.Helper()
	if _, ok := h.table.Confirm(start, h.now); ok {
		t.Error("the start is sent")
	}
	if runs := h.table.subs["a"].occs[0].steps[0].tasks[0].runs; len(runs) != 0 {
		t.Errorf("%d runs of the task are left", len(runs))
	}
	if used := h.table.runners[start.Runner].used; used != (submitter.Resources{}) {
		t.Errorf("room for %+v is still taken", used)
	}
}

// Guards against starts that are sent although what they were decided by has changed.
func TestStartIsWithdrawn(t *testing.T) {
	registered := RunnerInfo{ID: "r0", Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1}
	for _, c := range []struct {
		name   string
		change func(h *harness)
	}{
		{"submission cancelled", func(h *harness) { h.table.Cancel("a", h.now) }},
		{"runner draining", func(h *harness) {
			draining := registered
			draining.Draining = true
			h.table.SetRunners([]RunnerInfo{draining}, h.now)
		}},
		{"runner unregistered", func(h *harness) { h.table.SetRunners(nil, h.now) }},
		{"data centre evacuated", func(h *harness) { h.configure(map[string]bool{"z": true}, testQueues...) }},
		{"queue moved to another service", func(h *harness) { h.configure(nil, submitter.Queue{Name: "urgent", Service: "other"}) }},
		{"runner restarted", func(h *harness) {
			reborn := registered
			reborn.Lifetime = 2
			h.table.SetRunners([]RunnerInfo{reborn}, h.now)
		}},
		{"runner shrunk", func(h *harness) { h.registerCapacity(submitter.Resources{}, 1) }},
		{"runner suspended", func(h *harness) { h.table.suspend(h.table.runners["r0"], h.now) }},
		{"runner silent", func(h *harness) { h.now = h.now.Add(staleAfter + time.Millisecond) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, 1)
			h.poll("r0")
			start := h.decideOne(oneCore(1))
			c.change(h)
			assertWithdrawn(t, h, start)
		})
	}
}

// Guards against a copy that is started seconds after the task is done.
func TestCopyIsWithdrawnOnceItsTaskIsDone(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	step := oneCore(1)
	step.Speculative = true
	h.add("a", "urgent", step)
	first := h.starts()
	assertStarts(t, first, 1)
	h.stall(2)
	copies := h.decide()
	assertStarts(t, copies, 1)
	h.poll(first[0].Runner, End{Task: first[0].Task, Run: first[0].Run, Kind: Done})
	if _, ok := h.table.Confirm(copies[0], h.now); ok {
		t.Error("the copy is started")
	}
}

func TestStopOfAnUnsentStart(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	start := h.decideOne(oneCore(1))
	h.table.Cancel("a", h.now)
	stops := h.table.Orders()
	if len(stops) != 1 || stops[0].Kind != Stop {
		t.Fatalf("orders %+v, want one stop", stops)
	}
	if _, ok := h.table.Confirm(stops[0], h.now); ok {
		t.Error("the stop is sent although the start was not")
	}
	assertWithdrawn(t, h, start)
}

func TestConfirmedOrders(t *testing.T) {
	t.Run("the lease begins when the start is sent", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		h.poll("r0")
		start := h.decideOne(oneCore(1))
		h.now = h.now.Add(time.Second)
		sent, ok := h.table.Confirm(start, h.now)
		if want := start.Until + time.Second.Milliseconds(); !ok || sent.Until != want {
			t.Errorf("sent %t with a lease until %d, want %d", ok, sent.Until, want)
		}
	})
	t.Run("the stop of a run that is not in the table", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		h.reported["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "unknown"}, Run: 1}}
		h.poll("r0")
		h.advance(unknownRunGrace + time.Millisecond)
		h.poll("r0")
		stops := h.table.Orders()
		if len(stops) != 1 {
			t.Fatalf("orders %+v, want one stop", stops)
		}
		if _, ok := h.table.Confirm(stops[0], h.now); !ok {
			t.Error("not sent")
		}
	})
	t.Run("not the stop of a run that has ended", func(t *testing.T) {
		h, start, stop := newStopHarness(t)
		h.reported["r0"] = nil
		h.poll("r0", End{Task: start.Task, Run: start.Run, Kind: Done})
		if _, ok := h.table.Confirm(stop, h.now); ok {
			t.Error("sent")
		}
	})
}

// Load: bursts of more tasks than the owner can start at a time. What is decided late is
// decided by what is most urgent then.
func TestStartsAreDecidedWhenTheyCanBeSent(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.table.SetRunners([]RunnerInfo{{
		ID: "r0", Service: "s", DataCentre: "z", Lifetime: 1, Capacity: submitter.Resources{MilliCores: 1_000_000, MemoryMB: 1_000_000},
	}}, h.now)
	h.poll("r0")
	h.add("large", "night", oneCore(maxQueuedStarts+100))
	queued := h.decide()
	assertStarts(t, queued, maxQueuedStarts)
	assertStarts(t, h.decide(), 0)
	h.add("urgent", "urgent", oneCore(1))
	for _, o := range queued[:maxQueuedStarts/2] {
		if _, ok := h.table.Confirm(o, h.now); !ok {
			t.Fatalf("start of %s is not sent", o.Task)
		}
	}
	h.table.Schedule(h.now)
	next := h.table.Orders()
	if len(next) == 0 || next[0].Task.Submission != "urgent" {
		t.Fatalf("next orders %+v, want the urgent task first", next)
	}
	assertStarts(t, next, maxQueuedStarts/2)
}

// newStopHarness returns a harness with a run on r0 of which the stop was ordered.
func newStopHarness(t *testing.T) (h *harness, start, stop Order) {
	t.Helper()
	h = newHarness(t, 0, 1)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	starts := h.starts()
	assertStarts(t, starts, 1)
	h.table.Cancel("a", h.now)
	stops := h.table.Orders()
	if len(stops) != 1 || stops[0].Kind != Stop {
		t.Fatalf("orders %+v, want one stop", stops)
	}
	return h, starts[0], stops[0]
}

// Guards against stops that are repeated while the first one still waits to be sent, and
// then hold up all other orders.
func TestStopIsNotRepeatedBeforeItIsSent(t *testing.T) {
	h, _, stop := newStopHarness(t)
	assertStops := func(want int) {
		t.Helper()
		h.advance(stopRetryAfter + testLimits.StopTimeout + time.Millisecond)
		h.poll("r0")
		if n := kinds(h.table.Orders())[Stop]; n != want {
			t.Errorf("%d further stops, want %d", n, want)
		}
	}
	assertStops(0)
	if _, ok := h.table.Confirm(stop, h.now); !ok {
		t.Fatal("the stop is not sent")
	}
	t.Run("but after it", func(*testing.T) { assertStops(1) })
}

// Guards against members of a gang that wait for one whose start was withdrawn.
func TestGangIsWithdrawnAsAWhole(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	step := oneCore(4)
	step.Gang = true
	h.add("a", "urgent", step)
	members := h.decide()
	assertStarts(t, members, 4)
	if _, ok := h.table.Confirm(members[0], h.now); !ok {
		t.Fatal("the first member is not started")
	}
	h.configure(nil, submitter.Queue{Name: "urgent", Service: "other"})
	for _, o := range members[1:] {
		if _, ok := h.table.Confirm(o, h.now); ok {
			t.Errorf("member %d is started", o.Task.Index)
		}
	}
	stops := h.table.Orders()
	if len(stops) != 1 || stops[0].Kind != Stop || stops[0].Task != members[0].Task {
		t.Errorf("orders %+v, want a stop of the first member", stops)
	}
}

// Guards against submissions that count as begun although all their starts were refused.
// (review, pending)
func TestSubmissionIsPendingUntilARunHasBegun(t *testing.T) {
	newSentStart := func(t *testing.T) (h *harness, start Order) {
		t.Helper()
		h = newHarness(t, 0, 1)
		h.poll("r0")
		start = h.decideOne(oneCore(1))
		assertPending(t, h, 1)
		if _, ok := h.table.Confirm(start, h.now); !ok {
			t.Fatal("the start is not sent")
		}
		assertPending(t, h, 1)
		return h, start
	}
	for _, c := range []struct {
		outcome Outcome
		pending int
	}{{Succeeded, 0}, {Unhealthy, 1}, {NotSent, 1}, {Unanswered, 1}} {
		t.Run(c.outcome.String(), func(t *testing.T) {
			h, start := newSentStart(t)
			h.table.ApplyStart(start, c.outcome, 1, h.now)
			assertPending(t, h, c.pending)
		})
	}
	t.Run("unanswered and listed as running", func(t *testing.T) {
		h, start := newSentStart(t)
		h.table.ApplyStart(start, Unanswered, 0, h.now)
		h.reported["r0"] = []RunStatus{{Task: start.Task, Run: start.Run}}
		h.poll("r0")
		assertPending(t, h, 0)
	})
	t.Run("unanswered and listed as ended", func(t *testing.T) {
		h, start := newSentStart(t)
		h.table.ApplyStart(start, Unanswered, 0, h.now)
		h.poll("r0", End{Task: start.Task, Run: start.Run, Kind: Failure})
		assertPending(t, h, 0)
	})
}

func assertPending(t *testing.T, h *harness, want int) {
	t.Helper()
	if got := h.table.Pending("urgent"); got != want {
		t.Errorf("%d submissions are pending, want %d", got, want)
	}
}
