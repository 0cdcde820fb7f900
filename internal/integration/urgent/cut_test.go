package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// cutLength is longer than the leases of the daemons.
const cutLength = 10 * time.Second

// TestRegionsLoseEachOther cuts the link between two regions. Requests without
// a key go on in both, those with a key on the store's side; nothing runs twice or beyond a runner's slots.
func TestRegionsLoseEachOther(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 3, Runners: 3},
		harness.Site{DataCentre: "sav-a", Region: "south-ga", Daemons: 3, Runners: 3}, "--mean", "5ms")
	warmUp(cluster, t, 800)

	cluster.CutRegion("south-ga")
	during := startLoad(cluster, t)
	nearStore := harness.NewTarget(cluster.Daemons[:3]...)
	keyed := harness.StartLoad(t, 50, keyedCall, nearStore.Choose)
	time.Sleep(cutLength)
	answers := during.Stop()
	assertShare(t, keyed.Stop(), 0.95, func(harness.Answer) bool { return true }, harness.Answer.Whole)
	assertShare(t, answers, 0.95, func(a harness.Answer) bool { return a.Call.Key == "" }, harness.Answer.Whole)
	assertTruth(t, answers, cluster.Executions())

	cluster.Network.Heal(harness.All)
	assertTruth(t, warmUp(cluster, t, 400), cluster.Executions())
	cluster.AssertNoBreach()
}

// keyedCall returns a call with a key of its own.
func keyedCall(number int) harness.Call {
	id := fmt.Sprintf("k%d", number)
	return harness.Call{ID: id, Path: harness.PathKeyed, Key: id, Body: []byte("print"), Deadline: deadline}
}
