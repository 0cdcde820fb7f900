package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newPackedHarness returns a harness with three runners of eight processors each. A task of
// two runs on one of them, one of three on another, and one of seven on the last.
func newPackedHarness(t *testing.T, change func(step *submitter.Step)) (h *harness, on map[string]Order) {
	t.Helper()
	h = newHarness(t, 0, 3)
	infos := h.table.Runners()
	for i := range infos {
		infos[i].Labels = []string{"at-" + infos[i].ID}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(3)
	on = make(map[string]Order)
	for runner, milliCores := range map[string]int64{"r0": 2000, "r1": 3000, "r2": 7000} {
		step := lasting(1, milliCores)
		step.Affinity = "at-" + runner
		change(&step)
		h.add(runner, "urgent", step)
		starts := h.starts()
		assertStarts(t, starts, 1)
		on[runner] = starts[0]
	}
	h.pass(settledAfter)
	return h, on
}

// newFragmentedHarness returns a packed harness in which the task of seven processors has
// lost its runner.
func newFragmentedHarness(t *testing.T, change func(step *submitter.Step)) *harness {
	t.Helper()
	h, on := newPackedHarness(t, change)
	h.drop(on["r2"])
	h.poll("r2", End{Task: on["r2"].Task, Run: on["r2"].Run, Kind: Lapsed})
	infos := h.table.Runners()
	for i := range infos {
		infos[i].Draining = infos[i].ID == "r2"
	}
	h.table.SetRunners(infos, h.now)
	return h
}

// pass lets time pass while all runners answer and all runs are at work.
func (h *harness) pass(d time.Duration) {
	h.work()
	for until := h.now.Add(d); h.now.Before(until); h.advance(200 * time.Millisecond) {
		h.pollAll(3)
	}
}

// Guards against a long-running task without a run where two runners together have room for
// it twice over, but neither of them has enough.
func TestRoomIsMadeForInterruptedTasks(t *testing.T) {
	assertRuns := func(t *testing.T, h *harness, want bool) {
		t.Helper()
		if ran := h.startsWithin(3 * time.Second)["r2"] > 0; ran != want {
			t.Errorf("the interrupted task runs again: %t, want %t", ran, want)
		}
	}
	t.Run("by moving the smallest task", func(t *testing.T) {
		h := newFragmentedHarness(t, func(*submitter.Step) {})
		assertRuns(t, h, true)
		for _, id := range []string{"r0", "r1"} {
			if k := h.table.subs[id].occs[0].steps[0].tasks[0]; len(k.runs) != 1 || k.runs[0].runner.info.ID != "r1" {
				t.Errorf("task of %s has runs %v, want one on r1", id, k.runs)
			}
		}
	})
	t.Run("behind tasks for which none can be made", func(t *testing.T) {
		h := newFragmentedHarness(t, func(*submitter.Step) {})
		for n := range 2 * consolidationsPerTick {
			id := fmt.Sprint("huge", n)
			h.add(id, "urgent", lasting(1, 9000))
			st := h.table.subs[id].occs[0].steps[0]
			st.tasks[0].endedAt, st.waitingSince = h.now, h.now.Add(-time.Hour)
		}
		assertRuns(t, h, true)
	})
	t.Run("not if its step limits what may be unavailable", func(t *testing.T) {
		most := 0
		assertRuns(t, newFragmentedHarness(t, func(step *submitter.Step) { step.MaxUnavailable = &most }), false)
	})
	t.Run("not by a task that has hardly run", func(t *testing.T) {
		h := newFragmentedHarness(t, func(*submitter.Step) {})
		for _, r := range h.table.runners {
			for _, x := range r.runs {
				x.startedAt = h.now.Add(time.Hour)
			}
		}
		assertRuns(t, h, false)
	})
}

// Guards against a long-running task that has run and gets no room: all runs of its step were
// lost together with the owner, and the next owner took the task for one that has never run.
func TestRoomIsMadeForTasksLostWithTheirOwner(t *testing.T) {
	assertStartsAgain := func(t *testing.T, h *harness) {
		t.Helper()
		if h.startsWithin(interruptionBound)["r2"] == 0 {
			t.Errorf("the task has not started again within %v", interruptionBound)
		}
	}
	t.Run("after one change of owner", func(t *testing.T) {
		former, _ := newPackedHarness(t, func(*submitter.Step) {})
		assertStartsAgain(t, former.succeed("r2"))
	})
	t.Run("after two changes of owner", func(t *testing.T) {
		former, _ := newPackedHarness(t, func(*submitter.Step) {})
		assertStartsAgain(t, former.succeed("r2").succeed())
	})
}
