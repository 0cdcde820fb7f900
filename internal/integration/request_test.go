package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// awaitAnswers waits until every daemon answers requests.
func awaitAnswers(t *testing.T, cluster *harness.Cluster) {
	t.Helper()
	awaitAnswersOf(t, cluster.Daemons...)
}

// awaitAnswersOf waits until each of the daemons answers requests.
func awaitAnswersOf(t *testing.T, daemons ...*harness.Daemon) {
	t.Helper()
	caller := harness.NewCaller()
	defer caller.Close()
	for _, daemon := range daemons {
		harness.Eventually(t, patience, daemon.Name+" answers", func() bool {
			return caller.Do(t.Context(), daemon, callsTo(harness.PathIdempotent, 0)(-1)).IsComplete()
		})
	}
}

// TestUrgentRequests checks that requests through each of three daemons get complete
// answers, one by one and under load.
func TestUrgentRequests(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	awaitAnswers(t, cluster)
	caller := harness.NewCaller()
	defer caller.Close()
	for _, daemon := range cluster.Daemons {
		t.Run("through "+daemon.Name, func(t *testing.T) {
			call := callsTo(harness.PathOnce, time.Millisecond)(0)
			call.ID += daemon.Name
			assertWhole(t, caller.Do(t.Context(), daemon, call))
			assertWhole(t, caller.Do(t.Context(), daemon, callsTo(harness.PathIdempotent, 0)(0)))
		})
	}
	t.Run("under load", func(t *testing.T) {
		load := harness.StartLoad(t, 300, callsTo(harness.PathOnce, 20*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
		harness.Eventually(t, patience, "900 answers", func() bool { return load.Count() >= 900 })
		answers := load.Stop()
		assertAllWhole(t, answers)
		assertOutcomesTrue(t, answers, cluster.Executions())
	})
	cluster.AssertNoBreach()
}

// TestOverload sends three times the load that the runners can serve, and checks
// that nearly their whole capacity still goes into complete answers.
func TestOverload(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Runners: 2}}})
	awaitAnswers(t, cluster)
	const (
		// capacity is the share of the 480 requests a second, in percent, that the
		// 16 slots can serve at 100 ms each.
		capacity = 100 * 160 / 480
		// goodput is the required part of the capacity, in percent.
		goodput = 95
	)
	load := harness.StartLoad(t, 480, func(number int) harness.Call {
		call := callsTo(harness.PathOnce, 100*time.Millisecond)(number)
		call.Deadline = time.Second
		return call
	}, harness.NewTarget(cluster.Daemons...).Choose)
	harness.Eventually(t, patience, "2000 answers", func() bool { return load.Count() >= 2000 })
	answers := load.Stop()
	assertOutcomesTrue(t, answers, cluster.Executions())
	assertWholePercent(t, answers, capacity*goodput/100)
	cluster.AssertNoBreach()
}

// TestDaemonLoss checks the outcomes of requests while one daemon of three is killed,
// paused, cut off or stopped under load.
func TestDaemonLoss(t *testing.T) {
	t.Run("kill", func(t *testing.T) {
		cluster, load, target := startSharedUnderLoad(t)
		target.Set(cluster.Daemons[1:]...)
		cluster.Daemons[0].Kill()
		awaitMoreAnswers(t, load, 1000)
		stopAndCheck(t, cluster, load, 90)
	})
	t.Run("kill of the owner of all runners", func(t *testing.T) {
		cluster := harness.Start(t, harness.Options{Sites: northGA})
		first, others := cluster.Daemons[0], cluster.Daemons[1:]
		for _, daemon := range others {
			daemon.Kill()
		}
		cluster.AwaitRunnerOwner(first)
		for _, daemon := range others {
			daemon.Start()
		}
		awaitAnswers(t, cluster)
		target := harness.NewTarget(others...)
		load := harness.StartLoad(t, 300, callsTo(harness.PathOnce, loadServiceTime), target.Choose)
		first.Kill() // before the others have been given their share
		awaitMoreAnswers(t, load, 1000)
		awaitAnswersOf(t, others...)
		answers := load.Stop()
		assertOutcomesTrue(t, answers, cluster.Executions())
		later := harness.StartLoad(t, 300, callsTo(harness.PathIdempotent, loadServiceTime), target.Choose)
		awaitMoreAnswers(t, later, 900)
		stopAndCheck(t, cluster, later, 100)
	})
	t.Run("pause and resume", func(t *testing.T) {
		cluster, load, target := startSharedUnderLoad(t)
		cluster.Daemons[0].Pause()
		target.Set(cluster.Daemons[1:]...)
		awaitMoreAnswers(t, load, 2000)
		cluster.Daemons[0].Resume()
		target.Set(cluster.Daemons...)
		awaitMoreAnswers(t, load, 1000)
		stopAndCheck(t, cluster, load, 85)
	})
	t.Run("cut off from everything except callers and runners", func(t *testing.T) {
		cluster, load, _ := startUnderLoadOf(t, busyServiceTime)
		isolated := cluster.Daemons[0].Name
		cluster.Network.Cut(func(from, to string) bool { return from == isolated || to == isolated })
		awaitMoreAnswers(t, load, 4000)
		cluster.Network.Heal(harness.All)
		awaitMoreAnswers(t, load, 300)
		stopAndCheck(t, cluster, load, 40)
	})
	t.Run("pause and resume with busy runners", func(t *testing.T) {
		cluster, load, target := startUnderLoadOf(t, busyServiceTime)
		cluster.Daemons[0].Pause()
		awaitMoreAnswers(t, load, 2000)
		cluster.Daemons[0].Resume()
		target.Set(cluster.Daemons...)
		awaitMoreAnswers(t, load, 1000)
		stopAndCheck(t, cluster, load, 40)
	})
	t.Run("graceful shutdown", func(t *testing.T) {
		cluster, load, target := startUnderLoad(t)
		leaving := cluster.Daemons[0]
		target.Set(cluster.Daemons[1:]...)
		leaving.Terminate()
		if err := leaving.Wait(patience); err != nil {
			t.Errorf("graceful shutdown: %v", err)
		}
		awaitMoreAnswers(t, load, 600)
		stopAndCheck(t, cluster, load, 100)
	})
}

