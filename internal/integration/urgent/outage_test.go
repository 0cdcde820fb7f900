package urgent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// outageDuration is longer than the daemons' leases.
const outageDuration = 10 * time.Second

// TestStoreOutage checks requests while the store is unavailable for longer than the
// leases. Requests without a key are still answered; those with a key don't run, as
// keys can't be claimed, and their callers are told so.
func TestStoreOutage(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 2, Runners: 2},
		harness.Site{DataCentre: "ath-a", Region: "north-ga", Daemons: 1, Runners: 2}, "--mean", "5ms")
	warmUp(cluster, t, 500)

	cluster.SetStoreFaults(keyvalue.Faults{Outage: true, LapseDuringOutage: true})
	load := startLoad(cluster, t)
	time.Sleep(outageDuration)
	answers := load.Stop()
	t.Run("requests without a key are answered", func(t *testing.T) {
		assertShare(t, answers, 0.95, func(a harness.Answer) bool { return a.Call.Key == "" }, harness.Answer.IsComplete)
	})
	executions := cluster.Executions()
	t.Run("requests with a key are not run", func(t *testing.T) {
		assertShare(t, answers, 1, func(a harness.Answer) bool { return a.Call.Key != "" },
			func(a harness.Answer) bool { return executions[a.Call.ID] == 0 && isNotRunOrInProgress(a) })
	})
	assertOutcomesTrue(t, answers, executions)

	cluster.SetStoreFaults(keyvalue.Faults{})
	t.Run("keys can be claimed again", func(t *testing.T) {
		caller := harness.NewCaller()
		defer caller.Close()
		number := 0
		harness.Eventually(t, 30*time.Second, "a keyed request is answered", func() bool {
			number++
			call := mixedCall(3)
			call.ID, call.Key = fmt.Sprintf("after-%d", number), fmt.Sprintf("after-%d", number)
			return caller.Do(t.Context(), cluster.Daemons[0], call).IsComplete()
		})
	})
	cluster.AssertNoBreach()
}

// isNotRunOrInProgress reports whether a caller was told that its request didn't run,
// or that another request with its key is in progress.
func isNotRunOrInProgress(answer harness.Answer) bool {
	return answer.Outcome == harness.OutcomeNotRun || answer.Status == http.StatusConflict
}

// loadCount is the number of loads started by this process, which makes their ids
// unique.
var loadCount int

// startLoad starts a load of mixed calls through all daemons, with ids and keys of
// its own.
func startLoad(cluster *harness.Cluster, t *testing.T) *harness.Load {
	t.Helper()
	loadCount++
	prefix := fmt.Sprintf("l%d-", loadCount)
	target := harness.NewTarget(cluster.Daemons...)
	return harness.StartLoad(t, 200, func(number int) harness.Call {
		call := mixedCall(number)
		call.ID = prefix + call.ID
		if call.Key != "" {
			call.Key = prefix + call.Key
		}
		return call
	}, target.Choose)
}

// warmUp sends requests until a number of them is answered, and returns the answers.
func warmUp(cluster *harness.Cluster, t *testing.T, count int) []harness.Answer {
	t.Helper()
	load := startLoad(cluster, t)
	awaitCount(t, load, count)
	return load.Stop()
}

// assertShare fails the test unless accepts holds for at least a share of the answers
// for which selects holds, or if selects holds for no answer.
func assertShare(t *testing.T, answers []harness.Answer, least float64, selects, accepts func(harness.Answer) bool) {
	t.Helper()
	selected, accepted := 0, 0
	others := make(map[string]int)
	for _, answer := range answers {
		if !selects(answer) {
			continue
		}
		selected++
		if accepts(answer) {
			accepted++
			continue
		}
		others[fmt.Sprintf("%s %d", answer.Outcome, answer.Status)]++
	}
	if selected == 0 || float64(accepted) < least*float64(selected) {
		t.Errorf("%d of %d answers accepted; others: %v", accepted, selected, others)
	}
}
