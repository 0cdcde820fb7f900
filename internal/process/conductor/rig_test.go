package conductor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// waitTimeout bounds the waits for expected conditions.
const waitTimeout = 10 * time.Second

// An emptyStore is a store that holds nothing and accepts every write.
type emptyStore struct {
	mu       sync.Mutex
	revision int64
}

func (*emptyStore) Get(context.Context, string) (item transactor.Item, err error) {
	return item, transactor.ErrNotFound
}

func (*emptyStore) List(context.Context, string) ([]transactor.Item, int64, error) {
	return nil, 1, nil
}

func (*emptyStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]transactor.Event, int64, error) {
	pauser.Sleep(ctx, wait)
	return nil, after, ctx.Err()
}

func (s *emptyStore) Commit(context.Context, transactor.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.revision, nil
}

func (*emptyStore) Grant(context.Context, time.Duration) (int64, error) { return 1, nil }
func (*emptyStore) KeepAlive(context.Context, int64) error              { return nil }
func (*emptyStore) Revoke(context.Context, int64) error                 { return nil }

// A listRegistry delivers the lists of runners that a test sends.
type listRegistry chan []dispatcher.RunnerInfo

func (r listRegistry) Follow(ctx context.Context, _ func(id string) bool, deliver func([]dispatcher.RunnerInfo)) {
	for {
		select {
		case list := <-r:
			deliver(list)
		case <-ctx.Done():
			return
		}
	}
}

// heldRunner is the registry entry of the runner that a heldClient stands for.
var heldRunner = dispatcher.RunnerInfo{
	ID: "r", Service: "s", Address: "a", DataCentre: "z", Lifetime: 1,
	Capacity: submitter.Resources{MilliCores: 1_000_000, MemoryMB: 1_000_000},
}

// A heldClient answers polls at once, and holds orders back until they are released.
type heldClient struct {
	mu       sync.Mutex
	sent     []dispatcher.Order
	began    time.Time
	released chan struct{}
	registry listRegistry
	// isPaused says that the owner has been paused for longer than it may act.
	isPaused atomic.Bool
	polls    atomic.Int64
	isSilent atomic.Bool // polls fail
	silent   string      // the address at which no runner answers
}

func (c *heldClient) Poll(ctx context.Context, to dispatcher.RunnerInfo, poll Poll) (report dispatcher.Report, err error) {
	c.polls.Add(1)
	if c.isSilent.Load() {
		return report, syscall.ECONNREFUSED
	}
	pauser.Sleep(ctx, min(poll.Wait, 50*time.Millisecond))
	if to.Address == c.silent {
		return report, context.DeadlineExceeded
	}
	return dispatcher.Report{Lifetime: 1, Clock: c.clock()}, ctx.Err()
}

func (c *heldClient) Send(_ context.Context, _ string, order dispatcher.Order) OrderResult {
	c.mu.Lock()
	c.sent = append(c.sent, order)
	c.mu.Unlock()
	<-c.released
	return OrderResult{Outcome: dispatcher.Succeeded, Clock: c.clock(), Lifetime: 1}
}

func (c *heldClient) clock() int64 { return time.Since(c.began).Milliseconds() + 1 }

// orders returns the orders sent so far.
func (c *heldClient) orders() []dispatcher.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.sent)
}

// startHeld starts the term of an owner of one large runner that holds orders back.
func startHeld(t *testing.T) (c *Conductor, client *heldClient) {
	t.Helper()
	client = newHeldClient()
	return start(t, client, heldOptions(t, client), heldRunner), client
}

func newHeldClient() *heldClient {
	return &heldClient{began: time.Now(), released: make(chan struct{}), registry: make(listRegistry)}
}

// startSuccessor starts the term of an owner of the same runner and of a silent one,
// which succeeds another owner. Owners before that one may act until earlierEnd.
func startSuccessor(t *testing.T, earlierEnd time.Time) (c *Conductor, client *heldClient) {
	t.Helper()
	client = newHeldClient()
	client.silent = "silent"
	opts := heldOptions(t, client)
	opts.Generation, opts.FormerOwnerEnd, opts.EarlierOwnersEnd = 2, time.Now().Add(10*time.Second), earlierEnd
	silent := dispatcher.RunnerInfo{ID: "silent", Service: "s", Address: "silent", Lifetime: 1}
	return start(t, client, opts, heldRunner, silent), client
}

// heldOptions returns the options of an owner of one large runner.
func heldOptions(t *testing.T, client *heldClient) Options {
	return Options{
		Limits: dispatcher.Limits{LeaseDuration: 4500 * time.Millisecond, MaxLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond},
		Store:  &emptyStore{}, RunnerClient: client, Recorder: recorder.Discard{}, Metrics: NewMetrics(counter.New()),
		Registry: client.registry,
		Split:    partitioner.Split{Parts: 1}, Fence: 1,
		ConfirmedAt: time.Now, HeldAt: func() int64 { return 1000 }, Unconfirmed: func() (unconfirmed, suspended time.Duration) { return 0, 0 },
		MayAct: func() bool { return !client.isPaused.Load() }, OnDeposed: func(reason string) { t.Errorf("deposed: %s", reason) },
	}
}

// start starts a term with a queue and runners, which ends with the test.
func start(t *testing.T, client *heldClient, opts Options, runners ...dispatcher.RunnerInfo) *Conductor {
	t.Helper()
	c, err := Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	client.registry <- runners
	c.Configure(dispatcher.NewConfiguration([]submitter.Queue{{Name: "q", Service: "s", MaxAttempts: 2}}, nil))
	return c
}

// submit submits a submission of small tasks.
func submit(c *Conductor, id string, tasks int) {
	c.Submit(&submitter.Submission{
		ID: id, Queue: "q", AcceptedAt: time.Now(),
		Steps: []submitter.Step{{Count: tasks, Resources: submitter.Resources{MilliCores: 100, MemoryMB: 1}, Estimate: time.Second}},
	})
}

// release lets the held orders, and all later ones, be carried out.
func (c *heldClient) release() { close(c.released) }

// startsOf returns how many of the orders are starts of a submission.
func startsOf(orders []dispatcher.Order, submission string) (n int) {
	for _, o := range orders {
		if o.Kind == dispatcher.Start && o.Task.Submission == submission {
			n++
		}
	}
	return n
}

// assertEventually waits until a condition holds.
func assertEventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timeout:", what)
}
