package tails

import (
	"context"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// A strategy decides which runner serves a request.
type strategy interface {
	// name returns the strategy's name in the report.
	name() string
	// send sends one request and returns its answer.
	send(ctx context.Context, a arrival, call harness.Call) harness.Answer
	// setFaulty tells the strategy whether a runner is faulty.
	setFaulty(runner int, isFaulty bool)
}

// perfectQueue is a single queue that knows the state of all slots without delay and
// sends no request to a faulty runner from the start of the fault. The response times
// of this strategy are the bound with which the others are compared.
type perfectQueue struct{ *pool }

var _ strategy = perfectQueue{}

func (perfectQueue) name() string                          { return "perfect queue" }
func (q perfectQueue) setFaulty(runner int, isFaulty bool) { q.setExcluded(runner, isFaulty) }

// randomChoice sends each request to a random runner. A request waits in the
// queue of that runner.
type randomChoice struct{ pools []*pool }

var _ strategy = randomChoice{}

func newRandomChoice(caller *harness.Caller, addresses []string) (choice randomChoice) {
	for runner := range addresses {
		choice.pools = append(choice.pools, newPool(caller, addresses[runner:runner+1]))
	}
	return choice
}

func (randomChoice) name() string        { return "random choice" }
func (randomChoice) setFaulty(int, bool) {}
func (c randomChoice) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	return c.pools[a.runner].send(ctx, a, call)
}

// throughDaemons sends each request to the daemon that the balancer chooses.
type throughDaemons struct {
	caller   *harness.Caller
	balancer *balancer
}

var _ strategy = throughDaemons{}

func (throughDaemons) name() string        { return "daemons" }
func (throughDaemons) setFaulty(int, bool) {}
func (d throughDaemons) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	return d.caller.Do(ctx, d.balancer.choose(a), call)
}

// runnerHosts returns the runners of a cluster with the runners' own addresses.
func runnerHosts(cluster *harness.Cluster) (hosts []lister.Host) {
	for _, host := range cluster.Hosts() {
		if host.Kind == lister.KindRunner {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
