// Package isolating tests with real processes that services are protected from
// interference by batch tasks on the same worker.
package isolating

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

const (
	// patience is how long a test waits for a condition.
	patience = 40 * time.Second
	// protectedSpeed is the speed, in percent of running alone, that a protected
	// service has at least.
	protectedSpeed = 90
	// disturbedSpeed is the speed that only an unprotected service falls below.
	disturbedSpeed = 80
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// TestServiceBesideNoisyTask checks that a service that a batch task on its worker has
// slowed down regains its speed.
func TestServiceBesideNoisyTask(t *testing.T) {
	cluster := harness.Start(t, harness.Options{
		Sites:      []harness.Site{{DataCentre: "digha", Region: "purba-medinipur", Daemons: 1, Workers: 1}},
		WorkerArgs: []string{"--lag", "500ms"},
	})
	cluster.SetWorkerModel(worker.Model{Pairs: []worker.Pair{{Class: harness.Class, Neighbour: harness.Class, SlowdownPercent: 60}}})
	agent := commander.NewClient(commander.Options{}).Agent(cluster.Hosts()[0].Address)
	confirm(t, cluster.Daemons[0], "monitor", "keepRunning", 1, "")
	confirm(t, cluster.Daemons[0], "noisy", "runBy", 16, "within: 1h\nexpectedRun: 10m")

	t.Run("the task slows the service down", func(t *testing.T) {
		assertSpeed(t, agent, "monitor/0", func(speed int) bool { return speed < disturbedSpeed })
	})
	t.Run("the service regains its speed", func(t *testing.T) {
		assertSpeed(t, agent, "monitor/0", func(speed int) bool { return speed >= protectedSpeed })
	})
	cluster.AssertNoBreach()
}

// confirm plans and confirms an intent; more holds further lines of its document.
func confirm(t *testing.T, daemon *harness.Daemon, name, kind string, cores int, more string) {
	t.Helper()
	document := fmt.Sprintf("name: %s\nteam: %s\nclass: %s\nkind: %s\nresources: {cores: %d, memoryGB: 1}\n%s\n",
		name, harness.Team, harness.Class, kind, cores, more)
	harness.Eventually(t, patience, name+" is confirmed", func() bool {
		planned, err := daemon.Operator().Plan(t.Context(), &kumquatv1.PlanRequest{Document: document})
		if err != nil || len(planned.Plan.Placements) == 0 {
			return false
		}
		_, err = daemon.Operator().Confirm(t.Context(), &kumquatv1.ConfirmRequest{Plan: planned.Plan})
		return err == nil
	})
}

// assertSpeed fails the test unless a task soon has a speed, in percent of running alone,
// for which accept returns true.
func assertSpeed(t *testing.T, agent commander.Agent, task string, accept func(speed int) bool) {
	t.Helper()
	last := 0
	harness.Eventually(t, patience, "an accepted speed of "+task, func() bool {
		usages, err := agent.Usage(t.Context())
		if err != nil {
			return false
		}
		for _, usage := range usages {
			if usage.ID.Task == task && usage.SpeedPercent != last {
				last = usage.SpeedPercent
				t.Logf("speed of %s: %d %%", task, last)
			}
			if usage.ID.Task == task && accept(usage.SpeedPercent) {
				return true
			}
		}
		return false
	})
}
