// Package integration tests clusters of real processes behind a fault-injecting proxy.
package integration

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// patience is how long a test waits for a condition.
const patience = 20 * time.Second

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// newTwoDataCentres returns two data centres in one region; the second has one daemon.
func newTwoDataCentres(daemons int) []harness.Site {
	return []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: daemons - 1, Workers: 4, Runners: 4},
		{DataCentre: "ath-a", Region: "north-ga", Daemons: 1, Workers: 2, Runners: 2},
	}
}

// TestUrgentRequestThroughEachDaemon checks that each daemon answers urgent requests,
// also the only one of its data centre.
func TestUrgentRequestThroughEachDaemon(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: newTwoDataCentres(3)})
	caller := harness.NewCaller()
	defer caller.Close()
	for i, daemon := range cluster.Daemons {
		t.Run(daemon.Name, func(t *testing.T) {
			assertAnswered(t, caller, daemon, fmt.Sprintf("r%d", i))
		})
	}
	cluster.AssertNoBreach()
}

// assertAnswered fails the test unless a daemon soon answers a request with its body.
func assertAnswered(t *testing.T, caller *harness.Caller, daemon *harness.Daemon, id string) {
	t.Helper()
	body := []byte("thumbprint of " + id)
	number := 0
	harness.Eventually(t, patience, "the request gets a complete answer", func() bool {
		number++
		call := harness.Call{ID: fmt.Sprintf("%s-%d", id, number), Path: harness.PathOnce, Body: body, Deadline: 2 * time.Second}
		answer := caller.Do(t.Context(), daemon, call)
		if !answer.IsComplete() {
			t.Log(answer)
		}
		return answer.IsComplete() && bytes.Contains(answer.Body, body)
	})
}
