// Package leaving tests that leaving runners get no new requests.
package leaving

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
)

const (
	leavingRunner = "atl-a-runner-1"

	// patience is how long a test waits for a condition.
	patience = 30 * time.Second
	// grace is the time after which a leaving runner gets no new requests.
	grace = 3 * time.Second
	rate  = 200 // requests a second
	// laterAnswers is the number of answers to await after the grace time.
	laterAnswers = 600
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// callOf returns an idempotent call.
func callOf(number int) harness.Call {
	return harness.Call{ID: fmt.Sprintf("r%d", number), Path: harness.PathIdempotent, Body: []byte("print"), Deadline: 5 * time.Second}
}

// TestLeavingRunnerGetsNothingNew checks that a leaving runner gets no request after
// the grace time and gets requests again once it is live, and that no request is
// broken off meanwhile.
func TestLeavingRunnerGetsNothingNew(t *testing.T) {
	cluster := harness.Start(t, harness.Options{
		Sites:      []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Runners: 3}},
		RunnerArgs: []string{"--mean", "5ms"},
	})
	load := harness.StartLoad(t, rate, callOf, harness.NewTarget(cluster.Daemons...).Choose)
	harness.Eventually(t, patience, "the runner gets requests", func() bool { return requestsOf(t, cluster) > 20 })

	cluster.SetHostState(leavingRunner, lister.StateLeaving)
	time.Sleep(grace)
	before, answers := requestsOf(t, cluster), load.Count()
	harness.Eventually(t, patience, "later requests are answered", func() bool { return load.Count() >= answers+laterAnswers })
	t.Run("no requests after the grace time", func(t *testing.T) {
		if after := requestsOf(t, cluster); after != before {
			t.Errorf("%d requests arrived at the leaving runner after the grace time", after-before)
		}
	})

	cluster.SetHostState(leavingRunner, lister.StateLive)
	harness.Eventually(t, patience, "the runner gets requests again", func() bool { return requestsOf(t, cluster) > before })
	for _, answer := range load.Stop() {
		if !answer.IsComplete() && answer.Outcome != harness.OutcomeNotRun {
			t.Errorf("request was broken off or its outcome is unknown: %v", answer)
		}
	}
	cluster.AssertNoBreach()
}

// requestsOf returns the number of requests that the leaving runner has received.
func requestsOf(t *testing.T, cluster *harness.Cluster) int64 {
	t.Helper()
	for _, counts := range cluster.RunnerCounts() {
		if counts.Runner == leavingRunner {
			return counts.Requests
		}
	}
	t.Fatal("the runner has no counts")
	return 0
}
