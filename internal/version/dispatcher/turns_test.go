package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against submissions of which nothing ever runs while more work is due than fits, as
// smaller or older ones that are late as well take all room.
func TestLateSubmissionsTakeTurns(t *testing.T) {
	const late, expired = 3500 * time.Millisecond, 20 * time.Second
	for _, c := range []struct {
		name, queue string
		step        func(count int) submitter.Step
		age         time.Duration
	}{
		{"late tasks that reserve processors", "urgent", oneCore, late},
		{"late best-effort tasks", "night", bestEffortTasks, late},
		{"expired tasks that reserve processors", "urgent", oneCore, expired},
		{"expired best-effort tasks", "night", bestEffortTasks, expired},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, 1)
			for i, count := range []int{20, 30, 40} {
				h.add(fmt.Sprintf("s%d", i), c.queue, c.step(count))
			}
			h.advance(c.age)
			h.poll("r0")
			orders := h.starts()
			assertEachRuns(t, orders, "s0", "s1", "s2")
			finish := func(o Order) {
				h.drop(o)
				h.poll("r0", End{Task: o.Task, Run: o.Run, Kind: Done})
				h.advance(blockedPause)
			}
			t.Run("with an expired one that is known later", func(t *testing.T) {
				h.table.Add(&submitter.Submission{
					ID: "known later", Queue: c.queue, Steps: []submitter.Step{c.step(50)}, AcceptedAt: h.now.Add(-expired),
				}, nil, h.now)
				finish(orders[0])
				assertFirst(t, h.starts(), "known later")
			})
			t.Run("and the rest starts in order", func(t *testing.T) {
				finish(orders[3])
				assertFirst(t, h.starts(), "s0")
			})
		})
	}
	t.Run("after late submissions of a more urgent queue", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		h.add("urgent", "urgent", oneCore(20))
		h.add("night", "night", oneCore(1))
		h.advance(late)
		h.poll("r0")
		for _, o := range h.starts() {
			if o.Task.Submission != "urgent" {
				t.Errorf("started %s before the urgent submission", o.Task)
			}
		}
	})
}

// bestEffortTasks returns a step of best-effort tasks.
func bestEffortTasks(count int) submitter.Step { return bestEffort("batch", count) }

// assertEachRuns checks that each of some submissions has a start.
func assertEachRuns(t *testing.T, orders []Order, ids ...string) {
	t.Helper()
	counts := make(map[string]int)
	for _, o := range orders {
		counts[o.Task.Submission]++
	}
	for _, id := range ids {
		if counts[id] == 0 {
			t.Errorf("starts %v, want some of %s", counts, id)
		}
	}
}

// Guards against a large best-effort task that never runs, as smaller ones take each gap that
// is too small for it at full speed.
func TestIdleTaskStartsInAGapThatSmallOnesWouldTake(t *testing.T) {
	h, running := newFilledHarness(t)
	large := bestEffort("batch", 1)
	large.MilliCores = 4000
	h.add("large", "night", large)
	h.advance(20 * time.Second)
	h.reportTail(8)
	for i := range 20 {
		if len(running) == 0 {
			t.Fatalf("nothing runs after %d ends", i)
		}
		h.drop(running[0])
		h.poll("r0", End{Task: running[0].Task, Run: running[0].Run, Kind: Done})
		running = running[1:]
		h.advance(blockedPause)
		h.reportTail(8)
		h.table.Schedule(h.now)
		orders := h.table.Orders()
		for _, o := range h.execute(orders) {
			if o.Task.Submission != "large" {
				running = append(running, o)
				continue
			}
			x := h.table.runners["r0"].runs[runKey{o.Task, o.Run}]
			if x.pace == fullPace {
				t.Error("the large task runs at full pace beside the others, want it slower")
			}
			return
		}
	}
	t.Error("the large task has not started after 20 ends")
}

