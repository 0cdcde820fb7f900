package scheduler

import (
	"testing"
	"time"
)

// assertRunsAgain restarts runner r0 and checks that its task runs there again. It returns the
// fencing token that the runner has seen, which is above the given one and a revision of the
// store.
func (y *dynasty) assertRunsAgain(above int64) (token int64) {
	y.t.Helper()
	const bound = 3 * time.Second
	y.pool.restart("r0")
	y.assertRunsOn("r0", bound)
	token, refused := y.pool.seen("r0")
	_, revision, err := y.store.List(y.t.Context(), "")
	if err != nil {
		y.t.Fatal(err)
	}
	if token <= above || token > revision {
		y.t.Errorf("fencing token %d, want one above %d and at most revision %d", token, above, revision)
	}
	if refused > 0 {
		y.t.Errorf("%d calls were refused, want none", refused)
	}
	return token
}

// Guards against a restarted runner that is not called, and against an owner whose calls are
// refused since a former one has sent higher fencing tokens to restarted runners.
func TestTasksOfARunnerThatIsRestartedUnderSeveralOwners(t *testing.T) {
	t.Parallel()
	runDynasty(t, func(y *dynasty) {
		y.pool = newPool("r0")
		var token int64
		for host := range 2 {
			if host > 0 {
				y.resign()
			}
			owner := y.start(host)
			if owner.Fence <= token {
				y.t.Errorf("fencing token %d of the owner, want one above %d", owner.Fence, token)
			}
			if host == 0 {
				y.submitLongRunning("a")
			}
			y.assertRunsOn("r0", time.Second)
			token = owner.Fence
			for range 3 {
				time.Sleep(5 * time.Second)
				token = y.assertRunsAgain(token)
			}
			if now := y.daemons[host].elector.Current(0); now.Fence != owner.Fence {
				y.t.Errorf("owner %+v after the restarts, want still %+v", now, owner)
			}
		}
	})
}
