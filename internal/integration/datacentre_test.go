package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// remoteDataCentre is the data centre that is taken out of service.
const remoteDataCentre = "sav-a"

// setDataCentreOut takes remoteDataCentre out of service or brings it back through
// the first daemon, and returns the time at which the change was accepted.
func setDataCentreOut(t *testing.T, cluster *harness.Cluster, out bool) (accepted time.Time) {
	t.Helper()
	harness.Eventually(t, 2*patience, "the change is accepted", func() bool {
		request := &kumquatv1.SetDataCentreRequest{DataCentre: remoteDataCentre, Out: out}
		_, err := cluster.Daemons[0].Operator().SetDataCentre(t.Context(), request)
		if err != nil {
			t.Logf("set data centre: %v", err)
		}
		return err == nil
	})
	return time.Now()
}

// assertNoLateStart fails the test if a run started in remoteDataCentre later than
// startGrace after the change was accepted.
func assertNoLateStart(t *testing.T, cluster *harness.Cluster, accepted time.Time) {
	t.Helper()
	for _, breach := range judge.LateStarts(cluster.Records(), remoteDataCentre, accepted.Add(startGrace), time.Time{}) {
		t.Errorf("%s: %s", breach.Subject, breach.Detail)
	}
}

// TestDataCentreOut checks that tasks stop starting in a data centre that is taken
// out of service, go on starting in the other data centre, and start again in the
// first once it is back in service.
func TestDataCentreOut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	confirm(t, cluster.Daemons[0], batchIntentOf("survey", 60, 3*time.Second))
	awaitStarts(t, cluster, 10)
	awaitStartIn(t, cluster, remoteDataCentre)
	accepted := setDataCentreOut(t, cluster, true)
	time.Sleep(8 * time.Second)
	returned := setDataCentreOut(t, cluster, false)
	confirm(t, cluster.Daemons[0], batchIntentOf("second-survey", 60, time.Second))
	awaitFinished(t, cluster, 120)
	assertStartsBetween(t, cluster, "atl-a", accepted, returned)
	assertStartsBetween(t, cluster, remoteDataCentre, returned, time.Now())
	for _, breach := range judge.LateStarts(cluster.Records(), remoteDataCentre, accepted.Add(startGrace), returned.Add(-startGrace)) {
		t.Errorf("%s: %s", breach.Subject, breach.Detail)
	}
	cluster.AssertNoBreach()
}

// TestDataCentreOutUnderFaults checks that tasks stop starting in time in a data
// centre that is taken out of service though the owner of its shard can't learn of
// the change, or though the store fails.
func TestDataCentreOutUnderFaults(t *testing.T) {
	faults := []struct {
		name string
		// before injects the fault, after ends it.
		before, after func(cluster *harness.Cluster)
	}{
		{
			"the owner is cut off from its peers and the store",
			func(cluster *harness.Cluster) { cluster.CutRegion("south-ga") },
			func(cluster *harness.Cluster) { cluster.Network.Heal(harness.All) },
		},
		{
			"the owner pauses and resumes",
			func(cluster *harness.Cluster) { cluster.OwnerOf("shard:" + remoteDataCentre).Pause() },
			func(cluster *harness.Cluster) {
				for _, daemon := range cluster.Daemons {
					daemon.Resume()
				}
			},
		},
		{
			"the store loses responses",
			func(cluster *harness.Cluster) { cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 50}) },
			func(cluster *harness.Cluster) { cluster.SetStoreFaults(keyvalue.Faults{}) },
		},
		{
			"the store is unreachable from the owner's region",
			func(cluster *harness.Cluster) {
				for _, daemon := range cluster.Daemons {
					if daemon.DataCentre == remoteDataCentre {
						cluster.CutStore(daemon)
					}
				}
			},
			func(cluster *harness.Cluster) { cluster.Network.Heal(harness.All) },
		},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			runInParallel(t)
			cluster := harness.Start(t, harness.Options{Sites: twoRegions})
			confirm(t, cluster.Daemons[0], batchIntentOf("survey", 1200, time.Second))
			awaitStarts(t, cluster, 20)
			awaitGuarantors(t, cluster, 1)
			assertStartsBetween(t, cluster, remoteDataCentre, time.Time{}, time.Now())
			each.before(cluster)
			accepted := setDataCentreOut(t, cluster, true)
			time.Sleep(startGrace + 3*time.Second)
			each.after(cluster)
			time.Sleep(3 * time.Second)
			assertNoLateStart(t, cluster, accepted)
			assertStartsBetween(t, cluster, "atl-a", accepted, time.Now())
			cluster.AssertNoBreach()
		})
	}
}
