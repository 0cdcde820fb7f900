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
	silent, other := b.addTask()
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

// Seen on sdg-sched, mix with seed 1012598155289: the store lost what a draining
// runner wrote and dropped its entry, while it answered every look.
func TestDrainingRunnerWithoutAnEntry(t *testing.T) {
	drained := func(t *testing.T) (b *bench, leaving string) {
		t.Helper()
		b = newBench(t, 0, 2)
		b.lookAll(2)
		b.add("a", "urgent", oneCore(1))
		orders := b.starts()
		assertStarts(t, orders, 1)
		leaving = orders[0].Runner
		var staying []RunnerInfo
		for _, info := range b.table.Runners() {
			if info.ID == leaving {
				info.Draining = true
				b.table.SetRunners([]RunnerInfo{info}, b.now)
			} else {
				staying = append(staying, info)
			}
		}
		b.table.SetRunners(staying, b.now)
		return b, leaving
	}
	t.Run("runs on as long as it answers", func(t *testing.T) {
		b, leaving := drained(t)
		for range 10 {
			b.pass(time.Second)
			b.lookAll(2)
			assertStarts(t, b.starts(), 0)
		}
		b.table.PollFailed(leaving, true, b.now)
		assertStarts(t, b.starts(), 1)
	})
	t.Run("has not left because it is silent", func(t *testing.T) {
		b, leaving := drained(t)
		b.table.PollFailed(leaving, false, b.now)
		assertStarts(t, b.starts(), 0)
	})
	t.Run("has left if it had closed its connection before", func(t *testing.T) {
		b := newBench(t, 0, 2)
		b.lookAll(2)
		b.add("a", "urgent", oneCore(1))
		orders := b.starts()
		assertStarts(t, orders, 1)
		var staying []RunnerInfo
		for _, info := range b.table.Runners() {
			if info.ID != orders[0].Runner {
				staying = append(staying, info)
				continue
			}
			info.Draining = true
			b.table.SetRunners([]RunnerInfo{info}, b.now)
		}
		b.table.PollFailed(orders[0].Runner, true, b.now)
		assertStarts(t, b.starts(), 0)
		b.table.SetRunners(staying, b.now)
		assertStarts(t, b.starts(), 1)
	})
}
