package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// away is the data centre that is taken out.
const away = "sav-a"

// takeOut takes the data centre out through the first daemon and returns when
// that was accepted.
func takeOut(t *testing.T, cluster *harness.Cluster, out bool) (accepted time.Time) {
	t.Helper()
	harness.Eventually(t, 2*patience, "the change is accepted", func() bool {
		request := &kumquatv1.SetDataCentreRequest{DataCentre: away, Out: out}
		_, err := cluster.Daemons[0].Operator().SetDataCentre(t.Context(), request)
		if err != nil {
			t.Logf("set data centre: %v", err)
		}
		return err == nil
	})
	return time.Now()
}

// assertNoLateStart fails the test if a run started in the data centre after
// the grace time.
func assertNoLateStart(t *testing.T, cluster *harness.Cluster, accepted time.Time) {
	t.Helper()
	for _, breach := range judge.LateStarts(cluster.Records(), away, accepted.Add(startGrace), time.Time{}) {
		t.Errorf("%s: %s", breach.Subject, breach.Detail)
	}
}

// TestDataCentreOut takes a data centre out while tasks are starting there and
// brings it back.
func TestDataCentreOut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	confirm(t, cluster.Daemons[0], intentOf("survey", 60, 3*time.Second))
	awaitStarts(t, cluster, 10)
	assertStarts(t, cluster, away, time.Time{}, time.Now())
	accepted := takeOut(t, cluster, true)
	time.Sleep(8 * time.Second)
	returned := takeOut(t, cluster, false)
	confirm(t, cluster.Daemons[0], intentOf("second-survey", 60, time.Second))
	awaitFinished(t, cluster, 120)
	assertStarts(t, cluster, "atl-a", accepted, returned)
	assertStarts(t, cluster, away, returned, time.Now())
	for _, breach := range judge.LateStarts(cluster.Records(), away, accepted.Add(startGrace), returned.Add(-startGrace)) {
		t.Errorf("%s: %s", breach.Subject, breach.Detail)
	}
	cluster.AssertNoBreach()
}

// TestDataCentreOutUnderFaults takes a data centre out while the owner of its
// tasks can't hear of it, or while the store fails.
func TestDataCentreOutUnderFaults(t *testing.T) {
	faults := []struct {
		name string
		// before disturbs, after ends the disturbance.
		before, after func(cluster *harness.Cluster)
	}{
		{
			"the owner is cut off from its peers and the store",
			func(cluster *harness.Cluster) { cluster.CutRegion("south-ga") },
			func(cluster *harness.Cluster) { cluster.Network.Heal(harness.All) },
		},
		{
			"the owner pauses and wakes up",
			func(cluster *harness.Cluster) { cluster.OwnerOf("shard:" + away).Pause() },
			func(cluster *harness.Cluster) {
				for _, daemon := range cluster.Daemons {
					daemon.Resume()
				}
			},
		},
		{
			"the store loses answers",
			func(cluster *harness.Cluster) { cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 50}) },
			func(cluster *harness.Cluster) { cluster.SetStoreFaults(keyvalue.Faults{}) },
		},
		{
			"the store is out for the owner's region",
			func(cluster *harness.Cluster) {
				for _, daemon := range cluster.Daemons {
					if daemon.DataCentre == away {
						cluster.CutStore(daemon)
					}
				}
			},
			func(cluster *harness.Cluster) { cluster.Network.Heal(harness.All) },
		},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			parallel(t)
			cluster := harness.Start(t, harness.Options{Sites: twoRegions})
			confirm(t, cluster.Daemons[0], intentOf("survey", 1200, time.Second))
			awaitStarts(t, cluster, 20)
			awaitGuarantors(t, cluster, 1)
			assertStarts(t, cluster, away, time.Time{}, time.Now())
			each.before(cluster)
			accepted := takeOut(t, cluster, true)
			time.Sleep(startGrace + 3*time.Second)
			each.after(cluster)
			time.Sleep(3 * time.Second)
			assertNoLateStart(t, cluster, accepted)
			assertStarts(t, cluster, "atl-a", accepted, time.Now())
			cluster.AssertNoBreach()
		})
	}
}
