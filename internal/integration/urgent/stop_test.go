package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// balancerPeriod is the time between two looks of the balancer, well within the
// time that a stopping daemon gives it.
const balancerPeriod = time.Second

// TestPlannedStopCutsNothing stops one daemon under load, as a balancer sees
// it: new requests go elsewhere once the daemon is no longer ready.
func TestPlannedStopCutsNothing(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 2, Runners: 3},
		harness.Site{DataCentre: "ath-a", Region: "north-ga", Daemons: 1, Runners: 3}, "--mean", "150ms", "--sigma", "0.5")
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, 100, func(number int) harness.Call {
		call := callOf(number)
		call.Deadline = 5 * time.Second
		return call
	}, target.Choose)
	awaitCount(t, load, 200)
	stopped := cluster.Daemons[1]
	stopped.Terminate()
	harness.Eventually(t, 20*time.Second, "the balancer is told", func() bool { return !stopped.Ready(t.Context()) })
	time.Sleep(balancerPeriod)
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
			t.Errorf("cut off: %v", answer)
		}
	}
	t.Logf("%d requests: %v", len(answers), outcomes)
}