// Guards against late submissions that never run while more work keeps arriving than fits,
// and against such ones that take most of the room of work that is on time.
func TestLateSubmissionsRunWhileWorkKeepsArriving(t *testing.T) {
	for _, c := range []struct {
		name string
		step func(count int) submitter.Step
	}{
		{"best-effort tasks", bestEffortTasks},
		{"tasks that reserve processors", oneCore},
	} {
		t.Run(c.name, func(t *testing.T) { assertLateSubmissionsRun(t, c.step) })
	}
}

// assertLateSubmissionsRun checks that late submissions of a step run while more new ones arrive
// than fit, in at most a quarter of the room and for at most a quarter of the starts.
func assertLateSubmissionsRun(t *testing.T, step func(count int) submitter.Step) {
	t.Helper()
	h := newHarness(t, 0, 1)
	h.poll("r0")
	const late = 12
	for i := range late {
		h.add(fmt.Sprint("late", i), "night", step(2))
	}
	h.advance(10 * time.Second)
	h.add("first", "night", step(30))
	h.table.placementDue = true
	addedAt := make(map[string]time.Time)
	hasStarted := make(map[string]bool)
	starts, onTime, lacks := 0, 0, false
	var running []Order
	for round := range 120 {
		id := fmt.Sprint("new", round)
		addedAt[id] = h.now
		h.add(id, "night", step(5))
		for range min(4, len(running)) {
			h.drop(running[0])
			h.poll("r0", End{Task: running[0].Task, Run: running[0].Run, Kind: Done})
			running = running[1:]
		}
		h.advance(250 * time.Millisecond)
		h.poll("r0")
		orders := h.starts()
		isLacking := h.table.lackedAt.Equal(h.now)
		if idle := h.table.owedTurns; isLacking && round > 8 && h.table.turnRuns > 1+idle/3 {
			t.Errorf("round %d: %d run in their turn, want at most a quarter of them and %d that are idle", round, h.table.turnRuns, idle)
		}
		r := h.table.runners["r0"]
		if isLacking && 4*r.background.milliCores > r.bestEffort.milliCores {
			t.Errorf("round %d: %d millicores are used in the background, want at most a quarter of %d", round, r.background.milliCores, r.bestEffort.milliCores)
		}
		lacks = lacks || isLacking
		for _, o := range orders {
			running = append(running, o)
			hasStarted[o.Task.Submission] = true
			starts++
			if h.now.Sub(addedAt[o.Task.Submission]) <= 2*time.Second {
				onTime++
			}
		}
	}
	for i := range late {
		if id := fmt.Sprint("late", i); !hasStarted[id] {
			t.Errorf("%s has not started within 30 s", id)
		}
	}
	if !lacks {
		t.Error("work that is on time never lacks room, want it to")
	}
	if onTime < starts*3/4 {
		t.Errorf("%d of %d starts are of work that is on time, want at least three quarters", onTime, starts)
	}
}

// Guards against turns that take the room of new work, other than a quarter of what is idle.
func TestTurnsAreLimitedWhileNewWorkLacksRoom(t *testing.T) {
	const late = 12
	h := newHarness(t, 0, 1)
	for i := range late {
		h.add(fmt.Sprint("late", i), "night", oneCore(2))
	}
	h.advance(20 * time.Second)
	h.poll("r0")
	h.table.lackedAt = h.now
	h.starts()
	if n := h.table.turnRuns; n == 0 || n > late/4 {
		t.Errorf("%d occurrences run in their turn, want some and at most %d", n, late/4)
	}
}

// Guards against a turn that is counted as taken by a start that the runner refused.
func TestRefusedStartIsNoTurn(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "night", bestEffort("batch", 1))
	addedAt := h.now
	h.advance(20 * time.Second)
	h.pollAll(2)
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	assertStarts(t, orders, 1)
	h.table.ApplyStart(orders[0], NoRoom, 1, h.now)
	occ := h.table.subs["a"].occs[0]
	if occ.runs != 0 || h.table.turnRuns != 0 || len(occ.background) != 0 || h.table.queuedBackground != 0 || !occ.idleSince().Equal(addedAt) {
		t.Errorf("%d runs, %d in turn, idle since %s, want none and since it was added", occ.runs, h.table.turnRuns, occ.idleSince())
	}
}
