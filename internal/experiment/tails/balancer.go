package tails

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// checkInterval is the time between two readiness checks of a daemon.
const checkInterval = 500 * time.Millisecond

// A balancer chooses a ready daemon for each request, as the platform's load
// balancer does.
type balancer struct {
	daemons []*harness.Daemon
	ready   []atomic.Bool
	checks  sync.WaitGroup
	stop    context.CancelFunc
}

// newBalancer returns a balancer that checks the readiness of the daemons until
// Close is called.
func newBalancer(ctx context.Context, cluster []*harness.Daemon) *balancer {
	ctx, stop := context.WithCancel(ctx)
	b := &balancer{daemons: cluster, ready: make([]atomic.Bool, len(cluster)), stop: stop}
	for number := range cluster {
		b.ready[number].Store(true)
		b.checks.Go(func() { b.check(ctx, number) })
	}
	return b
}

// Close stops the readiness checks.
func (b *balancer) Close() {
	b.stop()
	b.checks.Wait()
}

// check polls the readiness of one daemon until the context ends.
func (b *balancer) check(ctx context.Context, number int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.ready[number].Store(b.daemons[number].Ready(ctx))
		}
	}
}

// choose returns the daemon that is assigned to a request, or another one that
// is ready if that daemon is not.
func (b *balancer) choose(a arrival) *harness.Daemon {
	for offset := range b.daemons {
		// The step depends on the request, so that the requests of a daemon that
		// is not ready are spread over the others.
		step := offset * (1 + a.number%(len(b.daemons)-1))
		number := (a.daemon + step) % len(b.daemons)
		if b.ready[number].Load() {
			return b.daemons[number]
		}
	}
	return b.daemons[a.daemon]
}
