package integration

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

// shard is the partition of the tasks in the data centre of northGA.
const shard = "shard:atl-a"

// startGrace is the time for which tasks may still start in a data centre after it
// was taken out of service.
const startGrace = 3 * time.Second

// batchIntentOf returns an intent of tasks with a run time.
func batchIntentOf(name string, count int, run time.Duration) string {
	return fmt.Sprintf(`name: %s
team: %s
class: %s
kind: runBy
within: 1h
count: %d
resources: {cores: 4, memoryGB: 4}
expectedRun: %s
`, name, harness.Team, harness.Class, count, run)
}

// confirm plans and confirms an intent through one daemon.
func confirm(t *testing.T, daemon *harness.Daemon, document string) {
	t.Helper()
	harness.Eventually(t, patience, "the intent is confirmed", func() bool {
		planned, err := daemon.Operator().Plan(t.Context(), &kumquatv1.PlanRequest{Document: document})
		if err != nil {
			t.Logf("plan: %v", err)
			return false
		}
		_, err = daemon.Operator().Confirm(t.Context(), &kumquatv1.ConfirmRequest{Plan: planned.GetPlan()})
		if err != nil {
			t.Logf("confirm: %v", err)
		}
		return err == nil
	})
}

// awaitStarts waits until a number of runs have started.
func awaitStarts(t *testing.T, cluster *harness.Cluster, starts int) {
	t.Helper()
	harness.Eventually(t, patience, fmt.Sprintf("%d starts", starts), func() bool {
		started := 0
		for _, record := range cluster.Records() {
			if record.Kind == judge.KindStart {
				started++
			}
		}
		return started >= starts
	})
}

// awaitStartIn waits until a run has started in a data centre. The owners of the shards start
// their shares of an intent independently of each other.
func awaitStartIn(t *testing.T, cluster *harness.Cluster, dataCentre string) {
	t.Helper()
	harness.Eventually(t, patience, "a run starts in "+dataCentre, func() bool {
		return slices.ContainsFunc(cluster.Records(), func(record judge.Record) bool {
			return record.Kind == judge.KindStart && record.DataCentre == dataCentre
		})
	})
}

// awaitFinished waits until a number of tasks have finished, and fails the test if
// one finished more than once.
func awaitFinished(t *testing.T, cluster *harness.Cluster, tasks int) {
	t.Helper()
	var finished map[string]int
	harness.Eventually(t, 2*patience, fmt.Sprintf("%d finished tasks", tasks), func() bool {
		finished = judge.Finished(cluster.Records())
		return len(finished) >= tasks
	})
	for task, times := range finished {
		if times != 1 {
			t.Errorf("%s finished %d times", task, times)
		}
	}
}

// TestTasks checks that all tasks of an intent finish once without faults.
func TestTasks(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	confirm(t, cluster.Daemons[1], batchIntentOf("survey", 30, time.Second))
	awaitFinished(t, cluster, 30)
	cluster.AssertNoBreach()
}

// TestTasksUnderFaults checks that all tasks of an intent still finish once if a
// daemon, the store or a worker fails while they run.
func TestTasksUnderFaults(t *testing.T) {
	faults := []struct {
		name   string
		inject func(t *testing.T, cluster *harness.Cluster)
	}{
		{"the shard's owner is killed", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.OwnerOf(shard).Kill()
		}},
		{"two daemons of three are killed", func(_ *testing.T, cluster *harness.Cluster) {
			owner := cluster.OwnerOf(shard)
			owner.Kill()
			cluster.Others(owner)[0].Kill()
		}},
		{"the shard's owner pauses and resumes", func(_ *testing.T, cluster *harness.Cluster) {
			owner := cluster.OwnerOf(shard)
			owner.Pause()
			time.Sleep(8 * time.Second)
			owner.Resume()
		}},
		{"the shard's owner shuts down gracefully", func(t *testing.T, cluster *harness.Cluster) {
			owner := cluster.OwnerOf(shard)
			owner.Terminate()
			if err := owner.Wait(patience); err != nil {
				t.Error(err)
			}
		}},
		{"the store is unavailable", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.SetStoreFaults(keyvalue.Faults{Outage: true})
			time.Sleep(6 * time.Second)
			cluster.SetStoreFaults(keyvalue.Faults{})
		}},
		{"the store loses responses", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 30})
		}},
		{"workers lose responses", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.SetWorkerFaults(worker.FaultsRequest{Faults: worker.Faults{LoseAnswers: 20}})
		}},
		{"a worker crashes", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.CrashWorker("atl-a-worker-1")
		}},
		{"a worker fails all tasks", func(_ *testing.T, cluster *harness.Cluster) {
			cluster.SetWorkerFaults(worker.FaultsRequest{Worker: "atl-a-worker-1", Faults: worker.Faults{FailAll: true}})
		}},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			runInParallel(t)
			cluster := harness.Start(t, harness.Options{Sites: northGA})
			confirm(t, cluster.Daemons[2], batchIntentOf("survey", 36, 4*time.Second))
			awaitStarts(t, cluster, 10)
			each.inject(t, cluster)
			awaitFinished(t, cluster, 36)
			cluster.AssertNoBreach()
		})
	}
}

// assertStartsBetween fails the test unless a run started in a data centre between
// two times.
func assertStartsBetween(t *testing.T, cluster *harness.Cluster, dataCentre string, from, until time.Time) {
	t.Helper()
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindStart && record.DataCentre == dataCentre && record.At.After(from) && record.At.Before(until) {
			return
		}
	}
	t.Errorf("no run started in %s between %s and %s", dataCentre, from, until)
}

// TestConfiguration checks that changes of the declarations reach all daemons and
// that no daemon goes back to an older version, while the store loses responses
// or a daemon is cut off from it.
func TestConfiguration(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	document := func(queue int) string {
		return strings.Replace(harness.DeclarationsOf(northGA), "queueLength: 1000", fmt.Sprintf("queueLength: %d", queue), 1)
	}
	apply := func(daemon *harness.Daemon, document string) int64 {
		var version int64
		harness.Eventually(t, patience, "the change is accepted", func() bool {
			request := &kumquatv1.ApplyRequest{Document: document, BaseVersion: -1}
			response, err := daemon.Operator().Apply(t.Context(), request)
			if err != nil {
				t.Logf("apply: %v", err)
				return false
			}
			version = response.GetVersion()
			return true
		})
		return version
	}
	last := cluster.Daemons[0].Version(t.Context())
	assertNewer := func(t *testing.T, version int64) {
		t.Helper()
		if version <= last {
			t.Errorf("the change has version %d, want a version above %d", version, last)
		}
		last = version
		cluster.AwaitVersion(version, cluster.Daemons...)
		for _, daemon := range cluster.Daemons {
			if got := daemon.Version(t.Context()); got < version {
				t.Errorf("%s went back from version %d to %d", daemon.Name, version, got)
			}
		}
	}
	t.Run("through each daemon", func(t *testing.T) {
		for number, daemon := range cluster.Daemons {
			assertNewer(t, apply(daemon, document(number+1)))
		}
	})
	t.Run("while the store loses responses", func(t *testing.T) {
		cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 50})
		assertNewer(t, apply(cluster.Daemons[0], document(10)))
		cluster.SetStoreFaults(keyvalue.Faults{})
	})
	t.Run("while one daemon is cut off from the store", func(t *testing.T) {
		cluster.CutStore(cluster.Daemons[2])
		assertNewer(t, apply(cluster.Daemons[0], document(20)))
		cluster.Network.Heal(harness.All)
	})
}
