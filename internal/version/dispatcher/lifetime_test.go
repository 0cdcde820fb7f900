package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// restart restarts the process of a runner under its ID, and passes the new registry
// entry to the table.
func (h *harness) restart(runner string) {
	h.lifetimes[runner] = h.lifetime(runner) + 1
	h.bornAt[runner], h.ends[runner], h.reported[runner] = h.now, 0, nil
	h.register(runner)
}

// register passes the registry's entries to the table, that of one runner with its newest
// incarnation.
func (h *harness) register(runner string) {
	infos := h.table.Runners()
	for i := range infos {
		if infos[i].ID == runner {
			infos[i].Lifetime = h.lifetime(runner)
		}
	}
	h.table.SetRunners(infos, h.now)
}

// Guards against taking the clock of a former incarnation for that of the runner. Its late
// answer hid all further reports, and what ran on the runner was started again elsewhere.
func TestLateAnswerOfAFormerIncarnation(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.advance(time.Hour)
	h.pollAll(2)
	before := h.clock("r0")
	h.restart("r0")
	h.table.ObserveClock(Order{Runner: "r0", Token: testFence}, 0, before, h.now)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(10))
	assertStarts(t, h.starts(), 10)
	for range 20 {
		h.advance(500 * time.Millisecond)
		assertStarts(t, h.starts(), 0)
		h.pollAll(2)
	}
}

// startUnanswered submits a submission of one task, whose start is not answered, and
// returns where the task is to start and the stop of it.
func (h *harness) startUnanswered() (runner string, stop Order) {
	h.t.Helper()
	h.add("a", "urgent", oneCore(1))
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	assertStarts(h.t, orders, 1)
	h.table.ApplyStart(orders[0], Unanswered, 0, h.now)
	return orders[0].Runner, h.stop()
}

// stop returns the one order of the table, which has to be a stop.
func (h *harness) stop() Order {
	h.t.Helper()
	orders := h.table.Orders()
	if len(orders) != 1 || orders[0].Kind != Stop {
		h.t.Fatalf("orders %+v, want a stop", orders)
	}
	return orders[0]
}

// Guards against ending a run whose start may still be carried out by a restarted runner:
// a lease of the former owner, long past, was taken for that of the run, and the task was
// started elsewhere.
func TestLateStartAtARestartedRunner(t *testing.T) {
	newRestarted := func(t *testing.T) (h *harness, runner, other string) {
		t.Helper()
		h = newHarness(t, 0, 2)
		h.advance(time.Hour)
		h.pollAll(2)
		runner, _ = h.startUnanswered()
		h.restart(runner)
		other = "r0"
		if runner == "r0" {
			other = "r1"
		}
		return h, runner, other
	}
	t.Run("keeps its task while it may begin", func(t *testing.T) {
		h, runner, other := newRestarted(t)
		for range 10 {
			h.advance(500 * time.Millisecond)
			assertStarts(t, h.starts(), 0)
			h.poll(other)
			h.poll(runner)
		}
	})
	t.Run("is over once a stop has taken effect and it can't begin any more", func(t *testing.T) {
		h, _, _ := newRestarted(t)
		h.table.ApplyStop(h.stop(), Succeeded, h.now)
		assertStartsAfterOrderDelay(t, h)
	})
	t.Run("may begin after a second restart", func(t *testing.T) {
		h, runner, _ := newRestarted(t)
		h.table.ApplyStop(h.stop(), Succeeded, h.now)
		h.advance(700 * time.Millisecond)
		h.pollAll(2)
		assertStarts(t, h.starts(), 0)
		h.restart(runner)
		h.table.ApplyStop(h.stop(), Succeeded, h.now)
		h.advance(700 * time.Millisecond)
		h.pollAll(2)
		assertStarts(t, h.starts(), 0)
	})
	t.Run("is over once its lease must have lapsed", func(t *testing.T) {
		h, _, other := newRestarted(t)
		for lapsed := h.now.Add(maxCallDelay + testLimits.MaxLease); h.now.Before(lapsed); {
			h.poll(other)
			h.advance(500 * time.Millisecond)
			assertStarts(t, h.starts(), 0)
		}
		h.poll(other)
		h.advance(500 * time.Millisecond)
		assertStarts(t, h.starts(), 1)
	})
}

