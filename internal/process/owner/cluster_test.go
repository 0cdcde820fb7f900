package owner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
	"github.com/kumquatstack/kumquatstack/internal/process/hlc"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/pledger"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/releaser"
	"github.com/kumquatstack/kumquatstack/internal/process/responder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

const (
	pollInterval = 10 * time.Millisecond
	awaitTimeout = 30 * time.Second
	document     = `
regions:
  - name: north-ga
    dataCentres:
      - name: atl-a
      - name: ath-a
`
)

var errCut = errors.New("cut off")

// A cluster is a set of daemons that run in the test process and share a fake
// store.
type cluster struct {
	t     testing.TB
	store *keyvalue.Fake

	mu    sync.Mutex
	nodes map[string]*node // by address
	// holders are the daemons that have acquired and not lost each partition.
	holders    map[owner.Partition]map[*node]bool
	violations []string // partitions that two daemons held at the same time
}

// A node is a daemon reduced to its membership, ownership and configuration.
type node struct {
	name     string
	cluster  *cluster
	cutStore atomic.Bool
	cutPeers atomic.Bool
	dead     atomic.Bool // the process has ended
	// leavesWork is true if work goes on when the daemon hands its partitions over.
	leavesWork atomic.Bool
	watcher    *watcher.Watcher
	group      *member.Group
	config     *configurer.Configurer
	owner      *owner.Owner
	pledger    *pledger.Pledger
	releaser   *releaser.Releaser
	peer       kumquatv1.Peer
	cancel     context.CancelFunc
	done       sync.WaitGroup
	groupErr   chan error
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{
		t: t, store: keyvalue.NewFake(), nodes: make(map[string]*node),
		holders: make(map[owner.Partition]map[*node]bool),
	}
	t.Cleanup(func() {
		for _, n := range c.all() {
			n.kill()
		}
		for _, violation := range c.violations {
			t.Error(violation)
		}
	})
	return c
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []*node
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// start runs a daemon whose address is its name.
func (c *cluster) start(name, dataCentre string) *node {
	return c.startAt(name, name, dataCentre)
}

// startAt runs a daemon at a given address.
func (c *cluster) startAt(name, address, dataCentre string) *node {
	n := &node{name: name, cluster: c, groupErr: make(chan error, 1)}
	store := cutStore{Store: c.store, cut: &n.cutStore}
	n.watcher = watcher.New(store, watcher.Root, recorder.Discard{})
	n.config = configurer.New(configurer.Settings{
		Store: store, Watcher: n.watcher, Recorder: recorder.Discard{}, Dial: n.dial,
	})
	n.group = member.New(member.Settings{
		Identity: member.Identity{Daemon: name, Address: address, DataCentre: dataCentre, Region: "north-ga"},
		Store:    store, Watcher: n.watcher, Clock: &hlc.Clock{}, Recorder: recorder.Discard{},
		Dial: n.dial, Seeds: c.seeds(), Configuration: n.config.VersionAndProofAge,
	})
	n.config.Join(n.group)
	n.pledger = pledger.New(pledger.Settings{
		Store: store, Group: n.group, Recorder: recorder.Discard{}, Dial: n.dial, Watcher: n.watcher,
		HasPartitions: func(daemon string, number int64) bool { return n.owner.HasPartitions(daemon, number) },
	})
	n.releaser = releaser.New(releaser.Settings{Store: store, Group: n.group, Pledger: n.pledger, Dial: n.dial})
	n.owner = owner.New(owner.Settings{
		Store: store, Watcher: n.watcher, Group: n.group, StartPermitter: n.config,
		Recorder: recorder.Discard{}, Evictor: n.pledger, Declarations: n.config.Declarations,
		OnAcquire: n.onAcquire, OnLose: n.onLose,
	})
	n.peer = responder.New(responder.Handlers{Members: n.group, Configurations: n.config, Pledges: n.pledger})
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.watcher.Run(ctx) })
	n.done.Go(func() { _ = n.config.Run(ctx) })
	n.done.Go(func() { n.groupErr <- n.group.Run(ctx) })
	n.done.Go(func() { _ = n.pledger.Run(ctx) })
	n.done.Go(func() { _ = n.owner.Run(ctx) })
	return n
}

func (c *cluster) seeds() []string {
	var seeds []string
	for _, n := range c.all() {
		seeds = append(seeds, n.name)
	}
	return seeds
}

// startAll runs n daemons, applies the declarations and waits until the
// partitions are distributed evenly.
func (c *cluster) startAll(n int) []*node {
	c.t.Helper()
	var nodes []*node
	for i := range n {
		nodes = append(nodes, c.start(fmt.Sprintf("atl-a-%d", i+1), [...]string{"atl-a", "ath-a"}[i%2]))
	}
	if _, err := nodes[0].config.Apply(c.t.Context(), []byte(document), configurer.AnyVersion); err != nil {
		c.t.Fatal(err)
	}
	c.await("all partitions to be owned evenly", func() bool { return c.isBalanced(nodes) })
	return nodes
}

