package scheduler

import (
	"slices"
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

// assertRunsOn waits for tasks to run on a runner, and on no other.
func (y *dynasty) assertRunsOn(runner string, within time.Duration) {
	y.t.Helper()
	var on []string
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if on = y.pool.runsOn(); slices.Equal(on, []string{runner}) {
			return
		}
	}
	y.t.Errorf("tasks run on %v after %s, want %s", on, within, runner)
}