// assertStartsAfterOrderDelay checks that the task starts as soon as an order from now can't
// be carried out any more.
func assertStartsAfterOrderDelay(t *testing.T, h *harness) {
	t.Helper()
	for range 11 {
		h.advance(500 * time.Millisecond)
		h.pollAll(2)
		assertStarts(t, h.starts(), 0)
	}
	h.advance(500 * time.Millisecond)
	h.pollAll(2)
	assertStarts(t, h.starts(), 1)
}

// Guards against ending a run that a restarted runner has begun. The new process had
// answered the start before the owner learnt of the restart, and the task was started
// elsewhere.
func TestStartAnsweredAfterARestart(t *testing.T) {
	newAnswered := func(t *testing.T) (h *harness, runner string) {
		t.Helper()
		h = newHarness(t, 0, 2)
		h.pollAll(2)
		h.advance(time.Second)
		h.pollAll(2)
		h.add("a", "urgent", oneCore(1))
		h.table.Schedule(h.now)
		orders := h.table.Orders()
		assertStarts(t, orders, 1)
		runner = orders[0].Runner
		h.table.ApplyStart(orders[0], Succeeded, 0, h.now)
		h.restart(runner)
		h.reported[runner] = []RunStatus{{Task: orders[0].Task, Run: orders[0].Run}}
		assertStarts(t, h.starts(), 0)
		return h, runner
	}
	t.Run("is kept while the new process lists it", func(t *testing.T) {
		h, _ := newAnswered(t)
		for range 10 {
			h.advance(500 * time.Millisecond)
			assertStarts(t, h.starts(), 0)
			h.pollAll(2)
		}
	})
	t.Run("ends if the new process does not list it", func(t *testing.T) {
		h, runner := newAnswered(t)
		h.reported[runner] = nil
		h.advance(500 * time.Millisecond)
		assertStarts(t, h.starts(), 0)
		h.poll(runner)
		assertStarts(t, h.starts(), 1)
	})
	t.Run("ends at the next restart once the process has listed it", func(t *testing.T) {
		h, runner := newAnswered(t)
		h.advance(500 * time.Millisecond)
		h.pollAll(2)
		h.restart(runner)
		assertStarts(t, h.starts(), 1)
	})
}

// Guards against taking the stop at a former process for one at the restarted runner: the
// late start was carried out after it.
func TestStopConfirmedBeforeARestart(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, OtherLifetime} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newHarness(t, 0, 2)
			h.pollAll(2)
			h.advance(time.Second)
			h.pollAll(2)
			runner, stop := h.startUnanswered()
			h.restart(runner)
			again := h.stop()
			h.table.ApplyStop(stop, outcome, h.now)
			for range 14 {
				h.advance(500 * time.Millisecond)
				h.pollAll(2)
				assertStarts(t, h.starts(), 0)
			}
			h.table.ApplyStop(again, Succeeded, h.now)
			h.advance(700 * time.Millisecond)
			h.pollAll(2)
			assertStarts(t, h.starts(), 1)
		})
	}
}

// Guards against a task that is started again although it is done: the acknowledgement of ends
// of the former incarnation of a runner reached the next one, which dropped an end that the
// owner had not seen.
func TestEndsOfANewIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	assertAcked := func(want int64) {
		t.Helper()
		if acked := h.table.Acknowledgeable("r0", h.now); acked != want {
			t.Errorf("acknowledged up to %d, want %d", acked, want)
		}
	}
	for n := range int64(2) {
		h.add(fmt.Sprint(n), "urgent", oneCore(1))
		assertStarts(t, h.starts(), 1)
		h.finishOldest("r0")
		h.table.Saved(h.table.Unsaved(10))
		assertAcked(n + 1)
		h.poll("r0") // lists none, as the runner has received that
		assertAcked(0)
	}
}
