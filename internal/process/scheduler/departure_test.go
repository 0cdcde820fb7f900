package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against a new owner that waits for the leases of a runner which has left although
// the former owner, once it is reached again, knows that they have lapsed.
func TestTaskOfARunnerThatLeftAtAChangeOfOwner(t *testing.T) {
	t.Parallel()
	runDynasty(t, func(y *dynasty) {
		const suspension, calmAfter, restartBound = 5500 * time.Millisecond, 4 * time.Second, 3 * time.Second
		y.pool = newPool("r0")
		y.start(0)
		y.submitLongRunning("a")
		y.assertRunsOn("r0", time.Second)
		y.pool.drain("r0")
		time.Sleep(5 * time.Second)
		y.pool.leave("r0")
		y.pool.join("r1")
		y.cutOff.Store("host0:80") // as if it were suspended
		y.resign()
		y.start(1)
		time.Sleep(suspension)
		y.cutOff.Store("")
		y.assertRunsOn("r1", calmAfter+restartBound)
	})
}

// submitLongRunning stores a submission of one long-running task.
func (y *dynasty) submitLongRunning(id string) {
	y.t.Helper()
	sub := &submitter.Submission{
		ID: id, Queue: "q", AcceptedAt: time.Now(),
		Steps: []submitter.Step{{Count: 1, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 100}, LongRunning: true}},
	}
	value, err := sub.Encode()
	if err != nil {
		y.t.Fatal(err)
	}
	write := transactor.Write{Key: conductor.KeysOf(0).Submission(id), Value: value}
	if _, err := y.store.Commit(y.t.Context(), transactor.Transaction{Writes: []transactor.Write{write}}); err != nil {
		y.t.Fatal(err)
	}
	time.Sleep(5 * time.Second) // the owner's watch of submissions
}

// assertRunsOn waits for tasks to run on some runners, and on no others.
func (y *dynasty) assertRunsOn(runners string, within time.Duration) {
	y.t.Helper()
	var on string
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if on = strings.Join(y.pool.runsOn(), " "); on == runners {
			return
		}
	}
	y.t.Errorf("tasks run on %q after %s, want %s", on, within, runners)
}

// Guards against a new owner that waits for a runner which left as the former owner was
// killed, and starts nothing that it has taken over meanwhile.
func TestTasksAfterARunnerLeftAndTheOwnerWasKilled(t *testing.T) {
	t.Parallel()
	runDynasty(t, func(y *dynasty) {
		const presence, restartBound = 2 * time.Second, 3 * time.Second
		y.pool = newPool("r0")
		y.start(0)
		y.submitLongRunning("a")
		y.submitLongRunning("b")
		y.assertRunsOn("r0", time.Second)
		y.pool.join("r1")
		y.pool.drain("r0")
		time.Sleep(5 * time.Second)
		y.pool.leave("r0")
		y.cutOff.Store("host0:80") // for good
		y.daemons[0].elector.Close()
		time.Sleep(presence)
		y.store.Remove("kumquat/owner/0/presence")
		y.start(1)
		y.pool.join("r2")
		y.assertRunsOn("r1 r2", restartBound)
	})
}

// Guards against an owner that succeeds itself and waits for the leases of a runner that left
// meanwhile, although it knows when they lapse.
func TestTaskOfARunnerThatLeftAsTheOwnerSucceededItself(t *testing.T) {
	t.Parallel()
	runDynasty(t, func(y *dynasty) {
		const leases, restartBound = 5 * time.Second, 3 * time.Second
		y.pool = newPool("r0", "r1")
		y.start(0)
		y.submitLongRunning("a")
		y.submitLongRunning("b")
		y.assertRunsOn("r0 r1", time.Second)
		y.pool.fence()
		y.pool.leave("r0")
		time.Sleep(leases)
		y.store.Remove("kumquat/owner/0/presence")
		y.pool.join("r2")
		y.assertRunsOn("r1 r2", restartBound)
	})
}

// Guards against a new owner that waits for as long as one that is gone for good may have
// acted, although it has a quorum of runners, and makes its successors wait for both.
func TestTaskOfALostRunnerAfterTheOwnerWasLost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		runners, lost  []string
		runsOn, nextOn string // the runner of the task before and after the loss
	}{
		{"a minority is lost", []string{"s0", "s1", "s2"}, []string{"s0"}, "s0", "s1"},
		{"a majority is lost", []string{"s0", "s1", "s2", "s3", "s4"}, []string{"s0", "s1", "s2"}, "s0", "s3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runDynasty(t, func(y *dynasty) {
				const presence = 2 * time.Second
				y.pool = newPool(c.runners...)
				y.start(0)
				y.submitLongRunning("a")
				y.assertRunsOn(c.runsOn, time.Second)
				for _, id := range c.lost {
					y.pool.leave(id)
				}
				y.cutOff.Store("host0:80") // for good
				y.daemons[0].elector.Close()
				time.Sleep(presence)
				y.store.Remove("kumquat/owner/0/presence")
				y.assertSettled(y.start(1), 0)
				y.assertRunsOn(c.nextOn, poolLimits.MaxLease+poolLimits.MaxLease/10)
			})
		})
	}
}

// Guards against a new owner that has a quorum of runners and still waits for as long as
// those before the former one may have acted, since none of them has settled.
func TestTaskOfALostRunnerAfterOwnersWereLostInARow(t *testing.T) {
	t.Parallel()
	runDynasty(t, func(y *dynasty) {
		y.pool = newPool("s0", "s1", "s2")
		y.start(0)
		y.submitLongRunning("a")
		y.assertRunsOn("s0", time.Second)
		y.pool.leave("s0")
		y.cutOff.Store("host0:80") // for good
		y.lose()
		y.start(1)
		y.lose()
		y.assertSettled(y.start(2), 0)
		y.assertRunsOn("s1", poolLimits.MaxLease+poolLimits.MaxLease/10)
	})
}

// lose ends the newest daemon without a handover, and removes its presence key.
func (y *dynasty) lose() {
	y.daemons[len(y.daemons)-1].elector.Close()
	time.Sleep(2 * time.Second)
	y.store.Remove("kumquat/owner/0/presence")
}
