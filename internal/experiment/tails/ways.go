package tails

import (
	"context"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// A way carries requests to runners.
type way interface {
	// name returns the way's name.
	name() string
	// send carries one request out and returns its answer.
	send(ctx context.Context, a arrival, call harness.Call) harness.Answer
	// sicken tells that a runner is sick, or no longer.
	sicken(runner int, sick bool)
}

// perfectQueue is one queue that knows all slots at once, which is the bound.
// It avoids a sick runner from the first moment.
type perfectQueue struct{ *pool }

var _ way = perfectQueue{}

func (perfectQueue) name() string                     { return "perfect queue" }
func (q perfectQueue) sicken(runner int, isSick bool) { q.setClosed(runner, isSick) }

// randomChoice sends each request to a random runner, before which it waits.
type randomChoice struct{ pools []*pool }

var _ way = randomChoice{}

func newRandomChoice(caller *harness.Caller, addresses []string) (choice randomChoice) {
	for runner := range addresses {
		choice.pools = append(choice.pools, newPool(caller, addresses[runner:runner+1]))
	}
	return choice
}

func (randomChoice) name() string     { return "random choice" }
func (randomChoice) sicken(int, bool) {}
func (c randomChoice) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	return c.pools[a.runner].send(ctx, a, call)
}

// throughDaemons sends each request to the daemon that the balancer chooses.
type throughDaemons struct {
	caller   *harness.Caller
	balancer *balancer
}

var _ way = throughDaemons{}

func (throughDaemons) name() string     { return "daemons" }
func (throughDaemons) sicken(int, bool) {}
func (d throughDaemons) send(ctx context.Context, a arrival, call harness.Call) harness.Answer {
	return d.caller.Do(ctx, d.balancer.choose(a), call)
}

// runnerHosts returns the runners under their own addresses.
func runnerHosts(cluster *harness.Cluster) (hosts []lister.Host) {
	for _, host := range cluster.Hosts() {
		if host.Kind == lister.KindRunner {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
