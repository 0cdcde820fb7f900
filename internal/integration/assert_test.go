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
	// deadline is that of requests which should all be answered.
	deadline = 5 * time.Second
	// shown bounds the failures listed by one assertion.
	shown = 10
)

// northGA is one data centre with three daemons.
var northGA = []harness.Site{{DataCentre: "atl-a", Region: "north-ga", Daemons: 3, Workers: 3, Runners: 4}}

// twoRegions is one data centre in each of two regions; the store is in the first.
var twoRegions = []harness.Site{
	{DataCentre: "atl-a", Region: "north-ga", Daemons: 2, Workers: 2, Runners: 2},
	{DataCentre: "sav-a", Region: "south-ga", Daemons: 2, Workers: 2, Runners: 2},
}

// together bounds the clusters that run at the same time in parallel subtests.
var together = make(chan struct{}, 3)

// parallel lets a subtest run beside its siblings, up to the bound.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	together <- struct{}{}
	t.Cleanup(func() { <-together })
}

// callOf returns a call whose body names it.
func callOf(path string, service time.Duration) func(number int) harness.Call {
	return func(number int) harness.Call {
		id := fmt.Sprintf("%s-%d", path[1:], number)
		return harness.Call{
			ID: id, Path: path, Body: []byte("body of " + id), Deadline: deadline, Service: service,
		}
	}
}

// assertWhole fails the test unless an answer is the whole echo of its call.
func assertWhole(t *testing.T, answer harness.Answer) {
	t.Helper()
	if !answer.Whole() || !bytes.Equal(answer.Body, answer.Call.Body) {
		t.Errorf("no whole answer: %s", answer)
	}
}

// assertAllWhole fails the test unless all answers are whole.
func assertAllWhole(t *testing.T, answers []harness.Answer) {
	t.Helper()
	failed := 0
	for _, answer := range answers {
		if answer.Whole() && bytes.Equal(answer.Body, answer.Call.Body) {
			continue
		}
		failed++
		if failed <= shown {
			t.Errorf("no whole answer: %s", answer)
		}
	}
	if failed > shown {
		t.Errorf("%d of %d answers are not whole", failed, len(answers))
	}
}

// assertHonest fails the test if a request ran more than once, if a request
// that was said not to have run did, if a whole answer is another request's,
// or if a request with a whole answer never ran.
func assertHonest(t *testing.T, answers []harness.Answer, executions map[string]int) {
	t.Helper()
	failed := 0
	for _, answer := range answers {
		problem := dishonesty(answer, executions[answer.Call.ID])
		if problem == "" {
			continue
		}
		failed++
		if failed <= shown {
			t.Errorf("%s: %s", problem, answer)
		}
	}
	if failed > shown {
		t.Errorf("%d of %d answers are not honest", failed, len(answers))
	}
}

// dishonesty returns what is wrong with an answer to a request that ran a
// number of times, or "".
func dishonesty(answer harness.Answer, runs int) string {
	switch {
	case answer.Call.Path != harness.PathIdempotent && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case answer.Outcome == harness.OutcomeNotRun && runs > 0:
		return fmt.Sprintf("said not to have run, ran %d times", runs)
	case answer.Whole() && runs == 0:
		return "answered without running"
	case answer.Whole() && !bytes.Equal(answer.Body, answer.Call.Body):
		return "got another answer"
	case answer.Err == nil && answer.Status != http.StatusOK && answer.Outcome == "":
		return "refused without an outcome"
	default:
		return ""
	}
}

// assertMostlyWhole fails the test if too few answers are whole.
func assertMostlyWhole(t *testing.T, answers []harness.Answer, percent int) {
	t.Helper()
	whole := 0
	outcomes := map[string]int{}
	for _, answer := range answers {
		if answer.Whole() {
			whole++
			continue
		}
		outcomes[fmt.Sprintf("status %d, outcome %q, broken: %t", answer.Status, answer.Outcome, answer.Err != nil)]++
	}
	t.Logf("%d of %d answers whole; others: %v", whole, len(answers), outcomes)
	if whole*100 < percent*len(answers) {
		t.Errorf("%d of %d answers whole, want %d %%", whole, len(answers), percent)
	}
}
