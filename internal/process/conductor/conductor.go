// Package conductor runs the duties of a partition's owner: it passes the
// reports of runners, the store and peers to a dispatcher table, and carries out
// the orders that the table returns.
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

// A Poll renews the leases of a runner's runs and asks the runner for its lists of
// running and ended runs.
type Poll struct {
	// Token is the fencing token of the runner's current incarnation.
	Token int64
	// LeaseEnd is the new end of the leases on the runner's clock, in milliseconds;
	// zero leaves the leases unchanged.
	LeaseEnd int64
	// Acked is the sequence number up to which the runner's ended runs are durable
	// at the owner.
	Acked int64
	// Wait is how long the runner may hold the poll open for a run to end.
	Wait time.Duration
}

// RunnerClient calls the runners. An implementation is safe for concurrent use.
type RunnerClient interface {
	// Poll sends a poll to a runner and returns its lists. It returns ErrFenced if
	// the runner has seen a higher fencing token.
	Poll(ctx context.Context, to dispatcher.RunnerInfo, poll Poll) (dispatcher.Report, error)
	// Send sends an order to a runner, under the order's fencing token, and returns its result.
	Send(ctx context.Context, address string, order dispatcher.Order) OrderResult
}

// Adviser grants permits to run tasks on runners. An implementation is safe for
// concurrent use.
type Adviser interface {
	// Ask returns the permits granted and how long they are valid.
	Ask(ctx context.Context, request dispatcher.PermitRequest) (permits []dispatcher.Permit, valid time.Duration, err error)
}

// An OrderResult is the result of sending an order to a runner.
type OrderResult struct {
	Outcome dispatcher.Outcome
	// Clock is the runner's clock in milliseconds; zero if it did not answer.
	Clock int64
	// Lifetime identifies the runner process that answered; zero if it is not known.
	Lifetime int64
}

// Registry follows the list of those registered runners whose IDs keep selects, and
// passes each version of it to a callback.
type Registry interface {
	Follow(ctx context.Context, keep func(id string) bool, deliver func(runners []dispatcher.RunnerInfo))
}

// Options configure a Conductor.
type Options struct {
	Limits       dispatcher.Limits
	Store        transactor.Store
	RunnerClient RunnerClient
	Registry     Registry
	Adviser      Adviser
	Recorder     recorder.Recorder
	Metrics      *Metrics
	// Part is the number of the part (partition of the submissions and runners) that
	// this owner owns; Split is the number of all parts.
	Part  int
	Split partitioner.Split
	// OwnerKey is the store key of the owner record. Its revision is Fence, the
	// first of the owner's fencing tokens.
	OwnerKey string
	Fence    int64
	// Generation is the number of owners that the part had before.
	Generation int64
	// FormerOwnerEnd is the latest time at which an earlier owner may still act.
	FormerOwnerEnd time.Time
	// EarlierOwnersEnd is the latest time at which an owner before the former one may
	// still act; zero if all of them are known to have ended.
	EarlierOwnersEnd time.Time
	// ConfirmedAt returns the latest time at which this daemon is known to have
	// been the owner.
	ConfirmedAt func() time.Time
	// HeldAt returns the latest known revision of the store at which the owner record named
	// this daemon. The owner's fencing tokens may be as high.
	HeldAt func() int64
	// MayAct reports whether this daemon may still act as the owner. It is asked right
	// before each call to a runner.
	MayAct func() bool
	// Unconfirmed returns for how long the store has not named this daemon as the owner,
	// suspension of the host included, and for how long the host was suspended meanwhile.
	Unconfirmed func() (unconfirmed, suspended time.Duration)
	// AskOffer asks the owner of another part what it offers for some needs. It is nil if there
	// is no other part.
	AskOffer func(ctx context.Context, part int, needs []partitioner.Need) (partitioner.Offer, error)
	// OnDeposed is called when there is evidence of another owner.
	OnDeposed func(reason string)
}

// A Conductor runs one term (period of ownership) of an owner. The table is used under
// mu only. No call to a runner, the adviser or the store is made while mu is held,
// except by load before the other goroutines start.
type Conductor struct {
	opts Options
	keys Keys
	// roster needs no lock: load uses it before the registry's callbacks start,
	// and the callbacks are sequential.
	roster roster
	// pledges needs no lock: only relocate uses it.
	pledges []pledge

	mu      sync.Mutex
	table   *dispatcher.Table
	address map[string]string  // addresses of runners, by runner ID
	pollers map[string]*poller // running poll loops, by runner ID
	revs    map[string]int64   // store revisions of the progress keys, by submission ID

	unsaved chan struct{} // signals that the table has progress to save
	// placementDue signals that a placement pass is due.
	placementDue chan struct{}
	savedMu      sync.Mutex
	saved        chan struct{} // closed and replaced after each save
	ctx          context.Context
	cancel       context.CancelFunc
	background   launcher.Group
	queue        orderQueue
	adviserMu    sync.Mutex // serialises requests to the adviser
}

// maxConcurrentOrders limits the orders that are sent to runners concurrently.
const maxConcurrentOrders = 96

// tickInterval is the time between ticks of the table, which detect lapsed leases
// and stalled tasks.
const tickInterval = 200 * time.Millisecond

