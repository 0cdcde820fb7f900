package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/hostlist"
)

// leaveGrace is the time within which a leaving runner gets its last request,
// counted from when the list of hosts shows that it leaves.
const leaveGrace = 3 * time.Second

// leavingRunner is the runner that leaves.
const leavingRunner = "atl-a-runner-2"

// requestsSeen returns the number of requests that the leaving runner has received.
func requestsSeen(t *testing.T, cluster *harness.Cluster) int64 {
	t.Helper()
	for _, counts := range cluster.RunnerCounts() {
		if counts.Runner == leavingRunner {
			return counts.Requests
		}
	}
	t.Fatalf("no runner %s", leavingRunner)
	return 0
}

// TestRunnerLeaves checks that a runner marked as leaving gets no request after the
// grace time though the list of hosts lags, and gets requests again once it is live.
func TestRunnerLeaves(t *testing.T) {
	const lag = time.Second
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	cluster.SetListFaults(hostlist.Faults{LagMillis: lag.Milliseconds()})
	awaitAnswers(t, cluster)
	load := harness.StartLoad(t, 400, callsTo(harness.PathOnce, 20*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
	harness.Eventually(t, patience, "the runner gets requests", func() bool { return requestsSeen(t, cluster) > 0 })
	cluster.SetHostState(leavingRunner, lister.StateLeaving)
	time.Sleep(lag + leaveGrace)
	before := requestsSeen(t, cluster)
	awaitMoreAnswers(t, load, 800)
	if after := requestsSeen(t, cluster); after != before {
		t.Errorf("%d requests arrived at the leaving runner after the grace time", after-before)
	}
	cluster.SetHostState(leavingRunner, lister.StateLive)
	harness.Eventually(t, patience, "the runner gets requests again", func() bool {
		return requestsSeen(t, cluster) > before
	})
	stopAndCheck(t, cluster, load, 100)
}
