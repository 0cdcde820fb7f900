package integration

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// awaitAnswers waits until every daemon answers a request.
func awaitAnswers(t *testing.T, cluster *harness.Cluster) {
	t.Helper()
	caller := harness.NewCaller()
	defer caller.Close()
	for _, daemon := range cluster.Daemons {
		harness.Eventually(t, patience, daemon.Name+" answers", func() bool {
			return caller.Do(t.Context(), daemon, callOf(harness.PathIdempotent, 0)(-1)).Whole()
		})
	}
}

// TestUrgentRequests sends requests through each of three daemons.
func TestUrgentRequests(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	awaitAnswers(t, cluster)
	caller := harness.NewCaller()
	defer caller.Close()
	for _, daemon := range cluster.Daemons {
		t.Run("through "+daemon.Name, func(t *testing.T) {
			call := callOf(harness.PathOnce, time.Millisecond)(0)
			call.ID += daemon.Name
			assertWhole(t, caller.Do(t.Context(), daemon, call))
			assertWhole(t, caller.Do(t.Context(), daemon, callOf(harness.PathIdempotent, 0)(0)))
		})
	}
	t.Run("under load", func(t *testing.T) {
		load := harness.StartLoad(t, 300, callOf(harness.PathOnce, 20*time.Millisecond), harness.NewTarget(cluster.Daemons...).Choose)
		harness.Eventually(t, patience, "900 answers", func() bool { return load.Count() >= 900 })
		answers := load.Stop()
		assertAllWhole(t, answers)
		assertHonest(t, answers, cluster.Executions())
	})
	cluster.AssertNoBreach()
}

// TestOverload sends three times what the runners hold.
func TestOverload(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Runners: 2}}})
	awaitAnswers(t, cluster)
	const (
		// capacity is what 16 slots answer of requests of 100 ms, in percent of
		// the 480 that arrive each second.
		capacity = 100 * 160 / 480
		// goodput is the share of the capacity that has to be answered whole.
		goodput = 95
	)
	load := harness.StartLoad(t, 480, func(number int) harness.Call {
		call := callOf(harness.PathOnce, 100*time.Millisecond)(number)
		call.Deadline = time.Second
		return call
	}, harness.NewTarget(cluster.Daemons...).Choose)
	harness.Eventually(t, patience, "2000 answers", func() bool { return load.Count() >= 2000 })
	answers := load.Stop()
	assertHonest(t, answers, cluster.Executions())
	assertMostlyWhole(t, answers, capacity*goodput/100)
	cluster.AssertNoBreach()
}

// TestDaemonLoss kills, pauses or stops one daemon of three under load.
func TestDaemonLoss(t *testing.T) {
	t.Run("kill", func(t *testing.T) {
		cluster, load, target := loaded(t)
		target.Set(cluster.Daemons[1:]...)
		cluster.Daemons[0].Kill()
		awaitMore(t, load, 1000)
		finish(t, cluster, load, 90)
	})
	t.Run("pause and wake up", func(t *testing.T) {
		cluster, load, target := loaded(t)
		cluster.Daemons[0].Pause()
		target.Set(cluster.Daemons[1:]...)
		awaitMore(t, load, 2000)
		cluster.Daemons[0].Resume()
		target.Set(cluster.Daemons...)
		awaitMore(t, load, 1000)
		finish(t, cluster, load, 85)
	})
	t.Run("cut off from all but callers and runners", func(t *testing.T) {
		cluster, load, _ := loadedWith(t, busyService)
		isolated := cluster.Daemons[0].Name
		cluster.Network.Cut(func(from, to string) bool { return from == isolated || to == isolated })
		awaitMore(t, load, 4000)
		cluster.Network.Heal(harness.All)
		awaitMore(t, load, 300)
		finish(t, cluster, load, 40)
	})
	t.Run("pause and wake up with busy runners", func(t *testing.T) {
		cluster, load, target := loadedWith(t, busyService)
		cluster.Daemons[0].Pause()
		awaitMore(t, load, 2000)
		cluster.Daemons[0].Resume()
		target.Set(cluster.Daemons...)
		awaitMore(t, load, 1000)
		finish(t, cluster, load, 40)
	})
	t.Run("planned stop", func(t *testing.T) {
		cluster, load, target := loaded(t)
		leaving := cluster.Daemons[0]
		target.Set(cluster.Daemons[1:]...)
		leaving.Terminate()
		if err := leaving.Wait(patience); err != nil {
			t.Errorf("planned stop: %v", err)
		}
		awaitMore(t, load, 600)
		finish(t, cluster, load, 100)
	})
}

// TestStoreFaults sends requests while the store is slow or loses answers.
func TestStoreFaults(t *testing.T) {
	faults := []struct {
		name   string
		faults keyvalue.Faults
	}{
		{"lost answers", keyvalue.Faults{LoseAnswersPercent: 50}},
		{"slow", keyvalue.Faults{DelayMillis: 500}},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := loaded(t)
			cluster.SetStoreFaults(each.faults)
			awaitMore(t, load, 2000)
			cluster.SetStoreFaults(keyvalue.Faults{})
			awaitMore(t, load, 600)
			finish(t, cluster, load, 100)
		})
	}
}

// TestSickRunner makes one runner of four fail in several ways.
func TestSickRunner(t *testing.T) {
	faults := []struct {
		name   string
		faults runner.Faults
		whole  int
	}{
		{"fails fast", runner.Faults{FailPercent: 100}, 97},
		{"truncates", runner.Faults{TruncatePercent: 100}, 97},
		{"closes", runner.Faults{ClosePercent: 100}, 97},
		{"hangs", runner.Faults{HangPercent: 100}, 97},
	}
	for _, each := range faults {
		t.Run(each.name, func(t *testing.T) {
			cluster, load, _ := loaded(t)
			cluster.SetRunnerFaults(runner.FaultsRequest{Runner: "atl-a-runner-1", Faults: each.faults})
			awaitMore(t, load, 900)
			cluster.SetRunnerFaults(runner.FaultsRequest{})
			awaitMore(t, load, 300)
			finish(t, cluster, load, each.whole)
		})
	}
}

// busyService is a service time that keeps most slots of four runners busy.
const busyService = 90 * time.Millisecond

// loaded starts three daemons and a load of requests that run at most once.
func loaded(t *testing.T) (*harness.Cluster, *harness.Load, *harness.Target) {
	t.Helper()
	return loadedWith(t, 20*time.Millisecond)
}

// loadedWith is loaded with a service time.
func loadedWith(t *testing.T, service time.Duration) (*harness.Cluster, *harness.Load, *harness.Target) {
	t.Helper()
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	awaitAnswers(t, cluster)
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, 300, callOf(harness.PathOnce, service), target.Choose)
	awaitMore(t, load, 300)
	return cluster, load, target
}

// awaitMore waits for further answers.
func awaitMore(t *testing.T, load *harness.Load, answers int) {
	t.Helper()
	enough := load.Count() + answers
	harness.Eventually(t, 2*patience, "more answers", func() bool { return load.Count() >= enough })
}

// finish ends the load and checks all promises about requests.
func finish(t *testing.T, cluster *harness.Cluster, load *harness.Load, wholePercent int) {
	t.Helper()
	answers := load.Stop()
	assertHonest(t, answers, cluster.Executions())
	assertMostlyWhole(t, answers, wholePercent)
	cluster.AssertNoBreach()
}
