package slots

import (
	"testing"
	"time"
)

// TestForwardingIsNearThePerfectQueue guards against a change of the picker, the
// forwarder or the queue that lets the p99 latency grow far beyond that of a
// perfect queue under the same load and faults.
func TestForwardingIsNearThePerfectQueue(t *testing.T) {
	for name, test := range map[string]struct {
		scenario Scenario
		most     float64
	}{
		"80 % load":        {Scenario{Seed: 1, Load: 0.8}, 1.1},
		"95 % load":        {Scenario{Seed: 1, Load: 0.95}, 1.3},
		"a daemon dies":    {Scenario{Seed: 1, Load: 0.8, Fault: DaemonDies}, 1.3},
		"a slow runner":    {Scenario{Seed: 1, Load: 0.8, Fault: RunnerSlow}, 1.3},
		"a failing runner": {Scenario{Seed: 1, Load: 0.8, Fault: RunnerFails}, 1.1},
		"another seed":     {Scenario{Seed: 2, Load: 0.95}, 1.3},
		"an idle service":  {Scenario{Seed: 1, Load: 0.2}, 1.1},
	} {
		t.Run(name, func(t *testing.T) {
			test.scenario.Duration = 5 * time.Second
			results := Compare(test.scenario)
			assertNear(t, results[1], results[0], test.most)
		})
	}
}

func assertNear(t *testing.T, got, bound Result, most float64) {
	t.Helper()
	if r := ratio(got, bound, 99); r > most {
		t.Errorf("p99 is %.2f times that of the perfect queue, want at most %.2f", r, most)
	}
	if got.Late > 0 {
		t.Errorf("%d requests were late", got.Late)
	}
}

// TestFailingRunnerAttractsNoLoad guards against a runner that fails requests
// immediately, therefore seems idle and gets more and more requests.
func TestFailingRunnerAttractsNoLoad(t *testing.T) {
	results := Compare(Scenario{Seed: 1, Load: 0.8, Duration: 8 * time.Second, Fault: RunnerFails})
	byName := make(map[string]int)
	for _, result := range results {
		byName[result.Policy] = result.Failed
	}
	if byName["owner with forwarding"]*10 > byName["random choice"] {
		t.Errorf("failed requests by policy: %v, want with forwarding at most a tenth of those with random choice", byName)
	}
}