func (c *cluster) isBalanced(nodes []*node) bool {
	owned, least, most := 0, 1<<30, 0
	for _, n := range nodes {
		count := len(n.owner.Partitions())
		owned += count
		least, most = min(least, count), max(most, count)
	}
	return owned == 2*(owner.RunnerPartitionCount+1)+owner.ClaimPartitionCount && most-least <= 3
}

func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// awaitLists waits until the daemons' lists of guarantors are stored.
func (c *cluster) awaitLists(nodes []*node) {
	c.t.Helper()
	c.await("lists of guarantors", func() bool {
		listing, err := c.store.List(c.t.Context(), pledger.Prefix)
		return err == nil && len(listing.Entries) == len(nodes)
	})
}

// onAcquire notes the daemon as holder of a partition, and a violation if another
// live daemon still holds it.
func (n *node) onAcquire(p owner.Partition, _ owner.Epoch) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	holders := n.cluster.holders[p]
	if holders == nil {
		holders = make(map[*node]bool)
		n.cluster.holders[p] = holders
	}
	now := time.Now()
	for other := range holders {
		if _, holds := other.owner.Holds(p, now); holds && !other.dead.Load() {
			n.cluster.violations = append(n.cluster.violations, fmt.Sprintf("%s acquired %s while %s held it", n.name, p, other.name))
		}
	}
	holders[n] = true
}

func (n *node) onLose(p owner.Partition, _ owner.Reason) (isEnded bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	delete(n.cluster.holders[p], n)
	return !n.leavesWork.Load()
}

// kill ends the daemon without a handover.
func (n *node) kill() {
	n.cutPeers.Store(true)
	n.cancel()
	n.done.Wait()
	n.dead.Store(true)
}

// stop hands over the daemon's partitions, ends it and revokes its lease.
func (n *node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	err := n.owner.Close(ctx)
	n.kill()
	return errors.Join(err, n.group.Close(ctx))
}

// dial returns the client of another daemon, or an unreachable peer if one of the
// two is cut off from its peers.
func (n *node) dial(address string) kumquatv1.Peer {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	other := n.cluster.nodes[address]
	if other == nil || other.cutPeers.Load() || n.cutPeers.Load() {
		return unreachable{}
	}
	return other.peer
}

// unreachable is a peer that doesn't answer.
type unreachable struct{ kumquatv1.Peer }

func (unreachable) Heartbeat(context.Context, *kumquatv1.HeartbeatRequest) (*kumquatv1.HeartbeatResponse, error) {
	return nil, errCut
}

func (unreachable) PushConfiguration(context.Context, *kumquatv1.PushConfigurationRequest) (*kumquatv1.PushConfigurationResponse, error) {
	return nil, errCut
}

func (unreachable) FetchConfiguration(context.Context, *kumquatv1.FetchConfigurationRequest) (*kumquatv1.FetchConfigurationResponse, error) {
	return nil, errCut
}

func (unreachable) Heard(context.Context, *kumquatv1.HeardRequest) (*kumquatv1.HeardResponse, error) {
	return nil, errCut
}

func (unreachable) Pledge(context.Context, *kumquatv1.PledgeRequest) (*kumquatv1.PledgeResponse, error) {
	return nil, errCut
}

func (unreachable) Block(context.Context, *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error) {
	return nil, errCut
}

// cutStore is a daemon's connection to the store, which a test can cut.
type cutStore struct {
	storer.Store
	cut *atomic.Bool
}

func (s cutStore) fail(op string) error {
	if s.cut.Load() {
		return &errs.StoreUnavailableError{Op: op, Cause: errCut}
	}
	return nil
}

func (s cutStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := s.fail("get"); err != nil {
		return storer.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) List(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := s.fail("list"); err != nil {
		return storer.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s cutStore) CompareAndSwap(ctx context.Context, swap storer.Swap) (storer.Revision, error) {
	if err := s.fail("compare-and-swap"); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

func (s cutStore) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	if err := s.fail("grant"); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s cutStore) KeepAlive(ctx context.Context, id storer.LeaseID) (time.Duration, error) {
	if err := s.fail("keep-alive"); err != nil {
		return 0, err
	}
	return s.Store.KeepAlive(ctx, id)
}

func (s cutStore) Watch(ctx context.Context, prefix string, after storer.Revision, deliver func([]storer.Event)) error {
	if err := s.fail("watch"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var poll sync.WaitGroup
	defer poll.Wait()
	defer cancel()
	poll.Go(func() {
		for !s.cut.Load() && pauser.Sleep(ctx, pollInterval) {
		}
		cancel()
	})
	return s.Store.Watch(ctx, prefix, after, func(events []storer.Event) {
		if s.cut.Load() {
			cancel() // The events that are not delivered follow when the watch resumes.
			return
		}
		deliver(events)
	})
}
