package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A route is a host's way to the runners of a pool, some of which it may not reach.
type route struct {
	*pool

	mu  sync.Mutex
	cut map[string]bool
}

// route returns the route of a host.
func (y *dynasty) route(host int) *route {
	if y.routes[host] == nil {
		y.routes[host] = &route{pool: y.pool, cut: make(map[string]bool)}
	}
	return y.routes[host]
}

// set cuts a host off from runners, or heals the cuts.
func (r *route) set(isCut bool, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.cut[id] = isCut
	}
}

func (r *route) isCut(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[id]
}

// Poll implements conductor.RunnerClient.
func (r *route) Poll(ctx context.Context, to dispatcher.RunnerInfo, poll conductor.Poll) (dispatcher.Report, error) {
	if r.isCut(to.ID) {
		<-ctx.Done()
		return dispatcher.Report{}, ctx.Err()
	}
	return r.pool.Poll(ctx, to, poll)
}

// Send implements conductor.RunnerClient.
func (r *route) Send(ctx context.Context, address string, order dispatcher.Order) conductor.OrderResult {
	if r.isCut(address) {
		<-ctx.Done()
		return conductor.OrderResult{Outcome: dispatcher.NotSent}
	}
	return r.pool.Send(ctx, address, order)
}

// poolIDs returns the names of the runners of a pool.
func poolIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	return ids
}

// runReach runs a test with an owner on host 0 and another daemon on host 1, beside eight runners.
func runReach(t *testing.T, test func(y *dynasty, ids []string)) {
	t.Helper()
	runDynasty(t, func(y *dynasty) {
		ids := poolIDs(8)
		y.pool = newPool(ids...)
		y.start(0)
		y.join(1)
		time.Sleep(2 * time.Second)
		test(y, ids)
	})
}

func (y *dynasty) assertOwner(host int, when string) {
	y.t.Helper()
	if got, want := y.daemons[0].elector.Current(0).Address, fmt.Sprintf("host%d:80", host); got != want {
		y.t.Errorf("owner at %s %s, want %s", got, when, want)
	}
}

// Load: an owner that reaches the store and none of the runners. Nothing of its part could
// start, for as long as that lasts.
func TestPartMovesToADaemonThatReachesItsRunners(t *testing.T) {
	t.Parallel()
	const wait = 15 * time.Second
	t.Run("no runner answers", func(t *testing.T) {
		t.Parallel()
		runReach(t, func(y *dynasty, ids []string) {
			y.route(0).set(true, ids...)
			time.Sleep(wait)
			y.assertOwner(1, "after the cut")
			c := y.daemons[1].conductors[0].Load()
			if c == nil {
				t.Fatal("host 1 does not serve the part")
			}
			c.Submit(&submitter.Submission{ID: "a", Queue: "q", Steps: []submitter.Step{{Count: 1, Resources: submitter.Resources{MilliCores: 1, MemoryMB: 1}}}})
			time.Sleep(wait)
			if on := y.pool.runsOn(); len(on) != 1 {
				t.Errorf("runs on %v, want one", on)
			}
		})
	})
	t.Run("not while some answer", func(t *testing.T) {
		t.Parallel()
		runReach(t, func(y *dynasty, ids []string) {
			y.route(0).set(true, ids[3:]...)
			time.Sleep(wait)
			y.assertOwner(0, "although three of eight answer")
		})
	})
	t.Run("not as the runners leave", func(t *testing.T) {
		t.Parallel()
		runReach(t, func(y *dynasty, ids []string) {
			for _, id := range ids {
				y.pool.leave(id)
			}
			time.Sleep(wait)
			y.assertOwner(0, "without runners")
		})
	})
	t.Run("seldom while nobody reaches them", func(t *testing.T) {
		t.Parallel()
		runReach(t, func(y *dynasty, ids []string) {
			before := y.daemons[0].elector.Current(0).Generation
			for host := range 2 {
				y.route(host).set(true, ids...)
			}
			time.Sleep(time.Minute)
			const most = 10
			if changes := y.daemons[0].elector.Current(0).Generation - before; changes > most {
				t.Errorf("%d changes of the owner in a minute, want at most %d", changes, most)
			}
			for host := range 2 {
				y.route(host).set(false, ids...)
			}
			time.Sleep(wait)
			after := y.daemons[0].elector.Current(0).Generation
			time.Sleep(wait)
			if now := y.daemons[0].elector.Current(0).Generation; now != after {
				t.Errorf("%d changes of the owner after the cut, want none", now-after)
			}
		})
	})
}
