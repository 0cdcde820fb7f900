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

// A lab is the processes under test with the ways that are compared.
type lab struct {
	cluster  *harness.Cluster
	caller   *harness.Caller
	balancer *balancer
	hosts    []lister.Host
	// ways are compared with the first.
	ways []way
	// victim is the daemon that faults concern.
	victim *harness.Daemon
}

// newLab starts the processes. They end with the bench.
func newLab(ctx context.Context, b *harness.Bench) *lab {
	cluster := harness.Start(b, harness.Options{Sites: []harness.Site{
		{DataCentre: "atl-a", Region: "north-ga", Daemons: daemons / 2, Runners: runners / 2},
		{DataCentre: "ath-a", Region: "north-ga", Daemons: daemons / 2, Runners: runners / 2},
	}})
	l := &lab{cluster: cluster, caller: harness.NewCaller(), hosts: runnerHosts(cluster)}
	b.Cleanup(l.caller.Close)
	l.balancer = newBalancer(ctx, cluster.Daemons)
	b.Cleanup(l.balancer.Close)
	addresses := make([]string, 0, len(l.hosts))
	for _, host := range l.hosts {
		addresses = append(addresses, host.Address)
	}
	l.ways = []way{
		perfectQueue{newPool(l.caller, addresses)},
		throughDaemons{caller: l.caller, balancer: l.balancer},
		newRandomChoice(l.caller, addresses),
	}
	return l
}

// run offers a trace to one way, carries the steps out and waits for all
// answers.
func (l *lab) run(ctx context.Context, w way, trace []arrival, steps []step) []sample {
	samples := make([]sample, len(trace))
	begin := time.Now()
	var calls sync.WaitGroup
	calls.Go(func() {
		for n, a := range trace {
			due := begin.Add(a.due)
			time.Sleep(time.Until(due))
			calls.Go(func() { samples[n] = l.measure(ctx, w, a, due) })
		}
	})
	for _, each := range steps {
		time.Sleep(time.Until(begin.Add(each.at)))
		each.act(l, w)
	}
	calls.Wait()
	return samples
}

// measure sends one request.
func (l *lab) measure(ctx context.Context, w way, a arrival, due time.Time) sample {
	answer := w.send(ctx, a, harness.Call{
		ID:       fmt.Sprintf("%s-%d-%d", w.name(), due.UnixNano(), a.number),
		Path:     harness.PathOnce,
		Body:     []byte("print"),
		Deadline: deadline,
		Service:  a.service,
	})
	latency := time.Since(due)
	return sample{arrival: a, sentAt: due, latency: latency, outcome: outcomeOf(answer, latency)}
}

// isThroughDaemons reports whether a fault of a daemon concerns a way.
func isThroughDaemons(w way) bool {
	_, ok := w.(throughDaemons)
	return ok
}

// kill kills the victim.
func (l *lab) kill(w way) {
	if isThroughDaemons(w) {
		l.victim.Kill()
	}
}

// terminate begins the victim's planned stop.
func (l *lab) terminate(w way) {
	if isThroughDaemons(w) {
		l.victim.Terminate()
	}
}

// join starts the victim again.
func (l *lab) join(w way) {
	if isThroughDaemons(w) {
		l.cluster.Restart(l.victim)
	}
}

// sicken makes the first runner sick or well again.
func (l *lab) sicken(w way, faults runner.Faults, isSick bool) {
	const sick = 0
	l.cluster.SetRunnerFaults(runner.FaultsRequest{Runner: l.hosts[sick].Name, Faults: faults})
	w.sicken(sick, isSick)
}

// restore starts the victim again if it was killed.
func (l *lab) restore() {
	if !l.victim.Running() {
		l.cluster.Restart(l.victim)
	}
}
