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

// mixedRequestsVariable is the environment variable that sets the number of
// requests of TestMixedFaults.
const mixedRequestsVariable = "KUMQUAT_MIXED_REQUESTS"

const (
	// mixedRequests is the number of requests if mixedRequestsVariable isn't set.
	mixedRequests = 6000
	// mixedRate is the number of requests per second.
	mixedRate = 500
	// mixedSeed is the seed of the random sequence of faults.
	mixedSeed = 11
	// faultDuration is how long each fault lasts.
	faultDuration = 2 * time.Second
)

// A fault is one fault of a random sequence, with how it begins and ends.
type fault struct {
	name  string
	begin func()
	end   func()
}

// faultsOf returns the faults that can be injected into a cluster; the first three
// are losses of a daemon. The balancer stops sending to a lost daemon at once.
func faultsOf(cluster *harness.Cluster, target *harness.Target, random *rand.Rand) []fault {
	chooseDaemon := func() *harness.Daemon {
		daemon := cluster.Daemons[random.IntN(len(cluster.Daemons))]
		target.Set(cluster.Others(daemon)...)
		return daemon
	}
	var lost *harness.Daemon
	restart := func() {
		cluster.Restart(lost)
		target.Set(cluster.Daemons...)
	}
	faultyRunner := fmt.Sprintf("atl-a-runner-%d", random.IntN(4))
	storeFault := func(faults keyvalue.Faults) func() { return func() { cluster.SetStoreFaults(faults) } }
	runnerFault := func(faults runner.Faults) func() {
		return func() { cluster.SetRunnerFaults(runner.FaultsRequest{Runner: faultyRunner, Faults: faults}) }
	}
	return []fault{
		{"kill", func() { lost = chooseDaemon(); lost.Kill() }, restart},
		{"pause", func() { lost = chooseDaemon(); lost.Pause() }, func() { lost.Resume(); target.Set(cluster.Daemons...) }},
		{"graceful shutdown", func() { lost = chooseDaemon(); lost.Terminate() }, restart},
		{"store unavailable", storeFault(keyvalue.Faults{Outage: true}), storeFault(keyvalue.Faults{})},
		{"store hangs", storeFault(keyvalue.Faults{Outage: true, Hang: true}), storeFault(keyvalue.Faults{})},
		{"store loses responses", storeFault(keyvalue.Faults{LoseAnswersPercent: 40}), storeFault(keyvalue.Faults{})},
		{"runner truncates responses", runnerFault(runner.Faults{TruncatePercent: 50}), runnerFault(runner.Faults{})},
		{"runner fails requests", runnerFault(runner.Faults{FailPercent: 100}), runnerFault(runner.Faults{})},
		{"runner closes connections", runnerFault(runner.Faults{ClosePercent: 50}), runnerFault(runner.Faults{})},
		{"runner hangs", runnerFault(runner.Faults{HangPercent: 20}), runnerFault(runner.Faults{})},
		{"runner is slow", runnerFault(runner.Faults{SlowPercent: 1000}), runnerFault(runner.Faults{})},
	}
}

// TestMixedFaults checks the outcomes of requests of three routes during a random
// sequence of faults: each time the loss of a daemon together with a fault of the
// store or of a runner.
func TestMixedFaults(t *testing.T) {
	requests := mixedRequests
	if given := os.Getenv(mixedRequestsVariable); given != "" {
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
		faults := faultsOf(cluster, target, random)
		first := faults[random.IntN(3)]
		second := faults[3+random.IntN(len(faults)-3)]
		t.Logf("after %d answers: %s and %s", load.Count(), first.name, second.name)
		second.begin()
		first.begin()
		time.Sleep(faultDuration)
		second.end()
		first.end()
		awaitMoreAnswers(t, load, mixedRate)
	}
	stopAndCheck(t, cluster, load, 80)
}

// mixedCall returns a request of one of three routes; some have large bodies.
func mixedCall(number int) harness.Call {
	paths := []string{harness.PathOnce, harness.PathOnce, harness.PathIdempotent, harness.PathKeyed}
	call := callsTo(paths[number%len(paths)], 5*time.Millisecond)(number)
	call.Deadline = 2 * time.Second
	if call.Path == harness.PathKeyed {
		call.Key = call.ID
	}
	if number%50 == 0 {
		call.Body = append(call.Body, make([]byte, 200_000)...)
	}
	return call
}
