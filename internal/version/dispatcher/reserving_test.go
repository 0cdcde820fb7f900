package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Load: a long-running task of several cores that fails while many small tasks wait for
// room. (trouble-2 of ptkp-sched-large with parts of 128 runners)
func TestLongRunningTaskIsNotStarvedBySmallTasks(t *testing.T) {
	const runners = 2
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	large := submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 6000}, LongRunning: true}
	h.add("large", "urgent", large)
	first := h.starts()
	assertStarts(t, first, 1)
	h.fillWithSmallTasks()
	h.loseRoom(first[0], Failure, "large")
	if !h.startsBesideSmallTasks("large", runners) {
		t.Error("the long-running task has not started within 3 s, want it to be started before the small ones that wait")
	}
}

// fillWithSmallTasks submits more small tasks than there is room for.
func (h *harness) fillWithSmallTasks() {
	for n := range 300 {
		h.add(fmt.Sprintf("small%03d", n), "urgent", oneCore(1))
	}
	h.starts()
}

// loseRoom ends a run, and lets small tasks take the room that it leaves: they are tried
// again before the waiting submissions.
func (h *harness) loseRoom(o Order, kind EndKind, waiting ...string) {
	h.drop(o)
	h.poll(o.Runner, End{Task: o.Task, Run: o.Run, Kind: kind})
	h.advance(2 * blockedPause)
	for _, id := range waiting {
		h.table.subs[id].occs[0].steps[0].blockedAt = h.now
	}
	h.starts()
}

// startsBesideSmallTasks reports whether a task of a submission starts within 3 s, in
// which each runner finishes ten tasks a second.
func (h *harness) startsBesideSmallTasks(submission string, runners int) bool {
	for range 30 {
		h.advance(100 * time.Millisecond)
		for i := range runners {
			h.finishOldest(fmt.Sprintf("r%d", i))
		}
		for _, o := range h.starts() {
			if o.Task.Submission == submission {
				return true
			}
		}
	}
	return false
}

// drop removes a run from those that its runner reports.
func (h *harness) drop(o Order) {
	rows := h.reported[o.Runner]
	for i, row := range rows {
		if row.Task == o.Task && row.Run == o.Run {
			h.reported[o.Runner] = append(rows[:i:i], rows[i+1:]...)
			return
		}
	}
}

// finishOldest ends the run that a runner has had longest, and polls the runner.
func (h *harness) finishOldest(runner string) {
	rows := h.reported[runner]
	if len(rows) == 0 {
		h.poll(runner)
		return
	}
	h.reported[runner] = rows[1:]
	h.poll(runner, End{Task: rows[0].Task, Run: rows[0].Run, Kind: Done})
}

// Load: many small urgent tasks beside long-running ones, and large urgent tasks among
// them. (scale-1 of ptkp-sched-large: print-clean)
func TestSmallTasksLeaveRoomForLargeOnes(t *testing.T) {
	const runners = 4
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	for n := range 8 {
		h.add(fmt.Sprintf("small%d", n), "urgent", oneCore(1))
		assertStarts(t, h.starts(), 1)
	}
	h.add("large", "urgent", submitter.Step{Count: runners - 1, Resources: submitter.Resources{MilliCores: 8000}})
	assertStarts(t, h.starts(), runners-1)
}

// Guards against a task that does not start on the runner that is reserved for it, because
// a task of the same size, for which that runner is closed, was tried first.
func TestReservedRunnerIsUsed(t *testing.T) {
	const runners = 2
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	large := submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 6000}, LongRunning: true}
	lost := make(map[string]Order)
	for _, id := range []string{"first", "second"} {
		h.add(id, "urgent", large)
		h.now = h.now.Add(time.Second)
		lost[id] = h.starts()[0]
	}
	h.fillWithSmallTasks()
	for _, id := range []string{"second", "first"} { // the second one waits for longer
		h.loseRoom(lost[id], Stopped, "first", "second")
	}
	if !h.startsBesideSmallTasks("second", runners) {
		t.Error("the task that has waited longest has not started within 3 s")
	}
}

