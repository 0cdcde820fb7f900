package tails

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
)

// checkInterval is the time between two questions of the balancer whether a
// daemon is ready.
const checkInterval = 500 * time.Millisecond

// A balancer sends requests to daemons that are ready, as the platform does.
type balancer struct {
	daemons []*harness.Daemon
	ready   []atomic.Bool
	checks  sync.WaitGroup
	stop    context.CancelFunc
}

// newBalancer returns a balancer that asks daemons until Close.
func newBalancer(ctx context.Context, cluster []*harness.Daemon) *balancer {
	ctx, stop := context.WithCancel(ctx)
	b := &balancer{daemons: cluster, ready: make([]atomic.Bool, len(cluster)), stop: stop}
	for number := range cluster {
		b.ready[number].Store(true)
		b.checks.Go(func() { b.check(ctx, number) })
	}
	return b
}

// Close ends the questions.
func (b *balancer) Close() {
	b.stop()
	b.checks.Wait()
}

// check asks one daemon until the context ends.
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

// choose returns the daemon of a request: its own, or the next that is ready.
func (b *balancer) choose(a arrival) *harness.Daemon {
	for offset := range b.daemons {
		// Requests of a daemon that is away are spread over the others.
		step := offset * (1 + a.number%(len(b.daemons)-1))
		number := (a.daemon + step) % len(b.daemons)
		if b.ready[number].Load() {
			return b.daemons[number]
		}
	}
	return b.daemons[a.daemon]
}
