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
