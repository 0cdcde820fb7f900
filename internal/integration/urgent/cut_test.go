package urgent

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// cutLength is longer than the leases of the daemons.
const cutLength = 10 * time.Second

// TestRegionsLoseEachOther cuts the link between two regions. Requests without
// a key go on in both; nothing runs twice or beyond a runner's slots.
func TestRegionsLoseEachOther(t *testing.T) {
	cluster := harness.Start(t, harness.Options{
		Sites: []harness.Site{
			{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Runners: 3},
			{DataCentre: "sav-a", Region: "south-ga", Daemons: 3, Runners: 3},
		},
		RunnerArgs: []string{"--mean", "5ms"},
	})
	warm := startLoad(cluster, t)
	awaitCount(t, warm, 800)
	warm.Stop()

	cluster.CutRegion("south-ga")
	during := startLoad(cluster, t)
	time.Sleep(cutLength)
	answers := during.Stop()
	assertShare(t, answers, 0.95, func(a harness.Answer) bool { return a.Call.Key == "" }, harness.Answer.Whole)
	assertTruth(t, answers, cluster.Executions())

	cluster.Network.Heal(harness.All)
	after := startLoad(cluster, t)
	awaitCount(t, after, 400)
	assertTruth(t, after.Stop(), cluster.Executions())
	cluster.AssertNoBreach()
}
