package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestEndedSubmissionsExpire(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	assertStarts(t, orders, 1)
	b.lists["r0"] = nil
	b.look("r0", End{Task: orders[0].Task, Run: 1, How: Done})
	b.pass(finalRetention + time.Second)
	if ids := b.table.Expired(10, b.now); len(ids) > 0 {
		t.Fatalf("%v expired before its end was durable", ids)
	}
	b.table.Saved(b.table.Unsaved(10))
	ids := b.table.Expired(10, b.now)
	if len(ids) != 1 {
		t.Fatalf("expired %v", ids)
	}
	if state, _ := b.table.State("a"); state != submitter.Complete {
		t.Errorf("state %s before the record is deleted", state)
	}
	b.table.Forget(ids)
	if _, known := b.table.State("a"); known || len(b.table.Expired(10, b.now)) > 0 {
		t.Error("still known")
	}
}

// Seen on deploy/days/zones.toml of sdg-sched-grown, varied with seed
// 636690713133: runners were lost with their data centre, and 90 lasting tasks
// did not run for 20 s, since each look at a silent runner may renew its leases.
func TestSilentRunnersGetNoFurtherTime(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	assertStarts(t, orders, 1)
	silent, other := orders[0].Runner, "r0"
	if silent == other {
		other = "r1"
	}
	for since := time.Duration(0); since < 7*time.Second; since += 500 * time.Millisecond {
		if since < 6*time.Second {
			assertStarts(t, b.starts(), 0)
		}
		b.table.LeaseUntil(silent, b.now) // a look that is not answered
		b.pass(500 * time.Millisecond)
		b.look(other)
	}
	assertStarts(t, b.starts(), 1)
}
