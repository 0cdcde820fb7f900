package sharder

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	agent "github.com/kumquatstack/kumquatstack/internal/standin/worker"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	testCores = 32
	testLease = 10 * time.Second
	testGB    = int64(1) << 30
)

// A testAuthority is the authority of one owner in a test.
type testAuthority struct {
	mu       sync.Mutex
	epoch    owner.Epoch
	isOwner  bool
	mayStart bool
	acquired time.Time
}

var _ owner.Authority = (*testAuthority)(nil)

func (g *testAuthority) Holds(owner.Partition, time.Time) (owner.Epoch, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch, g.isOwner
}

func (g *testAuthority) AcquiredAt(owner.Partition) time.Time { return g.acquired }

func (g *testAuthority) MayStart(string, time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayStart
}

func (g *testAuthority) set(isOwner, mayStart bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isOwner, g.mayStart = isOwner, mayStart
}

// A rig is the platform of a test: a store, workers, the host list and the
// declarations.
type rig struct {
	t     *testing.T
	store *keyvalue.Fake
	fleet *agent.Fleet
	fakes map[string]*agent.Fake
	// wrapStore, if it is not nil, is the store that owners use.
	wrapStore storer.Store

	mu       sync.Mutex
	hosts    []lister.Host
	declared *declarer.Version
	epoch    owner.Epoch
	owners   map[string]*Sharder
}

// withOwner runs a test in a synctest bubble, on a platform with two workers in
// each data centre and an owner of atl-a.
func withOwner(t *testing.T, test func(t *testing.T, r *rig, s *testOwner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		s := r.startOwner("atl-a", nil)
		defer s.kill()
		test(t, r, s)
	})
}

// newRig returns a platform with workers in two data centres of one region.
func newRig(t *testing.T, workersPerDC int) *rig {
	t.Helper()
	r := &rig{
		t:      t,
		store:  keyvalue.NewFake(),
		fleet:  agent.NewFleet(),
		fakes:  make(map[string]*agent.Fake),
		owners: make(map[string]*Sharder),
		declared: &declarer.Version{Number: 1, Declarations: &declarer.Declarations{
			Regions: []declarer.Region{{Name: "north-ga", DataCentres: []declarer.DataCentre{{Name: "atl-a"}, {Name: "ath-a"}}}},
			Batch:   declarer.Batch{Lease: testLease},
		}},
	}
	for _, dc := range []string{"atl-a", "ath-a"} {
		for i := range workersPerDC {
			r.addWorker(dc, fmt.Sprintf("%s-w%d", dc, i))
		}
	}
	return r
}

func (r *rig) addWorker(dc, name string) {
	r.fakes[name] = r.fleet.Add(name, agent.Options{
		Name: name, DataCentre: dc, Lag: 2 * time.Second,
		Capacity: commander.Resources{MilliCores: testCores * 1000, MemoryBytes: 125 * testGB},
	})
	r.hosts = append(r.hosts, lister.Host{
		Name: name, Address: name, Kind: lister.KindWorker, State: lister.StateLive, DataCentre: dc,
		Rack: name, MilliCores: testCores * 1000, MemoryBytes: 125 * testGB,
	})
}

func (r *rig) hostList() []lister.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]lister.Host(nil), r.hosts...)
}

func (r *rig) declarations() *declarer.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.declared
}

func (r *rig) setOut(dc string, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declared = &declarer.Version{Number: r.declared.Number + 1, Declarations: r.declared.Declarations.WithDataCentre(dc, out)}
}

// A testOwner is one owner of a shard in a test.
type testOwner struct {
	*Sharder
	authority *testAuthority
	stop      context.CancelFunc
	done      chan error
	once      sync.Once
}

