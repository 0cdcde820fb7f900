package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// labelled returns a step of one task that requires the label "b".
func labelled(milliCores int64) submitter.Step {
	step := oneCore(1)
	step.MilliCores, step.RequiredLabel = milliCores, "b"
	return step
}

// newAvoidanceHarness returns a harness with two runners, r0 with the label "b" and a second
// one. A task that has failed on r0 just now waits. If the second runner has the label
// "full", a task takes up all its room.
func newAvoidanceHarness(t *testing.T, step submitter.Step, second RunnerInfo) *harness {
	t.Helper()
	h := newHarness(t, 0, 0)
	second.ID = "r1"
	infos := []RunnerInfo{{ID: "r0", Service: "s", Labels: []string{"b"}, Capacity: testCapacity}, second}
	for i := range infos {
		infos[i].DataCentre, infos[i].Lifetime = "z", 1
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(2)
	if slices.Contains(second.Labels, "full") {
		other := oneCore(1)
		other.MilliCores, other.RequiredLabel = testCapacity.MilliCores, "full"
		h.add("other", "urgent", other)
		assertStarts(t, h.starts(), 1)
	}
	h.add("a", "urgent", step)
	first := h.starts()
	assertStarts(t, first, 1)
	if first[0].Runner != "r0" {
		t.Fatalf("started on %s, want r0", first[0].Runner)
	}
	h.reported["r0"] = nil
	h.poll("r0", End{Task: first[0].Task, Run: 1, Kind: Failure})
	return h
}

// assertRestartAfter checks that the waiting task starts once a time has passed, and not
// before.
func (h *harness) assertRestartAfter(wait time.Duration) {
	h.t.Helper()
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); waited < wait; waited += step {
		assertStarts(h.t, h.starts(), 0)
		h.advance(step)
		h.pollAll(2)
	}
	assertStarts(h.t, h.starts(), 1)
}

// Guards against a task that never starts again since it avoids the only runner that may
// run it. (review/2)
func TestFailedTaskStartsAgainOnTheOnlyRunnerThatMayRunIt(t *testing.T) {
	const size = 5000
	for _, c := range []struct {
		name   string
		second RunnerInfo
		after  time.Duration
	}{
		{"the other one lacks the label", RunnerInfo{Service: "s", Capacity: testCapacity}, 0},
		{"the other one is of another service", RunnerInfo{Service: "other", Labels: []string{"b"}, Capacity: testCapacity}, 0},
		{"the other one leaves", RunnerInfo{Service: "s", Labels: []string{"b"}, Capacity: testCapacity, Draining: true}, 0},
		{"the other one is too small", RunnerInfo{Service: "s", Labels: []string{"b"}, Capacity: submitter.Resources{MilliCores: size - 1, MemoryMB: 1000}}, 0},
		{"the other one is full", RunnerInfo{Service: "s", Labels: []string{"b", "full"}, Capacity: testCapacity}, avoidFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			newAvoidanceHarness(t, labelled(size), c.second).assertRestartAfter(c.after)
		})
	}
}
