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

// awaitGuarantors waits until all daemons have stored a list of guarantors in their
// region, which lets them keep their partitions without the store.
func awaitGuarantors(t *testing.T, cluster *harness.Cluster, guarantors int) {
	t.Helper()
	written := fmt.Appendf(nil, `"guarantors":"%d"`, guarantors)
	for _, daemon := range cluster.Daemons {
		harness.Eventually(t, patience, daemon.Name+" has guarantors", func() bool {
			return bytes.Contains(daemon.Log(), written)
		})
	}
}

// awaitLocalOwners waits until daemons of a data centre own the partitions of its
// runners. Daemons elsewhere that started first may own them for some seconds.
func awaitLocalOwners(t *testing.T, cluster *harness.Cluster, dataCentre string) {
	t.Helper()
	for number := range owner.RunnerPartitionCount {
		partition := string(owner.RunnerPartition(dataCentre, number))
		harness.Eventually(t, patience, partition+" is owned in its data centre", func() bool {
			return cluster.OwnerOf(partition).DataCentre == dataCentre
		})
	}
}

// TestStoreOutage checks that all requests are answered while the store is
// unavailable for longer than the daemons' leases, whether the leases lapse during
// the outage or get their full time when the store returns.
func TestStoreOutage(t *testing.T) {
	faults := []struct {
		name   string
		faults keyvalue.Faults
	}{
		{"refuses, leases get their full time", keyvalue.Faults{Outage: true}},
		{"hangs, leases lapse", keyvalue.Faults{Outage: true, Hang: true, LapseDuringOutage: true}},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := startUnderLoad(t)
			awaitGuarantors(t, cluster, 2)
			cluster.SetStoreFaults(each.faults)
			awaitMoreAnswers(t, load, 3000)
			cluster.SetStoreFaults(keyvalue.Faults{})
			awaitMoreAnswers(t, load, 600)
			stopAndCheck(t, cluster, load, 100)
		})
	}
}

// TestRegionCut checks that all requests are answered while the region without the
// store is cut off from the other one.
func TestRegionCut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	awaitAnswers(t, cluster)
	load := harness.StartLoad(t, 200, callsTo(harness.PathOnce, 10*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
	awaitMoreAnswers(t, load, 200)
	awaitGuarantors(t, cluster, 1)
	awaitLocalOwners(t, cluster, "sav-a")
	cluster.CutRegion("south-ga")
	awaitMoreAnswers(t, load, 1500)
	cluster.Network.Heal(harness.All)
	awaitMoreAnswers(t, load, 500)
	stopAndCheck(t, cluster, load, 100)
}
