// Package urgent tests urgent requests through real processes under faults.
package urgent

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// requestsVariable is the environment variable that sets the number of requests of
// TestPromisesHoldUnderMixedFaults.
const requestsVariable = "KUMQUAT_REQUESTS"

const (
	defaultRequests = 12_000
	rate            = 800 // requests a second
	deadline        = time.Second
)

// requestCount returns the number of requests to send.
func requestCount(t *testing.T) int {
	t.Helper()
	value := os.Getenv(requestsVariable)
	if value == "" {
		return defaultRequests
	}
	count, err := strconv.Atoi(value)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// mixedCall returns a call: half of them are non-idempotent, a quarter is idempotent,
// and a quarter is keyed, with two requests for each key.
func mixedCall(number int) harness.Call {
	call := harness.Call{ID: fmt.Sprintf("r%d", number), Path: harness.PathOnce, Body: []byte("print"), Deadline: deadline}
	switch number % 4 {
	case 2:
		call.Path = harness.PathIdempotent
	case 3:
		call.Path = harness.PathKeyed
		call.Key = keyOf(number)
	}
	return call
}

// keyOf returns the key of a keyed call, which the next keyed call may share.
func keyOf(number int) string { return fmt.Sprintf("key-%d", number/8) }

// TestPromisesHoldUnderMixedFaults checks that no request that isn't idempotent runs
// twice and that callers get true outcomes, while faults of runners, daemons and the
// store overlap.
func TestPromisesHoldUnderMixedFaults(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 3, Runners: 4},
		harness.Site{DataCentre: "ath-a", Region: "north-ga", Daemons: 2, Runners: 3}, "--mean", "10ms", "--sigma", "0.5")
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, rate, mixedCall, target.Choose)
	count := requestCount(t)
	faults := []func(){
		func() {
			cluster.SetRunnerFaults(runner.FaultsRequest{Faults: runner.Faults{FailPercent: 2, ClosePercent: 2, TruncatePercent: 2}})
		},
		func() { cluster.Daemons[1].Pause() },
		func() { cluster.Daemons[1].Resume() },
		func() { cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 10}) },
		func() { cluster.Daemons[2].Kill() },
		func() { cluster.SetStoreFaults(keyvalue.Faults{}) },
		func() { cluster.Daemons[2].Start() },
		func() { cluster.SetHostState("atl-a-runner-0", lister.StateLeaving) },
		func() { cluster.SetRunnerFaults(runner.FaultsRequest{Faults: runner.Faults{HangPercent: 1}}) },
		func() { cluster.SetRunnerFaults(runner.FaultsRequest{}) },
	}
	for i, fault := range faults {
		awaitCount(t, load, count*(i+1)/(len(faults)+1))
		fault()
	}
	awaitCount(t, load, count)
	answers := load.Stop()
	cluster.AssertNoBreach()
	assertOutcomesTrue(t, answers, cluster.Executions())
}

// startSites starts a cluster of a first site in data centre atl-a and a second site;
// runnerArgs are arguments of the runners.
func startSites(t *testing.T, first, second harness.Site, runnerArgs ...string) *harness.Cluster {
	t.Helper()
	first.DataCentre, first.Region = "atl-a", "north-ga"
	return harness.Start(t, harness.Options{Sites: []harness.Site{first, second}, RunnerArgs: runnerArgs})
}

// awaitCount waits until the load has a number of answers.
func awaitCount(t *testing.T, load *harness.Load, count int) {
	t.Helper()
	harness.Eventually(t, 10*time.Minute, "the load gets its answers", func() bool { return load.Count() >= count })
}

// reasonOf returns the reason in an answer of a daemon, or "" for one of a runner.
func reasonOf(answer harness.Answer) string {
	var body struct {
		Reason string `json:"reason"`
	}
	if answer.Outcome == harness.OutcomeAnswered || json.Unmarshal(answer.Body, &body) != nil {
		return ""
	}
	return body.Reason
}

// assertOutcomesTrue fails the test if an answer contradicts the executions: a
// non-idempotent request ran more than once, the requests with one key together ran
// more than once, a request reported as not run did run, or a non-idempotent request
// with a complete answer didn't. The test also fails unless at least half of the
// non-idempotent requests were answered.
func assertOutcomesTrue(t *testing.T, answers []harness.Answer, executions map[string]int) {
	t.Helper()
	outcomes := make(map[string]int)
	byKey := make(map[string]int)
	for _, answer := range answers {
		ran := executions[answer.Call.ID]
		outcomes[fmt.Sprintf("%s %s %d %s", answer.Call.Path, answer.Outcome, answer.Status, reasonOf(answer))]++
		byKey[answer.Call.Key] += ran
		isOnce := answer.Call.Path == harness.PathOnce
		switch {
		case answer.Call.Path != harness.PathIdempotent && ran > 1:
			t.Errorf("request that isn't idempotent ran %d times: %v", ran, answer)
		case answer.Outcome == harness.OutcomeNotRun && ran > 0:
			t.Errorf("request reported as not run ran %d times: %v", ran, answer)
		case isOnce && answer.IsComplete() && ran != 1:
			t.Errorf("request with a complete answer ran %d times, want once: %v", ran, answer)
		}
	}
	for key, ran := range byKey {
		if key != "" && ran > 1 {
			t.Errorf("requests with key %s ran %d times, want at most once", key, ran)
		}
	}
	t.Logf("%d requests: %v", len(answers), outcomes)
	if len(answers) == 0 || outcomes[harness.PathOnce+" answered 200 "]*2 < len(answers)/2 {
		t.Error("fewer than half of the non-idempotent requests were answered")
	}
}
