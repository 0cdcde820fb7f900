// Package conductor runs the duties of an owner: it feeds a dispatcher with
// what runners, the store and peers say, and carries out its orders.
package conductor

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/launcher"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Poll is a renewal of a runner's leases together with a question for its
// lists.
type Poll struct {
	Fence int64
	// LeaseEnd is the end of the lease on the runner's clock in milliseconds; zero
	// leaves it alone.
	LeaseEnd int64
	// Acked is the number up to which ends are durable.
	Acked int64
	// Wait is how long the runner waits for an end.
	Wait time.Duration
}

// RunnerClient reaches the runners. An implementation is safe for concurrent use.
type RunnerClient interface {
	// Poll asks for a runner's lists. It returns ErrFenced if the runner obeys
	// another owner, and ErrClosed.
	Poll(ctx context.Context, to dispatcher.RunnerInfo, look Poll) (dispatcher.Report, error)
	// Send makes a call and returns what became of it.
	Send(ctx context.Context, address string, order dispatcher.Order, fence int64) OrderResult
}

// Adviser answers questions for permits. An implementation is safe for
// concurrent use.
type Adviser interface {
	// Ask returns the permits given and how long they hold.
	Ask(ctx context.Context, question dispatcher.PermitRequest) (permits []dispatcher.Permit, valid time.Duration, err error)
}

// An OrderResult is what became of an order.
type OrderResult struct {
	Outcome dispatcher.Outcome
	// Clock is the runner's clock in milliseconds; zero without an answer.
	Clock int64
	// Lifetime is that of the runner that answered; zero if it is not known.
	Lifetime int64
}

// Configuration is what the operator and the runners have declared.
type Configuration struct {
	Queues    []dispatcher.Queue
	Evacuated map[string]bool
}

// Registry follows the runners' list and hands each version to a callback.
type Registry interface {
	Follow(ctx context.Context, deliver func(runners []dispatcher.RunnerInfo))
}

// Options are what a conductor is made of.
type Options struct {
	Limits   dispatcher.Limits
	Store    transactor.Store
	Agents   RunnerClient
	Registry Registry
	Adviser  Adviser
	Recorder recorder.Recorder
	Metrics  *Metrics
	// Part is the part of the submissions and runners that is owned.
	Part  int
	Split partitioner.Split
	// OwnerKey is the key whose revision is the fencing token.
	OwnerKey   string
	Fence      int64
	Generation int64
	// FormerEnd is the time by which the owner before has stopped.
	FormerEnd time.Time
	// ConfirmedAt returns the latest time at which there was no other owner.
	ConfirmedAt func() time.Time
	// Deposed is called once another owner has been seen.
	Deposed func(reason string)
}

// A Conductor is one term of an owner. Lock order: mu is the only lock that is
// held while the table is used; no call is made under it.
type Conductor struct {
	opts Options
	keys Keys
	// roster is used by load and by the registry's callbacks only, one after
	// the other.
	roster roster

	mu      sync.Mutex
	table   *dispatcher.Table
	address map[string]string             // of runners, by id
	loops   map[string]context.CancelFunc // look loops by runner id
	revs    map[string]int64              // revisions of the progress keys

	unsaved    chan struct{}
	savedMu    sync.Mutex
	saved      chan struct{} // closed and replaced after each save
	ctx        context.Context
	cancel     context.CancelFunc
	background launcher.Group
	orders     chan struct{} // bounds the orders under way
	asking     sync.Mutex    // the adviser takes one question at a time
}

// maxOrdersUnderWay bounds concurrent calls that order something.
const maxOrdersUnderWay = 96

// tickEvery is the pause between looks at the clock.
const tickEvery = 200 * time.Millisecond

// Start begins a term: it loads the records and takes over the runners.
func Start(ctx context.Context, opts Options, world Configuration) (c *Conductor, err error) {
	now := time.Now()
	c = &Conductor{
		opts:    opts,
		keys:    KeysOf(opts.Part),
		table:   dispatcher.New(opts.Limits, opts.Fence, opts.Generation, opts.Recorder, now),
		address: make(map[string]string),
		loops:   make(map[string]context.CancelFunc),
		revs:    make(map[string]int64),
		unsaved: make(chan struct{}, 1),
		saved:   make(chan struct{}),
		orders:  make(chan struct{}, maxOrdersUnderWay),
	}
	c.table.SetFormerOwnerEnd(opts.FormerEnd)
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.table.SetQueues(world.Queues)
	c.table.SetEvacuated(world.Evacuated)
	revision, err := c.load(c.ctx)
	if err != nil {
		c.cancel()
		return nil, err
	}
	c.background.Go(c.save)
	c.background.Go(c.remember)
	c.background.Go(c.clean)
	c.background.Go(c.tick)
	c.background.Go(func() { c.opts.Registry.Follow(c.ctx, c.setRunners) })
	c.background.Go(func() { c.follow(revision) })
	return c, nil
}

// Close ends the term and waits for calls under way. No order is sent
// afterwards, also by a daemon that has fetched the conductor before.
func (c *Conductor) Close() {
	c.cancel()
	c.background.Close()
}

// Configure takes in what the operator has declared.
func (c *Conductor) Configure(world Configuration) {
	c.apply(func(t *dispatcher.Table, _ time.Time) {
		t.SetQueues(world.Queues)
		t.SetEvacuated(world.Evacuated)
	})
}

// FormerEnded takes note that the owner before has stopped.
func (c *Conductor) FormerEnded() {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.FormerOwnerEnded(now) })
}

// FormerVouched takes note of the runners on which the owner before, which has
// stopped, had no stop under way.
func (c *Conductor) FormerVouched(runners []string) {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.MarkSettled(runners, now) })
}

// Settled returns the runners for which a successor need not wait. It is valid
// after Close.
func (c *Conductor) Settled() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Settled(time.Now())
}

// Submit takes in an accepted submission and returns the load with it.
func (c *Conductor) Submit(sub *submitter.Submission) (load partitioner.Load) {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.Add(sub, nil, now) })
	if c.opts.Split.Parts < 2 {
		return load // there is nothing to choose from
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Load()
}

// Cancel takes in a durable cancellation.
func (c *Conductor) Cancel(id string) {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.Cancel(id, now) })
}

// State returns what is durable of a submission's state.
func (c *Conductor) State(id string) (state submitter.State, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.State(id)
}

// Pending counts a queue's submissions that have not begun.
func (c *Conductor) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Pending(queue)
}

// apply changes the table, places what may start, and sends what follows.
func (c *Conductor) apply(change func(t *dispatcher.Table, now time.Time)) {
	c.mu.Lock()
	now := time.Now()
	change(c.table, now)
	c.table.Schedule(now)
	orders := c.table.Orders()
	questions := c.table.PermitRequests()
	dirty := c.table.IsDirty()
	addresses := make([]string, len(orders))
	for i := range orders {
		addresses[i] = c.address[orders[i].Runner]
	}
	c.mu.Unlock()
	if dirty {
		select {
		case c.unsaved <- struct{}{}:
		default:
		}
	}
	for i := range orders {
		c.send(addresses[i], orders[i])
	}
	for _, question := range questions {
		c.background.Go(func() { c.ask(question) })
	}
}

// tick tells the table of the passing of time.
func (c *Conductor) tick() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.apply(func(t *dispatcher.Table, now time.Time) {
				t.ConfirmOwnership(c.opts.ConfirmedAt())
				t.Tick(now)
			})
		}
	}
}
