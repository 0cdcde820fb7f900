package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestEndedSubmissionsExpire(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("a", "urgent", oneCore(1))
	orders := h.starts()
	assertStarts(t, orders, 1)
	h.reported["r0"] = nil
	h.poll("r0", End{Task: orders[0].Task, Run: 1, Kind: Done})
	h.advance(finalRetention + time.Second)
	if ids := h.table.Expired(10, h.now); len(ids) > 0 {
		t.Fatalf("%v expired before its end was durable", ids)
	}
	h.table.Saved(h.table.Unsaved(10))
	ids := h.table.Expired(10, h.now)
	if len(ids) != 1 {
		t.Fatalf("expired %v, want the one durable submission", ids)
	}
	if state, _ := h.table.State("a"); state != submitter.Complete {
		t.Errorf("state %s before the record is deleted", state)
	}
	h.table.Forget(ids)
	if _, known := h.table.State("a"); known || len(h.table.Expired(10, h.now)) > 0 {
		t.Error("the submission is still in the table")
	}
}

// Guards against lease ends that each poll of a silent runner moves further.
// Runners were lost with their data centre, and 90 long-running tasks did not run
// for 20 s, because each poll might have renewed their leases.
// (deploy/days/zones.toml of sdg-sched-grown, seed 636690713133)
func TestLeasesOfSilentRunnersAreNotRenewedForever(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	silent, other := h.addTask()
	for since := time.Duration(0); since < 7*time.Second; since += 500 * time.Millisecond {
		if since < 6*time.Second {
			assertStarts(t, h.starts(), 0)
		}
		h.table.LeaseUntil(silent, h.now) // a poll that is not answered
		h.advance(500 * time.Millisecond)
		h.poll(other)
	}
	assertStarts(t, h.starts(), 1)
}

// Guards against assuming that a draining runner has left because its registry entry
// is missing. The store lost writes of the runner and dropped its entry, while the
// runner answered every poll. (sdg-sched, mix, seed 1012598155289)
func TestDrainingRunnerWithoutRegistryEntry(t *testing.T) {
	newDrainedHarness := func(t *testing.T) (h *harness, leaving string) {
		t.Helper()
		h = newHarness(t, 0, 2)
		h.pollAll(2)
		h.add("a", "urgent", oneCore(1))
		orders := h.starts()
		assertStarts(t, orders, 1)
		leaving = orders[0].Runner
		var staying []RunnerInfo
		for _, info := range h.table.Runners() {
			if info.ID == leaving {
				info.Draining = true
				h.table.SetRunners([]RunnerInfo{info}, h.now)
			} else {
				staying = append(staying, info)
			}
		}
		h.table.SetRunners(staying, h.now)
		return h, leaving
	}
	t.Run("keeps running while it answers", func(t *testing.T) {
		h, leaving := newDrainedHarness(t)
		for range 10 {
			h.advance(time.Second)
			h.pollAll(2)
			assertStarts(t, h.starts(), 0)
		}
		h.table.PollFailed(leaving, ConnectionRefused, h.now)
		assertStarts(t, h.starts(), 1)
	})
	t.Run("has not left if it is only silent", func(t *testing.T) {
		h, leaving := newDrainedHarness(t)
		h.table.PollFailed(leaving, NoAnswer, h.now)
		assertStarts(t, h.starts(), 0)
	})
	for _, c := range []struct {
		name     string
		failures []PollFailure
		starts   int
	}{
		{"connection closed", []PollFailure{ConnectionClosed}, 0},
		{"no connection", []PollFailure{NotConnected}, 0},
		{"connection closed, no answer, no connection", []PollFailure{ConnectionClosed, NoAnswer, NotConnected}, 0},
		// A host that is gone refuses nothing: its runs waited for the ends of their leases.
		{"connection closed, then no connection", []PollFailure{ConnectionClosed, NotConnected}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, leaving := newDrainedHarness(t)
			for _, failure := range c.failures {
				h.table.PollFailed(leaving, failure, h.now)
			}
			assertStarts(t, h.starts(), c.starts)
		})
	}
	t.Run("has left if its address refused connections before", func(t *testing.T) {
		h := newHarness(t, 0, 2)
		h.pollAll(2)
		h.add("a", "urgent", oneCore(1))
		orders := h.starts()
		assertStarts(t, orders, 1)
		var staying []RunnerInfo
		for _, info := range h.table.Runners() {
			if info.ID != orders[0].Runner {
				staying = append(staying, info)
				continue
			}
			info.Draining = true
			h.table.SetRunners([]RunnerInfo{info}, h.now)
		}
		h.table.PollFailed(orders[0].Runner, ConnectionRefused, h.now)
		assertStarts(t, h.starts(), 0)
		h.table.SetRunners(staying, h.now)
		assertStarts(t, h.starts(), 1)
	})
}
