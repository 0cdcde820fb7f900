package integration

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// awaitGuarantors waits until all daemons have a durable list of guarantors in
// their region, which lets them go on without the store.
func awaitGuarantors(t *testing.T, cluster *harness.Cluster, guarantors int) {
	t.Helper()
	written := fmt.Appendf(nil, `"guarantors":"%d"`, guarantors)
	for _, daemon := range cluster.Daemons {
		harness.Eventually(t, patience, daemon.Name+" has guarantors", func() bool {
			return bytes.Contains(daemon.Log(), written)
		})
	}
}

// awaitHomeOwners waits until daemons of a data centre own its runners, which
// they may come to do some seconds after others have started.
func awaitHomeOwners(t *testing.T, cluster *harness.Cluster, dataCentre string) {
	t.Helper()
	for number := range owner.RunnerPartitionCount {
		partition := string(owner.RunnerPartition(dataCentre, number))
		harness.Eventually(t, patience, partition+" is owned at home", func() bool {
			return cluster.OwnerOf(partition).DataCentre == dataCentre
		})
	}
}

// TestStoreOutage sends requests while the store is out for longer than the
// daemons' leases; it lapses them or gives them their full time when it returns.
func TestStoreOutage(t *testing.T) {
	faults := []struct {
		name   string
		faults keyvalue.Faults
	}{
		{"refusing", keyvalue.Faults{Outage: true}},
		{"hanging, leases lapse", keyvalue.Faults{Outage: true, Hang: true, LapseDuringOutage: true}},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := loaded(t)
			awaitGuarantors(t, cluster, 2)
			cluster.SetStoreFaults(each.faults)
			awaitMore(t, load, 3000)
			cluster.SetStoreFaults(keyvalue.Faults{})
			awaitMore(t, load, 600)
			finish(t, cluster, load, 100)
		})
	}
}

// TestRegionCut cuts the region without the store from the other one.
func TestRegionCut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	awaitAnswers(t, cluster)
	load := harness.StartLoad(t, 200, callOf(harness.PathOnce, 10*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
	awaitMore(t, load, 200)
	awaitGuarantors(t, cluster, 1)
	awaitHomeOwners(t, cluster, "sav-a")
	cluster.CutRegion("south-ga")
	awaitMore(t, load, 1500)
	cluster.Network.Heal(harness.All)
	awaitMore(t, load, 500)
	finish(t, cluster, load, 100)
}
