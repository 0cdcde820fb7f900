package dispatcher

import (
	"testing"
	"time"
)

// newDrainingHarness returns a harness with a task on a draining runner, and the other
// runner.
func newDrainingHarness(t *testing.T) (h *harness, draining, other string) {
	t.Helper()
	h = newHarness(t, 0, 2)
	h.pollAll(2)
	draining, other = h.addTask()
	h.advance(testLimits.MaxLease - testLimits.LeaseDuration)
	h.drain(draining)
	h.pollAll(2)
	return h, draining, other
}

// unregister removes the registry entry of a runner.
func (h *harness) unregister(runner string) {
	var listed []RunnerInfo
	for _, info := range h.table.Runners() {
		if info.ID != runner {
			listed = append(listed, info)
		}
	}
	h.table.SetRunners(listed, h.now)
}

// assertStartsAfterLapse lets polls of a runner fail, and checks that its task is started
// elsewhere once its lease has lapsed, and not before.
func (h *harness) assertStartsAfterLapse(silent, other string) {
	h.t.Helper()
	answered := h.table.runners[silent].answeredAt
	for h.now.Sub(answered) < testLimits.LeaseDuration {
		h.table.LeaseUntil(silent, h.now) // a poll that is not answered
		h.table.PollFailed(silent, h.now)
		h.poll(other)
		assertStarts(h.t, h.starts(), 0)
		h.advance(100 * time.Millisecond)
	}
	h.advance(scaleDrift(testLimits.LeaseDuration) - testLimits.LeaseDuration + lapseMargin)
	h.poll(other)
	assertStarts(h.t, h.starts(), 1)
}

// Guards against a draining runner that is cut off and taken for one that has left: its task
// was started elsewhere while it was still running. (review/1)
func TestDrainingRunnerThatIsCutOffKeepsItsRuns(t *testing.T) {
	t.Run("after its registry entry is gone", func(t *testing.T) {
		h, draining, other := newDrainingHarness(t)
		h.unregister(draining)
		h.assertStartsAfterLapse(draining, other)
	})
	t.Run("before its registry entry is gone", func(t *testing.T) {
		h, draining, other := newDrainingHarness(t)
		h.table.PollFailed(draining, h.now)
		assertStarts(t, h.starts(), 0)
		h.unregister(draining)
		h.assertStartsAfterLapse(draining, other)
	})
}

// Guards against assuming that a draining runner has left because its registry entry
// is missing. The store lost writes of the runner and dropped its entry, while the
// runner answered every poll. (sdg-sched, mix, seed 1012598155289)
func TestDrainingRunnerWithoutRegistryEntry(t *testing.T) {
	h, draining, other := newDrainingHarness(t)
	h.unregister(draining)
	for range 10 {
		h.advance(time.Second)
		h.pollAll(2)
		assertStarts(t, h.starts(), 0)
	}
	h.assertStartsAfterLapse(draining, other)
}

// Guards against a new owner that takes a draining runner which refuses connections for one
// that has left, although the former owner may have renewed its leases.
func TestNewOwnerWaitsForLeasesOfLeavingRunners(t *testing.T) {
	h, _ := newTakeoverHarness(t, 1)
	h.table.ExpectRunners([]RunnerInfo{{ID: "leaving", Service: "s", Draining: true}})
	h.table.MarkSettled([]string{"r0", "leaving"}, h.now)
	h.table.PollFailed("leaving", h.now)
	assertStartsAfterLeases(t, h)
}
