package urgent

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// outageLength is longer than the leases of the daemons.
const outageLength = 10 * time.Second

// TestStoreOutage takes the store away for longer than leases last. Requests
// without a key go on; those with a key are not run, and say so.
func TestStoreOutage(t *testing.T) {
	cluster := startSites(t, harness.Site{Daemons: 2, Runners: 2},
		harness.Site{DataCentre: "ath-a", Region: "north-ga", Daemons: 1, Runners: 2}, "--mean", "5ms")
	warmUp(cluster, t, 500)

	cluster.SetStoreFaults(keyvalue.Faults{Outage: true, LapseDuringOutage: true})
	during := startLoad(cluster, t)
	time.Sleep(outageLength)
	answers := during.Stop()
	t.Run("requests without a key go on", func(t *testing.T) {
		assertShare(t, answers, 0.95, func(a harness.Answer) bool { return a.Call.Key == "" }, harness.Answer.Whole)
	})
	executions := cluster.Executions()
	t.Run("requests with a key are not run", func(t *testing.T) {
		assertShare(t, answers, 1, func(a harness.Answer) bool { return a.Call.Key != "" },
			func(a harness.Answer) bool { return executions[a.Call.ID] == 0 && isHeldBack(a) })
	})
	assertTruth(t, answers, executions)

	cluster.SetStoreFaults(keyvalue.Faults{})
	t.Run("keys can be claimed again", func(t *testing.T) {
		caller := harness.NewCaller()
		defer caller.Close()
		number := 0
		harness.Eventually(t, 30*time.Second, "a keyed request is answered", func() bool {
			number++
			call := callOf(3)
			call.ID, call.Key = fmt.Sprintf("after-%d", number), fmt.Sprintf("after-%d", number)
			return caller.Do(t.Context(), cluster.Daemons[0], call).Whole()
		})
	})
	cluster.AssertNoBreach()
}

// isHeldBack reports whether a caller was told that the request was not run, or
// that another one with its key waits.
func isHeldBack(answer harness.Answer) bool {
	return answer.Outcome == harness.OutcomeNotRun || answer.Status == http.StatusConflict
}

// loads counts the loads of this process, so that their ids differ.
var loads int

func startLoad(cluster *harness.Cluster, t *testing.T) *harness.Load {
	t.Helper()
	loads++
	prefix := fmt.Sprintf("l%d-", loads)
	target := harness.NewTarget(cluster.Daemons...)
	return harness.StartLoad(t, 200, func(number int) harness.Call {
		call := callOf(number)
		call.ID = prefix + call.ID
		if call.Key != "" {
			call.Key = prefix + call.Key
		}
		return call
	}, target.Choose)
}

// warmUp sends requests until so many are answered.
func warmUp(cluster *harness.Cluster, t *testing.T, count int) []harness.Answer {
	t.Helper()
	load := startLoad(cluster, t)
	awaitCount(t, load, count)
	return load.Stop()
}

// assertShare checks that a share of some answers holds.
func assertShare(t *testing.T, answers []harness.Answer, least float64, counts, holds func(harness.Answer) bool) {
	t.Helper()
	all, good := 0, 0
	others := make(map[string]int)
	for _, answer := range answers {
		if !counts(answer) {
			continue
		}
		all++
		if holds(answer) {
			good++
			continue
		}
		others[fmt.Sprintf("%s %d", answer.Outcome, answer.Status)]++
	}
	if all == 0 || float64(good) < least*float64(all) {
		t.Errorf("%d of %d; others: %v", good, all, others)
	}
}
