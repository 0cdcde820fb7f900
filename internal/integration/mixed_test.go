package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// mixedVariable is the environment variable that sets the number of requests
// of TestMixedFaults.
const mixedVariable = "KUMQUAT_MIXED_REQUESTS"

const (
	// mixedRequests is the number of requests without mixedVariable.
	mixedRequests = 6000
	// mixedRate is the number of requests per second.
	mixedRate = 500
	// mixedSeed fixes the order of the faults.
	mixedSeed = 11
	// faultTime is how long each fault lasts.
	faultTime = 2 * time.Second
)

// A mishap is one fault of a mixed course and its end.
type mishap struct {
	name  string
	begin func()
	end   func()
}

// mishapsOf returns the faults that may befall a cluster. The balancer notices
// the loss of a daemon as soon as it happens.
func mishapsOf(cluster *harness.Cluster, target *harness.Target, random *rand.Rand) []mishap {
	victim := func() *harness.Daemon {
		daemon := cluster.Daemons[random.IntN(len(cluster.Daemons))]
		target.Set(cluster.Others(daemon)...)
		return daemon
	}
	var lost *harness.Daemon
	restart := func() {
		cluster.Restart(lost)
		target.Set(cluster.Daemons...)
	}
	sick := fmt.Sprintf("atl-a-runner-%d", random.IntN(4))
	store := func(faults keyvalue.Faults) func() { return func() { cluster.SetStoreFaults(faults) } }
	ill := func(faults runner.Faults) func() {
		return func() { cluster.SetRunnerFaults(runner.FaultsRequest{Runner: sick, Faults: faults}) }
	}
	return []mishap{
		{"kill", func() { lost = victim(); lost.Kill() }, restart},
		{"pause", func() { lost = victim(); lost.Pause() }, func() { lost.Resume(); target.Set(cluster.Daemons...) }},
		{"planned stop", func() { lost = victim(); lost.Terminate() }, restart},
		{"store out", store(keyvalue.Faults{Outage: true}), store(keyvalue.Faults{})},
		{"store hangs", store(keyvalue.Faults{Outage: true, Hang: true}), store(keyvalue.Faults{})},
		{"store loses answers", store(keyvalue.Faults{LoseAnswersPercent: 40}), store(keyvalue.Faults{})},
		{"runner truncates", ill(runner.Faults{TruncatePercent: 50}), ill(runner.Faults{})},
		{"runner fails", ill(runner.Faults{FailPercent: 100}), ill(runner.Faults{})},
		{"runner closes", ill(runner.Faults{ClosePercent: 50}), ill(runner.Faults{})},
		{"runner hangs", ill(runner.Faults{HangPercent: 20}), ill(runner.Faults{})},
		{"runner slows down", ill(runner.Faults{SlowPercent: 1000}), ill(runner.Faults{})},
	}
}

// TestMixedFaults sends requests of three routes under a random course of
// faults, two at a time.
func TestMixedFaults(t *testing.T) {
	requests := mixedRequests
	if given := os.Getenv(mixedVariable); given != "" {
		number, err := strconv.Atoi(given)
		if err != nil {
			t.Fatal(err)
		}
		requests = number
	}
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	awaitAnswers(t, cluster)
	awaitGuarantors(t, cluster, 2)
	random := rand.New(rand.NewPCG(mixedSeed, 0))
	target := harness.NewTarget(cluster.Daemons...)
	load := harness.StartLoad(t, mixedRate, mixedCall, target.Choose)
	for load.Count() < requests {
		mishaps := mishapsOf(cluster, target, random)
		first := mishaps[random.IntN(3)]
		second := mishaps[3+random.IntN(len(mishaps)-3)]
		t.Logf("after %d answers: %s and %s", load.Count(), first.name, second.name)
		second.begin()
		first.begin()
		time.Sleep(faultTime)
		second.end()
		first.end()
		awaitMore(t, load, mixedRate)
	}
	finish(t, cluster, load, 80)
}

// mixedCall returns a request of one of three routes, some with large bodies.
func mixedCall(number int) harness.Call {
	paths := []string{harness.PathOnce, harness.PathOnce, harness.PathIdempotent, harness.PathKeyed}
	call := callOf(paths[number%len(paths)], 5*time.Millisecond)(number)
	call.Deadline = 2 * time.Second
	if call.Path == harness.PathKeyed {
		call.Key = call.ID
	}
	if number%50 == 0 {
		call.Body = append(call.Body, make([]byte, 200_000)...)
	}
	return call
}
