package urgent

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// cutDuration is longer than the daemons' leases.
const cutDuration = 10 * time.Second

// TestRequestsDuringRegionCut checks requests while the link between two regions is
// cut for longer than the leases. Requests without a key are still answered in both
// regions, those with a key on the store's side; no request runs twice, and no runner
// gets more requests than it has slots.
func TestRequestsDuringRegionCut(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 3, Runners: 3},
		harness.Site{DataCentre: "sav-a", Region: "south-ga", Daemons: 3, Runners: 3}, "--mean", "5ms")
	warmUp(cluster, t, 800)

	cluster.CutRegion("south-ga")
	load := startLoad(cluster, t)
	storeSide := harness.NewTarget(cluster.Daemons[:3]...)
	keyed := harness.StartLoad(t, 50, keyedCall, storeSide.Choose)
	time.Sleep(cutDuration)
	answers := load.Stop()
	assertShare(t, keyed.Stop(), 0.95, func(harness.Answer) bool { return true }, harness.Answer.IsComplete)
	assertShare(t, answers, 0.95, func(a harness.Answer) bool { return a.Call.Key == "" }, harness.Answer.IsComplete)
	assertOutcomesTrue(t, answers, cluster.Executions())

	cluster.Network.Heal(harness.All)
	assertOutcomesTrue(t, warmUp(cluster, t, 400), cluster.Executions())
	cluster.AssertNoBreach()
}

// keyedCall returns a call with a unique key.
func keyedCall(number int) harness.Call {
	id := fmt.Sprintf("k%d", number)
	return harness.Call{ID: id, Path: harness.PathKeyed, Key: id, Body: []byte("print"), Deadline: deadline}
}
