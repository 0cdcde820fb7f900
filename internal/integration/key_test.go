package integration

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// An order is one keyed request and the answers to the attempts at the request, which
// a caller sends through several daemons.
type order struct {
	number  int
	answers []harness.Answer
}

// placeOrders sends orders and returns them with their answers. All attempts at an
// order have the same key and go through all daemons at the same time.
func placeOrders(t *testing.T, cluster *harness.Cluster, orders int) []order {
	t.Helper()
	caller := harness.NewCaller()
	defer caller.Close()
	placed := make([]order, orders)
	var group sync.WaitGroup
	for number := range placed {
		placed[number] = order{number: number, answers: make([]harness.Answer, len(cluster.Daemons))}
		for attempt, daemon := range cluster.Daemons {
			group.Go(func() {
				placed[number].answers[attempt] = caller.Do(context.Background(), daemon, orderCall(number, attempt))
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	return placed
}

// orderCall returns one attempt at an order; all attempts have the same key.
func orderCall(number, attempt int) harness.Call {
	return harness.Call{
		ID:       fmt.Sprintf("order-%d-%d", number, attempt),
		Path:     harness.PathKeyed,
		Key:      fmt.Sprintf("key-%d", number),
		Body:     fmt.Appendf(nil, "order %d", number),
		Deadline: deadline,
		Service:  10 * time.Millisecond,
	}
}

// assertRanAtMostOnce fails the test if an order ran more than once, if a complete
// answer belongs to another request, or if an outcome contradicts the executions.
func assertRanAtMostOnce(t *testing.T, placed []order, executions map[string]int) {
	t.Helper()
	outcomes := map[string]int{}
	for _, each := range placed {
		runs, whole, notRun := 0, 0, 0
		for _, answer := range each.answers {
			runs += executions[answer.Call.ID]
			outcomes[fmt.Sprintf("status %d, outcome %q", answer.Status, answer.Outcome)]++
			if answer.IsComplete() {
				whole++
				if !bytes.Equal(answer.Body, answer.Call.Body) {
					t.Errorf("got another request's answer: %s", answer)
				}
			}
			if answer.Outcome == harness.OutcomeNotRun {
				notRun++
			}
			if answer.Outcome == harness.OutcomeNotRun && executions[answer.Call.ID] > 0 {
				t.Errorf("reported as not run, but ran: %s", answer)
			}
		}
		if runs > 1 || (whole > 0 && runs == 0) || (notRun == len(each.answers) && runs > 0) {
			t.Errorf("order %d ran %d times, %d complete answers, %d reported as not run", each.number, runs, whole, notRun)
		}
	}
	t.Logf("%v", outcomes)
}

// assertAllAnswered fails the test unless each order has a complete answer.
func assertAllAnswered(t *testing.T, placed []order) {
	t.Helper()
	for _, each := range placed {
		whole := 0
		for _, answer := range each.answers {
			if answer.IsComplete() {
				whole++
			}
		}
		if whole == 0 {
			t.Errorf("order %d has no complete answer: %v", each.number, each.answers)
		}
	}
}

// TestKeys checks that a request runs at most once though attempts with its key
// arrive at three daemons at the same time, also while the store fails or a daemon
// is killed.
func TestKeys(t *testing.T) {
	t.Run("without faults", func(t *testing.T) {
		cluster := harness.Start(t, harness.Options{Sites: northGA})
		awaitAnswers(t, cluster)
		placed := placeOrders(t, cluster, 100)
		assertRanAtMostOnce(t, placed, cluster.Executions())
		assertAllAnswered(t, placed)
		t.Run("later attempts don't run again", func(t *testing.T) {
			caller := harness.NewCaller()
			defer caller.Close()
			for attempt, daemon := range cluster.Daemons {
				call := orderCall(0, 10+attempt)
				assertWhole(t, caller.Do(t.Context(), daemon, call))
				if runs := cluster.Executions()[call.ID]; runs > 0 {
					t.Errorf("%s ran again", call.ID)
				}
			}
		})
		cluster.AssertNoBreach()
	})
	t.Run("the store loses responses", func(t *testing.T) {
		cluster := harness.Start(t, harness.Options{Sites: northGA})
		awaitAnswers(t, cluster)
		cluster.SetStoreFaults(keyvalue.Faults{LoseAnswersPercent: 30})
		placed := placeOrders(t, cluster, 200)
		cluster.SetStoreFaults(keyvalue.Faults{})
		assertRanAtMostOnce(t, placed, cluster.Executions())
		cluster.AssertNoBreach()
	})
	t.Run("the store is unavailable", func(t *testing.T) {
		cluster := harness.Start(t, harness.Options{Sites: northGA})
		awaitAnswers(t, cluster)
		cluster.SetStoreFaults(keyvalue.Faults{Outage: true})
		placed := placeOrders(t, cluster, 50)
		cluster.SetStoreFaults(keyvalue.Faults{})
		assertRanAtMostOnce(t, placed, cluster.Executions())
		cluster.AssertNoBreach()
	})
	t.Run("a daemon is killed and the caller retries", func(t *testing.T) {
		cluster := harness.Start(t, harness.Options{Sites: northGA})
		awaitAnswers(t, cluster)
		time.AfterFunc(400*time.Millisecond, cluster.Daemons[0].Kill)
		placed := placeOrders(t, cluster, 200)
		time.Sleep(5 * time.Second)
		again := repeatOrders(t, cluster.Daemons[1], placed)
		assertRanAtMostOnce(t, again, cluster.Executions())
		cluster.AssertNoBreach()
	})
}

// repeatOrders sends another attempt at each order through one daemon and adds the
// answers.
func repeatOrders(t *testing.T, daemon *harness.Daemon, placed []order) []order {
	t.Helper()
	caller := harness.NewCaller()
	defer caller.Close()
	for number := range placed {
		answer := caller.Do(t.Context(), daemon, orderCall(number, len(placed[number].answers)))
		placed[number].answers = append(placed[number].answers, answer)
	}
	return placed
}