// Guards against room that stays empty on a runner while long-running tasks wait for which it
// is reserved: none of them started before there was room for all.
func TestReservationsOfARunnerDoNotWaitForEachOther(t *testing.T) {
	const runners = 3
	h := newHarness(t, 0, runners)
	infos := h.table.Runners()
	for i := range infos {
		if infos[i].ID == "r0" {
			infos[i].Labels = []string{"fast"}
		}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(runners)
	lost := make(map[string]Order)
	for id, milliCores := range map[string]int64{"smaller": 3000, "larger": 4000} {
		step := lasting(1, milliCores)
		step.RequiredLabel = "fast"
		h.add(id, "urgent", step)
		lost[id] = h.starts()[0]
	}
	h.fillWithSmallTasks()
	for _, o := range lost {
		h.loseRoom(o, Stopped, "smaller", "larger")
	}
	h.advance(reserveAfter)
	h.pollAll(runners)
	assertEndsUntilStart := func(want int) {
		t.Helper()
		for ends := 1; ends <= 8; ends++ {
			h.finishOldest("r0")
			h.advance(blockedPause)
			for _, o := range h.starts() {
				if lost[o.Task.Submission].Task == o.Task {
					if ends > want {
						t.Errorf("%s starts after %d small tasks have ended, want at most %d", o.Task.Submission, ends, want)
					}
					return
				}
			}
		}
		t.Error("no long-running task has started")
	}
	assertEndsUntilStart(4)
	assertEndsUntilStart(4)
}

// Guards against tasks that have hardly waited and take the room that a long-running task
// leaves, since those that are more urgent have found none just before.
func TestInterruptedTasksTakeTheRoomOfOthers(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	runs := make(map[string]Order)
	for _, id := range []string{"lost", "cancelled"} {
		h.add(id, "urgent", lasting(1, 4000))
		runs[id] = h.starts()[0]
	}
	h.fillWithSmallTasks()
	h.loseRoom(runs["lost"], Stopped, "lost")
	h.advance(2 * blockedPause)
	assertStarts(t, h.starts(), 0)
	h.add("new", "urgent", oneCore(1))
	h.table.Cancel("cancelled", h.now)
	h.drop(runs["cancelled"])
	h.poll("r0", End{Task: runs["cancelled"].Task, Run: runs["cancelled"].Run, Kind: Stopped})
	if starts := h.starts(); len(starts) != 1 || starts[0].Task != runs["lost"].Task {
		t.Errorf("starts %v, want one of the interrupted task", starts)
	}
}

// Guards against a task that was stopped in order to move, and whose room was taken meanwhile.
func TestReservedRoomIsLeftToTasksThatMove(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	for id, milliCores := range map[string]int64{"moved": 3000, "waits": 4000} {
		h.add(id, "urgent", lasting(1, milliCores))
		assertStarts(t, h.starts(), 1)
	}
	steps := make(map[string]*stepState)
	for _, id := range []string{"moved", "waits"} {
		steps[id] = h.table.subs[id].occs[0].steps[0]
	}
	to := h.table.runners["r0"]
	if to == steps["moved"].tasks[0].runs[0].runner {
		to = h.table.runners["r1"]
	}
	h.table.moves = append(h.table.moves, move{x: steps["moved"].tasks[0].runs[0], to: to, beganAt: h.now})
	for _, st := range steps {
		h.table.reserveOn(to, st)
	}
	for id, want := range map[string]int64{"moved": 8000, "waits": 5000} {
		k := &task{endedAt: h.now}
		if room := h.table.unreserved(to, steps[id], k); room.MilliCores != want {
			t.Errorf("room for %s: %d, want %d", id, room.MilliCores, want)
		}
	}
}