// startOwner starts an owner of a data centre's shard. If wrap is not nil, the
// owner reaches its workers through the dialer that wrap returns.
func (r *rig) startOwner(dc string, wrap func(commander.Dialer) commander.Dialer) *testOwner {
	r.t.Helper()
	r.epoch++
	g := &testAuthority{epoch: r.epoch, isOwner: true, mayStart: true, acquired: time.Now()}
	agents := commander.Dialer(r.fleet)
	if wrap != nil {
		agents = wrap(agents)
	}
	store := storer.Store(r.store)
	if r.wrapStore != nil {
		store = r.wrapStore
	}
	s, err := Open(r.t.Context(), Options{
		Shard: owner.Partition(shardOf(dc)), DataCentre: dc, Epoch: r.epoch, Store: store, Agents: agents,
		Hosts: r.hostList, Declarations: r.declarations, Authority: g, Policy: placer.NewInterferenceAware(),
		Peers: &rigPeers{rig: r},
	})
	if err != nil {
		r.t.Fatalf("open: %v", err)
	}
	ctx, cancel := context.WithCancel(r.t.Context())
	found := &testOwner{Sharder: s, authority: g, stop: cancel, done: make(chan error, 1)}
	r.mu.Lock()
	r.owners[dc] = s
	r.mu.Unlock()
	go func() { found.done <- s.Run(ctx) }()
	return found
}

// kill ends an owner at once, without a graceful shutdown.
func (s *testOwner) kill() {
	s.once.Do(func() {
		s.authority.set(false, false)
		s.stop()
		<-s.done
		_ = s.Close()
	})
}

// rigPeers calls the owners of a rig.
type rigPeers struct{ rig *rig }

var _ Peers = (*rigPeers)(nil)

func (p *rigPeers) ownerOf(dc string) (*Sharder, error) {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	if s, ok := p.rig.owners[dc]; ok {
		return s, nil
	}
	return nil, errs.ErrNotOwner
}

func (p *rigPeers) Adopt(ctx context.Context, dc string, request *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error) {
	s, err := p.ownerOf(dc)
	if err != nil {
		return nil, err
	}
	return s.Adopt(ctx, request)
}

func (p *rigPeers) ShardStatus(_ context.Context, dc string, request *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	s, err := p.ownerOf(dc)
	if err != nil {
		return nil, err
	}
	return s.Status(request), nil
}

// intentOf returns a confirmed intent with count tasks of one core in one data centre.
func intentOf(id, dc string, count int, run time.Duration) *kumquatv1.IntentRecord {
	return &kumquatv1.IntentRecord{
		Id: id, Team: "orders", Class: "casting", Kind: kumquatv1.TaskKind_TASK_KIND_RUN_BY,
		Resources:           &kumquatv1.Resources{MilliCores: 1000, MemoryBytes: testGB},
		Shards:              []*kumquatv1.ShardTasks{{DataCentre: dc, Count: int32(count)}},
		ExpectedRunMillis:   run.Milliseconds(),
		ConfirmedUnixMillis: time.Now().UnixMilli(),
	}
}

// until waits for a condition in virtual time.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 9000 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

func (r *rig) count(s *Sharder, state kumquatv1.TaskState) int {
	return int(s.Status(&kumquatv1.ShardStatusRequest{}).GetCounts()[stateName(state)])
}

func (r *rig) untilCount(s *Sharder, state kumquatv1.TaskState, want int) {
	r.t.Helper()
	until(r.t, fmt.Sprintf("%d tasks %s", want, stateName(state)), func() bool { return r.count(s, state) == want })
}

// running returns the number of runs at all workers.
func (r *rig) running() int {
	running := 0
	for _, record := range r.fleet.Records() {
		if record.Kind == judge.KindStart {
			running++
		} else {
			running--
		}
	}
	return running
}

// assertGuarantees checks that no guarantee about tasks was broken, and that
// the given number of tasks finished, each once.
func (r *rig) assertGuarantees(finished int) {
	r.t.Helper()
	for _, breach := range r.fleet.Breaches() {
		r.t.Errorf("breach: %s %s: %s", breach.Rule, breach.Subject, breach.Detail)
	}
	done := judge.Finished(r.fleet.Records())
	if len(done) != finished {
		r.t.Errorf("%d tasks finished, want %d", len(done), finished)
	}
	for task, times := range done {
		if times != 1 {
			r.t.Errorf("task %s finished %d times", task, times)
		}
	}
}

const (
	pendingState   = kumquatv1.TaskState_TASK_STATE_PENDING
	assignedState  = kumquatv1.TaskState_TASK_STATE_ASSIGNED
	finishedState  = kumquatv1.TaskState_TASK_STATE_FINISHED
	cancelledState = kumquatv1.TaskState_TASK_STATE_CANCELLED
	refusedState   = kumquatv1.TaskState_TASK_STATE_REFUSED
	movedState     = kumquatv1.TaskState_TASK_STATE_MOVED
)
