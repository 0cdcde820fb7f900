package integration

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

const (
	// deadline is the deadline of requests that are all expected to be answered.
	deadline = 5 * time.Second
	// maxListedFailures limits the failures that one assertion lists.
	maxListedFailures = 10
)

// northGA is one data centre with three daemons.
var northGA = []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Workers: 3, Runners: 4}}

// twoRegions is one data centre in each of two regions; the store is in the first.
var twoRegions = []harness.Site{
	{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Workers: 2, Runners: 2},
	{DataCentre: "sav-a", Region: "south-ga", Daemons: 2, Workers: 2, Runners: 2},
}

// clusterSlots limits the clusters that parallel subtests run at the same time: the channel has an
// entry for each running subtest.
var clusterSlots = make(chan struct{}, 3)

// runInParallel lets a subtest run in parallel with its siblings, within clusterSlots.
func runInParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// callsTo returns a function that makes calls to a path, each with a body of its
// own, so that a response to another call is noticed.
func callsTo(path string, service time.Duration) func(number int) harness.Call {
	return func(number int) harness.Call {
		id := fmt.Sprintf("%s-%d", path[1:], number)
		return harness.Call{
			ID: id, Path: path, Body: []byte("body of " + id), Deadline: deadline, Service: service,
		}
	}
}

// assertWhole fails the test unless an answer is a complete echo of its call.
func assertWhole(t *testing.T, answer harness.Answer) {
	t.Helper()
	if !answer.IsComplete() || !bytes.Equal(answer.Body, answer.Call.Body) {
		t.Errorf("incomplete answer: %s", answer)
	}
}

// assertAllWhole fails the test unless all answers are complete echoes of their calls.
func assertAllWhole(t *testing.T, answers []harness.Answer) {
	t.Helper()
	failed := 0
	for _, answer := range answers {
		if answer.IsComplete() && bytes.Equal(answer.Body, answer.Call.Body) {
			continue
		}
		failed++
		if failed <= maxListedFailures {
			t.Errorf("incomplete answer: %s", answer)
		}
	}
	if failed > maxListedFailures {
		t.Errorf("%d of %d answers are incomplete", failed, len(answers))
	}
}

// assertOutcomesTrue fails the test if what callers were told contradicts what the
// runners executed: a request that isn't idempotent ran more than once, a request
// that was reported as not run did run, a request with a complete answer never ran
// or got another request's answer, or a request was refused without an outcome.
func assertOutcomesTrue(t *testing.T, answers []harness.Answer, executions map[string]int) {
	t.Helper()
	failed := 0
	for _, answer := range answers {
		problem := outcomeError(answer, executions[answer.Call.ID])
		if problem == "" {
			continue
		}
		failed++
		if failed <= maxListedFailures {
			t.Errorf("%s: %s", problem, answer)
		}
	}
	if failed > maxListedFailures {
		t.Errorf("%d of %d answers contradict the executions", failed, len(answers))
	}
}

// outcomeError returns how an answer contradicts the number of times that the
// answered request ran, or "" if there is no contradiction.
func outcomeError(answer harness.Answer, runs int) string {
	switch {
	case answer.Call.Path != harness.PathIdempotent && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case answer.Outcome == harness.OutcomeNotRun && runs > 0:
		return fmt.Sprintf("reported as not run, but ran %d times", runs)
	case answer.IsComplete() && runs == 0:
		return "answered, but never ran"
	case answer.IsComplete() && !bytes.Equal(answer.Body, answer.Call.Body):
		return "got another request's answer"
	case answer.Err == nil && answer.Status != http.StatusOK && answer.Outcome == "":
		return "refused without an outcome"
	default:
		return ""
	}
}

// assertWholePercent fails the test if less than the given percentage of the answers
// is complete.
func assertWholePercent(t *testing.T, answers []harness.Answer, percent int) {
	t.Helper()
	whole := 0
	outcomes := map[string]int{}
	for _, answer := range answers {
		if answer.IsComplete() {
			whole++
			continue
		}
		outcomes[fmt.Sprintf("status %d, outcome %q, broken: %t", answer.Status, answer.Outcome, answer.Err != nil)]++
	}
	t.Logf("%d of %d answers complete; others: %v", whole, len(answers), outcomes)
	if whole*100 < percent*len(answers) {
		t.Errorf("%d of %d answers are complete, want at least %d %%", whole, len(answers), percent)
	}
}