// Start begins a term: it loads the stored records and takes over the runners. Until
// Configure is called, it only keeps the leases of what runs there.
func Start(ctx context.Context, opts Options) (c *Conductor, err error) {
	c = newConductor(ctx, opts)
	revision, err := c.load(c.ctx)
	if err != nil {
		c.cancel()
		return nil, err
	}
	c.background.Go(c.save)
	c.background.Go(c.saveMemory)
	c.background.Go(c.deleteExpired)
	if c.opts.AskOffer != nil {
		c.background.Go(c.relocate)
	}
	c.background.Go(c.place)
	c.background.Go(c.tick)
	c.background.Go(func() { c.opts.Registry.Follow(c.ctx, c.ownsRunner, c.setRunners) })
	c.background.Go(func() { c.follow(revision) })
	return c, nil
}

// newConductor returns a conductor that has loaded nothing, and runs nothing in the background.
func newConductor(ctx context.Context, opts Options) *Conductor {
	now := time.Now()
	c := &Conductor{
		opts:         opts,
		keys:         KeysOf(opts.Part),
		table:        dispatcher.New(opts.Limits, opts.Fence, opts.Generation, opts.Recorder, now),
		address:      make(map[string]string),
		pollers:      make(map[string]*poller),
		revs:         make(map[string]int64),
		unsaved:      make(chan struct{}, 1),
		placementDue: make(chan struct{}, 1),
		saved:        make(chan struct{}),
	}
	c.table.SetFormerOwnerEnd(opts.FormerOwnerEnd)
	c.table.SetEarlierOwnersEnd(opts.EarlierOwnersEnd)
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Close ends the term and waits for calls in progress. No order is sent
// afterwards, even if another goroutine still holds the conductor and uses it.
func (c *Conductor) Close() {
	c.cancel()
	c.background.Close()
}

// Configure applies a new version of the configuration.
func (c *Conductor) Configure(config dispatcher.Configuration) {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.Configure(config, now) })
}

// A Handover is what an owner whose term has ended leaves to its successor.
type Handover struct {
	// Settled are the runners on which the owner had no stop order in progress, so that the
	// successor can use them without waiting.
	Settled []string
	// Lapses are, by runner, the times by which all leases have lapsed; nil if not known.
	// See dispatcher.Table.Lapses.
	Lapses map[string]time.Time
}

// TakeOver tells the table that the former owner has stopped, and what it has left.
func (c *Conductor) TakeOver(handover Handover) {
	c.apply(func(t *dispatcher.Table, now time.Time) {
		t.MarkSettled(handover.Settled, now)
		t.ExpectLapses(handover.Lapses)
	})
}

// HasQuorum reports whether so many of the runners have accepted this owner that no former
// one moves the end of a lease any more.
func (c *Conductor) HasQuorum() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.HasQuorum()
}

// Handover returns what this owner leaves to its successor. It is called after Close.
func (c *Conductor) Handover() Handover {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return Handover{Settled: c.table.Settled(now), Lapses: c.table.Lapses(now)}
}

// Submit adds an accepted submission and returns the part's load including the
// submission. If there is only one part, the receipt is empty.
func (c *Conductor) Submit(sub *submitter.Submission) (receipt partitioner.Receipt) {
	if c.opts.Split.Parts < 2 {
		c.apply(func(t *dispatcher.Table, now time.Time) { t.Add(sub, nil, now) })
		return receipt // there is no other part to choose
	}
	c.apply(func(t *dispatcher.Table, now time.Time) {
		t.AddReported(sub, now)
		receipt.Unable = t.Unable(sub)
		receipt.Load = t.Load()
	})
	return receipt
}

// Offer returns what the part offers for some needs.
func (c *Conductor) Offer(needs []partitioner.Need) partitioner.Offer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Serves(needs)
}

// Load returns the part's load.
func (c *Conductor) Load() partitioner.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Load()
}

// Cancel applies a cancellation that has been stored.
func (c *Conductor) Cancel(id string) {
	c.apply(func(t *dispatcher.Table, now time.Time) { t.Cancel(id, now) })
}

// State returns the durable state of a submission.
func (c *Conductor) State(id string) (state submitter.State, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.State(id)
}

// Pending returns the number of a queue's submissions that have not started.
func (c *Conductor) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Pending(queue)
}

// Status returns a summary of the part for the metrics.
func (c *Conductor) Status() dispatcher.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Status(time.Now())
}

// authorize tells the table how long ago, and at which revision, the store has named this
// owner.
func (c *Conductor) authorize(t *dispatcher.Table, now time.Time) {
	t.AllowTokens(c.opts.HeldAt())
	unconfirmed, suspended := c.opts.Unconfirmed()
	t.Authorize(unconfirmed, suspended, now)
}

// apply applies a change to the table, and sends the resulting orders and permit requests.
// Tasks that it lets start are placed later.
func (c *Conductor) apply(change func(t *dispatcher.Table, now time.Time)) {
	c.mu.Lock()
	now := time.Now()
	change(c.table, now)
	for _, id := range c.table.Restarted() {
		c.interruptPoll(id)
	}
	orders := c.table.Orders()
	requests := c.table.PermitRequests()
	dirty, placementDue := c.table.IsDirty(), c.table.IsPlacementDue(now)
	c.mu.Unlock()
	if dirty {
		signal(c.unsaved)
	}
	if placementDue {
		signal(c.placementDue)
	}
	c.enqueue(orders, now)
	for _, request := range requests {
		c.background.Go(func() { c.requestPermits(request) })
	}
}

// tick advances the table's time and confirms ownership at regular intervals.
func (c *Conductor) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.apply(func(t *dispatcher.Table, now time.Time) {
				t.ConfirmOwnership(c.opts.ConfirmedAt())
				c.authorize(t, now)
				t.Tick(now)
			})
		}
	}
}
