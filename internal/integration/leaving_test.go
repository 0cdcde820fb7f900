package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/hostlist"
)

// leaveGrace is the time within which a leaving runner gets its last request,
// counted from the instant at which the list of hosts shows it.
const leaveGrace = 3 * time.Second

// leaving is the runner that leaves.
const leaving = "atl-a-runner-2"

// requestsSeen returns the number of requests that the leaving runner has seen.
func requestsSeen(t *testing.T, cluster *harness.Cluster) int64 {
	t.Helper()
	for _, counts := range cluster.RunnerCounts() {
		if counts.Runner == leaving {
			return counts.Requests
		}
	}
	t.Fatalf("no runner %s", leaving)
	return 0
}

// TestRunnerLeaves marks a runner as leaving in a lagging list of hosts.
func TestRunnerLeaves(t *testing.T) {
	const lag = time.Second
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	cluster.SetListFaults(hostlist.Faults{LagMillis: lag.Milliseconds()})
	awaitAnswers(t, cluster)
	load := harness.StartLoad(t, 400, callOf(harness.PathOnce, 20*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
	harness.Eventually(t, patience, "requests at the runner", func() bool { return requestsSeen(t, cluster) > 0 })
	cluster.SetHostState(leaving, lister.StateLeaving)
	time.Sleep(lag + leaveGrace)
	before := requestsSeen(t, cluster)
	awaitMore(t, load, 800)
	if after := requestsSeen(t, cluster); after != before {
		t.Errorf("%d requests at the leaving runner after the grace time", after-before)
	}
	cluster.SetHostState(leaving, lister.StateLive)
	harness.Eventually(t, patience, "requests at the runner that is back", func() bool {
		return requestsSeen(t, cluster) > before
	})
	finish(t, cluster, load, 100)
}
