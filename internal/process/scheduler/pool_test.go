package scheduler

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// registryInterval is the time between two deliveries of a pool's registry.
const registryInterval = 300 * time.Millisecond

// poolLimits are the bounds of a platform whose runners are a pool.
var poolLimits = dispatcher.Limits{
	LeaseDuration: 4500 * time.Millisecond, MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, HarmAfter: 4500 * time.Millisecond,
	CrossRackSlowdown: 1.5,
}

// A pool is a set of runners in memory, and their registry.
type pool struct {
	began time.Time

	mu      sync.Mutex
	listed  []dispatcher.RunnerInfo
	gone    map[string]bool
	running map[string][]dispatcher.RunStatus
	// isFenced says that the next poll is refused for its fencing token.
	isFenced bool
	// lifetimes are the present incarnations, and tokens the highest fencing tokens that they
	// have seen. refused counts the calls with a lower one.
	lifetimes, tokens map[string]int64
	refused           int
}

// newPool returns a pool of runners with room for one task each.
func newPool(ids ...string) *pool {
	p := &pool{
		began: time.Now(), gone: make(map[string]bool), running: make(map[string][]dispatcher.RunStatus),
		lifetimes: make(map[string]int64), tokens: make(map[string]int64),
	}
	for _, id := range ids {
		p.join(id)
	}
	return p
}

// join adds a runner.
func (p *pool) join(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lifetimes[id] = 1
	p.listed = append(p.listed, dispatcher.RunnerInfo{
		ID: id, Service: "s", Address: id, DataCentre: "z", Lifetime: 1, Capacity: submitter.Resources{MilliCores: 1000, MemoryMB: 1000},
	})
}

// drain makes a runner say that it will leave.
func (p *pool) drain(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.listed {
		p.listed[i].Draining = p.listed[i].Draining || p.listed[i].ID == id
	}
}

// leave takes a runner away with all that runs there. Its address does not answer any more.
func (p *pool) leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone[id] = true
	delete(p.running, id)
	p.listed = slices.DeleteFunc(p.listed, func(r dispatcher.RunnerInfo) bool { return r.ID == id })
}

// restart starts the next incarnation of a runner, which runs nothing.
func (p *pool) restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lifetimes[id]++
	delete(p.running, id)
	delete(p.tokens, id)
	for i := range p.listed {
		if p.listed[i].ID == id {
			p.listed[i].Lifetime = p.lifetimes[id]
		}
	}
}

// accept reports whether a runner has seen no higher fencing token. p.mu must be held.
func (p *pool) accept(id string, token int64) bool {
	if token < p.tokens[id] {
		p.refused++
		return false
	}
	p.tokens[id] = token
	return true
}

// seen returns the highest fencing token that a runner's incarnation has seen, and how many
// calls all runners have refused.
func (p *pool) seen(id string) (token int64, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens[id], p.refused
}

// fence refuses the next poll for its fencing token, which ends its owner's term.
func (p *pool) fence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFenced = true
}

// runsOn returns the runners on which anything runs, sorted.
func (p *pool) runsOn() (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, runs := range p.running {
		if len(runs) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Count implements Registry.
func (p *pool) Count(context.Context) (int, error) { return len(p.listed), nil }

// Follow implements conductor.Registry.
func (p *pool) Follow(ctx context.Context, _ func(id string) bool, deliver func([]dispatcher.RunnerInfo)) {
	for ok := true; ok; ok = pauser.Sleep(ctx, registryInterval) {
		p.mu.Lock()
		listed := slices.Clone(p.listed)
		p.mu.Unlock()
		deliver(listed)
	}
}

// Poll implements conductor.RunnerClient.
func (p *pool) Poll(ctx context.Context, to dispatcher.RunnerInfo, poll conductor.Poll) (report dispatcher.Report, err error) {
	if p.isGone(to.ID) {
		<-ctx.Done()
		return report, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.accept(to.ID, poll.Token) {
		return report, conductor.ErrFenced
	}
	lifetime := p.lifetimes[to.ID]
	p.mu.Unlock()
	pauser.Sleep(ctx, max(poll.Wait, 10*time.Millisecond))
	p.mu.Lock()
	if p.gone[to.ID] || p.lifetimes[to.ID] != lifetime {
		return report, io.EOF
	}
	if p.isFenced {
		p.isFenced = false
		return report, conductor.ErrFenced
	}
	return dispatcher.Report{Lifetime: lifetime, Clock: p.clock(), Running: slices.Clone(p.running[to.ID])}, ctx.Err()
}

// Send implements conductor.RunnerClient.
func (p *pool) Send(ctx context.Context, address string, order dispatcher.Order) conductor.OrderResult {
	if p.isGone(address) {
		<-ctx.Done()
		return conductor.OrderResult{Outcome: dispatcher.NotSent}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.accept(address, order.Token) {
		return conductor.OrderResult{Outcome: dispatcher.Fenced}
	}
	isRun := func(s dispatcher.RunStatus) bool { return s.Task == order.Task && s.Run == order.Run }
	switch order.Kind {
	case dispatcher.Start:
		p.running[address] = append(p.running[address], dispatcher.RunStatus{Task: order.Task, Run: order.Run, Percent: 100})
	case dispatcher.Stop:
		p.running[address] = slices.DeleteFunc(p.running[address], isRun)
	case dispatcher.Pace:
	}
	return conductor.OrderResult{Outcome: dispatcher.Succeeded, Clock: p.clock(), Lifetime: p.lifetimes[address]}
}

func (p *pool) isGone(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone[id]
}

func (p *pool) clock() int64 { return time.Since(p.began).Milliseconds() + 1 }
