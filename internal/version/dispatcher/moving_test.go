package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newMovingHarness returns a harness with two runners and a step of long-running tasks on
// one of them, which drains then.
func newMovingHarness(t *testing.T, step submitter.Step) (h *harness, other string) {
	t.Helper()
	h = newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", step)
	orders := h.starts()
	assertStarts(t, orders, step.Count)
	leaving := orders[0].Runner
	other = "r0"
	if leaving == "r0" {
		other = "r1"
	}
	h.pollAll(2)
	h.drain(leaving)
	return h, other
}

// stops advances the time by a tick and returns the number of stops that are ordered. The
// stopped runs end.
func (h *harness) stops() (n int) {
	h.advance(200 * time.Millisecond)
	for _, o := range h.table.Orders() {
		if o.Kind != Stop {
			continue
		}
		n++
		h.drop(o)
		h.poll(o.Runner, End{Task: o.Task, Run: o.Run, Kind: Stopped})
	}
	return n
}

func assertStops(t *testing.T, h *harness, want int) {
	t.Helper()
	if got := h.stops(); got != want {
		t.Errorf("%d stops, want %d", got, want)
	}
}

// Guards against long-running tasks that stay on a runner which has announced that it leaves
// until they are interrupted.
func TestLongRunningTasksMoveFromLeavingRunners(t *testing.T) {
	t.Run("one of a step after the other", func(t *testing.T) {
		h, other := newMovingHarness(t, lasting(2, 1000))
		for range 2 {
			assertStops(t, h, 1)
			starts := h.starts()
			assertStarts(t, starts, 1)
			if starts[0].Runner != other {
				t.Errorf("started on %s, want %s", starts[0].Runner, other)
			}
			h.pollAll(2)
		}
		assertStops(t, h, 0)
	})
	t.Run("only to a runner with room", func(t *testing.T) {
		h, other := newMovingHarness(t, lasting(1, 5000))
		h.add("short", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 5000}})
		assertStarts(t, h.starts(), 1)
		assertStops(t, h, 0)
		h.finishOldest(other)
		assertStops(t, h, 1)
	})
	t.Run("to room that nothing else takes meanwhile", func(t *testing.T) {
		h, _ := newMovingHarness(t, lasting(1, 5000))
		h.advance(200 * time.Millisecond)
		h.add("short", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 5000}})
		assertStarts(t, h.starts(), 0)
		h.advance(moveTimeout + time.Millisecond)
		h.pollAll(2)
		assertStarts(t, h.starts(), 1)
	})
	t.Run("best-effort and short tasks stay", func(t *testing.T) {
		h, _ := newMovingHarness(t, oneCore(2))
		assertStops(t, h, 0)
	})
}

// Guards against long-running tasks that are not moved because an older one, which needs a
// label or a permit, may run on no other runner.
func TestTaskThatNoRunnerTakesKeepsNoOtherFromMoving(t *testing.T) {
	h := newHarness(t, 0, 2)
	infos := h.table.Runners()
	for i := range infos {
		if infos[i].ID == "r0" {
			infos[i].Labels = []string{"rare"}
		}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(2)
	labelled := lasting(1, 1000)
	labelled.RequiredLabel = "rare"
	h.add("labelled", "urgent", labelled)
	assertStarts(t, h.starts(), 1)
	h.now = h.now.Add(time.Second)
	h.add("other", "urgent", lasting(1, 6000))
	if starts := h.starts(); len(starts) != 1 || starts[0].Runner != "r0" {
		t.Fatalf("starts %+v, want one on r0", starts)
	}
	h.pollAll(2)
	h.drain("r0")
	assertStops(t, h, 1)
	starts := h.starts()
	assertStarts(t, starts, 1)
	if starts[0].Task.Submission != "other" || starts[0].Runner != "r1" {
		t.Errorf("started %s on %s, want other on r1", starts[0].Task, starts[0].Runner)
	}
}

// Guards against a large task that gets no room reserved for as long as others move.
func TestMovesLeaveTheReservationOfALargeTask(t *testing.T) {
	h := newHarness(t, 0, 3)
	h.pollAll(3)
	on := make(map[string]Order)
	for _, task := range []struct {
		id         string
		milliCores int64
	}{{"mover", 2000}, {"beside", 5000}, {"other", 6000}, {"large", 6000}} {
		h.add(task.id, "urgent", lasting(1, task.milliCores))
		starts := h.starts()
		assertStarts(t, starts, 1)
		on[task.id] = starts[0]
	}
	if on["beside"].Runner != on["mover"].Runner {
		t.Fatalf("the first two tasks run on %s and %s, want one runner", on["mover"].Runner, on["beside"].Runner)
	}
	h.pollAll(3)
	h.drop(on["large"])
	h.poll(on["large"].Runner, End{Task: on["large"].Task, Run: on["large"].Run, Kind: Failure})
	short := oneCore(1)
	short.MilliCores = 8000
	h.add("short", "urgent", short)
	h.table.subs["large"].occs[0].steps[0].blockedAt = h.now // the short task is tried first
	assertStarts(t, h.starts(), 1)
	for range 2 {
		h.advance(reserveAfter)
		h.pollAll(3)
	}
	h.drain(on["mover"].Runner)
	for range 2 {
		h.advance(200 * time.Millisecond)
	}
	if len(h.table.moves) != 1 {
		t.Fatalf("%d moves under way, want one", len(h.table.moves))
	}
	large := h.table.subs["large"].occs[0].steps[0]
	if h.table.reservedFor(large, func(*runner) bool { return true }) == nil {
		t.Error("no room is reserved for the large task")
	}
}

// Guards against two tasks of a step that move at a time: the start of the first one was not
// confirmed yet.
func TestNextTaskMovesOnceTheLastOneRuns(t *testing.T) {
	h, _ := newMovingHarness(t, lasting(2, 1000))
	assertStops(t, h, 1)
	h.table.Schedule(h.now)
	if starts := kinds(h.table.Orders())[Start]; starts != 1 {
		t.Fatalf("%d starts, want one", starts)
	}
	h.pollAll(2)
	assertStops(t, h, 0)
}
