package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// balancerPollInterval is the interval of the balancer's readiness checks, well
// within the time that a stopping daemon leaves for them.
const balancerPollInterval = time.Second

// TestPlannedStopCutsNothing checks that a graceful shutdown under load breaks off no
// request. As with a real balancer, requests still arrive for one poll interval
// after the daemon reports that it isn't ready.
func TestPlannedStopCutsNothing(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 2, Runners: 3},
		harness.Site{DataCentre: "ath-a", Region: "north-ga", Daemons: 1, Runners: 3}, "--mean", "150ms", "--sigma", "0.5")
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, 100, func(number int) harness.Call {
		call := mixedCall(number)
		call.Deadline = 5 * time.Second
		return call
	}, target.Choose)
	awaitCount(t, load, 200)
	stopped := cluster.Daemons[1]
	stopped.Terminate()
	harness.Eventually(t, 20*time.Second, "the daemon reports that it isn't ready", func() bool { return !stopped.Ready(t.Context()) })
	time.Sleep(balancerPollInterval)
	target.Set(cluster.Daemons[0], cluster.Daemons[2])
	if err := stopped.Wait(time.Minute); err != nil {
		t.Errorf("the daemon did not stop: %v", err)
	}
	awaitCount(t, load, load.Count()+200)
	answers := load.Stop()
	cluster.AssertNoBreach()
	outcomes := make(map[string]int)
	for _, answer := range answers {
		outcomes[fmt.Sprintf("%s %s %d", answer.Call.Path, answer.Outcome, answer.Status)]++
		if answer.Err != nil || answer.Outcome == harness.OutcomeUnknown {
			t.Errorf("request was broken off or its outcome is unknown: %v", answer)
		}
	}
	t.Logf("%d requests: %v", len(answers), outcomes)
}