// TestStoreFaults checks that all requests are answered while the store is slow or
// loses responses.
func TestStoreFaults(t *testing.T) {
	faults := []struct {
		name   string
		faults keyvalue.Faults
	}{
		{"lost responses", keyvalue.Faults{LoseAnswersPercent: 50}},
		{"slow", keyvalue.Faults{DelayMillis: 500}},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := startUnderLoad(t)
			cluster.SetStoreFaults(each.faults)
			awaitMoreAnswers(t, load, 2000)
			cluster.SetStoreFaults(keyvalue.Faults{})
			awaitMoreAnswers(t, load, 600)
			stopAndCheck(t, cluster, load, 100)
		})
	}
}

// TestFaultyRunner checks that one faulty runner of four affects only few requests,
// whether it fails, truncates, closes connections or hangs.
func TestFaultyRunner(t *testing.T) {
	faults := []struct {
		name   string
		faults runner.Faults
		whole  int
	}{
		{"fails at once", runner.Faults{FailPercent: 100}, 97},
		{"truncates responses", runner.Faults{TruncatePercent: 100}, 97},
		{"closes connections", runner.Faults{ClosePercent: 100}, 97},
		{"hangs", runner.Faults{HangPercent: 100}, 97},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := startUnderLoad(t)
			cluster.SetRunnerFaults(runner.FaultsRequest{Runner: "atl-a-runner-1", Faults: each.faults})
			awaitMoreAnswers(t, load, 900)
			cluster.SetRunnerFaults(runner.FaultsRequest{})
			awaitMoreAnswers(t, load, 300)
			stopAndCheck(t, cluster, load, each.whole)
		})
	}
}

// busyServiceTime is a service time at which the load of startUnderLoadOf keeps most slots of four
// runners in use.
const busyServiceTime = 90 * time.Millisecond

// loadServiceTime is a service time at which one runner can serve the load of startUnderLoadOf.
const loadServiceTime = 20 * time.Millisecond

// startUnderLoad starts three daemons and a load of requests that aren't idempotent.
func startUnderLoad(t *testing.T) (*harness.Cluster, *harness.Load, *harness.Target) {
	t.Helper()
	return startUnderLoadOf(t, loadServiceTime)
}

// startSharedUnderLoad is startUnderLoad with daemons that share the runners.
func startSharedUnderLoad(t *testing.T) (*harness.Cluster, *harness.Load, *harness.Target) {
	t.Helper()
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	cluster.AwaitRunnerShares()
	load, target := putUnderLoad(t, cluster, loadServiceTime)
	return cluster, load, target
}

// startUnderLoadOf is startUnderLoad with requests of the given service time.
func startUnderLoadOf(t *testing.T, service time.Duration) (*harness.Cluster, *harness.Load, *harness.Target) {
	t.Helper()
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	load, target := putUnderLoad(t, cluster, service)
	return cluster, load, target
}

// putUnderLoad starts a load of requests that aren't idempotent, and waits for the first answers.
func putUnderLoad(t *testing.T, cluster *harness.Cluster, service time.Duration) (*harness.Load, *harness.Target) {
	t.Helper()
	awaitAnswers(t, cluster)
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, 300, callsTo(harness.PathOnce, service), target.Choose)
	awaitMoreAnswers(t, load, 300)
	return load, target
}

// awaitMoreAnswers waits until the load has a number of further answers.
func awaitMoreAnswers(t *testing.T, load *harness.Load, answers int) {
	t.Helper()
	enough := load.Count() + answers
	harness.Eventually(t, 2*patience, "more answers", func() bool { return load.Count() >= enough })
}

// stopAndCheck stops the load and checks that its answers agree with the executions,
// that enough of them are complete, and that no invariant of the cluster was violated.
func stopAndCheck(t *testing.T, cluster *harness.Cluster, load *harness.Load, wholePercent int) {
	t.Helper()
	answers := load.Stop()
	assertOutcomesTrue(t, answers, cluster.Executions())
	assertWholePercent(t, answers, wholePercent)
	cluster.AssertNoBreach()
}
