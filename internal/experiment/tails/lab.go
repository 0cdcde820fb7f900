package tails

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

// A testbed holds the processes under test and the strategies that are
// compared.
type testbed struct {
	cluster  *harness.Cluster
	caller   *harness.Caller
	balancer *balancer
	hosts    []lister.Host // the runners
	// strategies are the compared strategies; the first is the perfect queue, with
	// which the others are compared.
	strategies []strategy
	// victim is the daemon that the faults of the present round kill or stop.
	victim *harness.Daemon
}

// newTestbed starts the processes, which are stopped when b is closed.
func newTestbed(ctx context.Context, b *harness.StandaloneTB) *testbed {
	cluster := harness.Start(b, harness.Options{Sites: []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: daemons / 2, Runners: runners / 2},
		{DataCentre: "ath-a", Region: "north-ga", Daemons: daemons / 2, Runners: runners / 2},
	}})
	t := &testbed{cluster: cluster, caller: harness.NewCaller(), hosts: runnerHosts(cluster)}
	b.Cleanup(t.caller.Close)
	t.balancer = newBalancer(ctx, cluster.Daemons)
	b.Cleanup(t.balancer.Close)
	addresses := make([]string, 0, len(t.hosts))
	for _, host := range t.hosts {
		addresses = append(addresses, host.Address)
	}
	t.strategies = []strategy{
		perfectQueue{newPool(t.caller, addresses)},
		throughDaemons{caller: t.caller, balancer: t.balancer},
		newRandomChoice(t.caller, addresses),
	}
	return t
}

// run sends the requests of a trace through one strategy, carries out the steps
// at their times and waits for all answers.
func (t *testbed) run(ctx context.Context, s strategy, trace []arrival, steps []step) []sample {
	samples := make([]sample, len(trace))
	begin := time.Now()
	var calls sync.WaitGroup
	calls.Go(func() {
		for n, a := range trace {
			due := begin.Add(a.due)
			time.Sleep(time.Until(due))
			calls.Go(func() { samples[n] = t.measure(ctx, s, a, due) })
		}
	})
	for _, next := range steps {
		time.Sleep(time.Until(begin.Add(next.at)))
		next.act(t, s)
	}
	calls.Wait()
	return samples
}

// measure sends one request and measures its latency from the time at which it
// was due.
func (t *testbed) measure(ctx context.Context, s strategy, a arrival, due time.Time) sample {
	answer := s.send(ctx, a, harness.Call{
		ID:       fmt.Sprintf("%s-%d-%d", s.name(), due.UnixNano(), a.number),
		Path:     harness.PathOnce,
		Body:     []byte("print"),
		Deadline: deadline,
		Service:  a.service,
	})
	latency := time.Since(due)
	return sample{arrival: a, sentAt: due, latency: latency, outcome: outcomeOf(answer, latency)}
}

// isThroughDaemons reports whether a strategy sends its requests through the
// daemons, so that faults of daemons affect it.
func isThroughDaemons(s strategy) bool {
	_, ok := s.(throughDaemons)
	return ok
}

// kill kills the victim if the strategy uses the daemons.
func (t *testbed) kill(s strategy) {
	if isThroughDaemons(s) {
		t.victim.Kill()
	}
}

// terminate begins the victim's graceful shutdown if the strategy uses the
// daemons.
func (t *testbed) terminate(s strategy) {
	if isThroughDaemons(s) {
		t.victim.Terminate()
	}
}

// join restarts the victim if the strategy uses the daemons.
func (t *testbed) join(s strategy) {
	if isThroughDaemons(s) {
		t.cluster.Restart(t.victim)
	}
}

// setFaulty sets the faults of the first runner and tells the strategy whether
// that runner is faulty.
func (t *testbed) setFaulty(s strategy, faults runner.Faults, isFaulty bool) {
	const faultyRunner = 0
	t.cluster.SetRunnerFaults(runner.FaultsRequest{Runner: t.hosts[faultyRunner].Name, Faults: faults})
	s.setFaulty(faultyRunner, isFaulty)
}

// restore restarts the victim if it is not running.
func (t *testbed) restore() {
	if !t.victim.Running() {
		t.cluster.Restart(t.victim)
	}
}
