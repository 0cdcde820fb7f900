package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/claimkeeper"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/claimer"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const testSlots = 2

// ownership says which daemon owns which partition.
type ownership struct {
	mu     sync.Mutex
	owners map[owner.Partition]string
	epochs map[owner.Partition]owner.Epoch
}

func newOwnership() *ownership {
	return &ownership{owners: make(map[owner.Partition]string), epochs: make(map[owner.Partition]owner.Epoch)}
}

func (o *ownership) give(daemon string, partitions ...owner.Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, partition := range partitions {
		o.owners[partition] = daemon
		o.epochs[partition]++
	}
}

// authority is one daemon's view of the ownership.
type authority struct {
	*ownership
	daemon string
}

var (
	_ owner.Authority = authority{}
	_ owner.Directory = authority{}
)

func (a authority) Holds(partition owner.Partition, _ time.Time) (owner.Epoch, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epochs[partition], a.owners[partition] == a.daemon
}

func (a authority) AcquiredAt(owner.Partition) time.Time { return time.Time{} }

func (a authority) MayStart(string, time.Time) bool { return true }

func (a authority) OwnerOf(partition owner.Partition) (daemon, address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	daemon, ok = a.owners[partition]
	return daemon, daemon, ok
}

func (a authority) Partitions() []owner.Partition { return nil }

// memoryJournal keeps records in memory.
type memoryJournal struct {
	mu      sync.Mutex
	records []*kumquatv1.Record
	broken  atomic.Bool
}

func (j *memoryJournal) Append(_ context.Context, records ...*kumquatv1.Record) error {
	if j.broken.Load() {
		return context.DeadlineExceeded
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, records...)
	return nil
}

func (j *memoryJournal) Position() int64       { return 0 }
func (j *memoryJournal) Backlog() (int, int64) { return 0, 0 }
func (j *memoryJournal) Snapshot(context.Context, int64, []*kumquatv1.Record) error {
	return nil
}
func (j *memoryJournal) Close() error { return nil }

// fakeRunner counts what a runner holds at a time.
type fakeRunner struct {
	*httptest.Server
	name   string
	handle http.HandlerFunc
	served atomic.Int64
	now    atomic.Int64
	most   atomic.Int64
}

func newFakeRunner(t testing.TB, name string, handle http.HandlerFunc) *fakeRunner {
	t.Helper()
	runner := &fakeRunner{name: name, handle: handle}
	runner.Server = httptest.NewServer(runner)
	t.Cleanup(runner.Close)
	return runner
}

func (f *fakeRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := f.now.Add(1)
	defer f.now.Add(-1)
	for most := f.most.Load(); held > most && !f.most.CompareAndSwap(most, held); {
		most = f.most.Load()
	}
	f.served.Add(1)
	f.handle(w, r)
}

func (f *fakeRunner) host() lister.Host {
	return lister.Host{
		Name: f.name, Address: f.Listener.Addr().String(), Kind: lister.KindRunner,
		State: lister.StateLive, DataCentre: "atl-a", Upstream: "charms",
	}
}

// fakeDaemon is one daemon with its listeners.
type fakeDaemon struct {
	name    string
	slots   *slotter.Slots
	forward *forwarder.Forwarder
	router  *Router
	callers *httptest.Server
	peers   *httptest.Server
	journal *memoryJournal
}

// cluster is a set of daemons that know each other.
type cluster struct {
	ownership *ownership
	daemons   []*fakeDaemon
	keepers   map[string]*claimkeeper.Keeper
	version   *declarer.Version
}

func testDeclarations() *declarer.Declarations {
	return &declarer.Declarations{
		Regions: []declarer.Region{{Name: "north-ga", DataCentres: []declarer.DataCentre{{Name: "atl-a"}}}},
		Upstreams: []declarer.Upstream{{
			Name: "charms", SlotsPerRunner: testSlots, ConnectionsPerRunner: 64, MaxDuration: 5 * time.Second,
			QueueLength: 100, RetryPercent: 10, MaxBodyBytes: 256 << 10,
		}},
		Routes: []declarer.Route{
			{Path: "/charms", Upstream: "charms", MissCost: 100},
			{Path: "/charms/proofs", Upstream: "charms", Idempotent: true, DefaultDeadline: 2 * time.Second},
			{Path: "/charms/keyed", Upstream: "charms", KeyRequired: true, DefaultDeadline: 2 * time.Second},
		},
	}
}

// newCluster starts daemons. The first owns all runners unless changed.
func newCluster(t testing.TB, names []string, runners ...*fakeRunner) *cluster {
	t.Helper()
	c := &cluster{
		ownership: newOwnership(), keepers: make(map[string]*claimkeeper.Keeper),
		version: &declarer.Version{Number: 1, Declarations: testDeclarations()},
	}
	hosts := make([]lister.Host, 0, len(runners))
	for _, runner := range runners {
		hosts = append(hosts, runner.host())
		c.ownership.give(names[0], slotter.PartitionOf(runner.host()))
	}
	for number := range owner.ClaimPartitionCount {
		c.ownership.give(names[number%len(names)], owner.ClaimPartition(number))
	}
	for _, name := range names {
		c.daemons = append(c.daemons, c.start(t, name, hosts))
	}
	c.introduce()
	return c
}

func (c *cluster) start(t testing.TB, name string, hosts []lister.Host) *fakeDaemon {
	t.Helper()
	view := authority{ownership: c.ownership, daemon: name}
	d := &fakeDaemon{name: name, journal: &memoryJournal{}}
	d.slots = slotter.New(slotter.Options{DataCentre: "atl-a", Authority: view})
	d.slots.SetDeclarations(c.version.Declarations)
	d.slots.SetHosts(hosts)
	d.forward = forwarder.New(forwarder.Options{Daemon: name, DataCentre: "atl-a", Region: "north-ga", Slots: d.slots})
	keeper := claimkeeper.New(claimkeeper.Options{
		Authority: view,
		Open: func(context.Context, owner.Partition, owner.Epoch, func(*kumquatv1.Record)) (claimkeeper.Journal, error) {
			return d.journal, nil
		},
	})
	c.keepers[name] = keeper
	claims := claimer.New(claimer.Options{
		Daemon: name, Directory: view, Local: keeper,
		Dial: func(daemon string) claimer.Service { return c.keepers[daemon] },
	})
	d.router = New(Options{
		Slots: d.slots, Forwarder: d.forward, Claimer: claims,
		Declarations: func() *declarer.Version { return c.version },
	})
	mux := http.NewServeMux()
	mux.Handle(forwarder.Path, d.forward.Handler())
	d.peers = httptest.NewServer(mux)
	d.callers = httptest.NewServer(d.router)
	t.Cleanup(func() {
		d.callers.Close()
		d.peers.Close()
		assertClosed(t, claims.Close, keeper.Close, d.forward.Close, d.slots.Close)
	})
	return d
}

func assertClosed(t testing.TB, closers ...func() error) {
	t.Helper()
	for _, closer := range closers {
		if err := closer(); err != nil {
			t.Error(err)
		}
	}
}

// introduce tells each daemon of the others and their loads.
func (c *cluster) introduce() {
	for _, d := range c.daemons {
		var peers []forwarder.Peer
		for _, other := range c.daemons {
			if other == d {
				continue
			}
			peers = append(peers, forwarder.Peer{
				Daemon: other.name, Address: other.peers.Listener.Addr().String(),
				DataCentre: "atl-a", Region: "north-ga",
			})
		}
		d.forward.SetPeers(peers)
		for _, other := range c.daemons {
			now := time.Now()
			load := other.slots.Load("charms", now)
			d.forward.Observe(other.name, "charms", forwarder.Load{
				Slots: load.Slots, Free: load.Free, Queued: load.Queued, MeanService: load.Service, ReportedAt: now,
			})
		}
	}
}

// a reply is an answer that was read.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) outcome() answerer.Outcome {
	return answerer.Outcome(r.header.Get(answerer.HeaderOutcome))
}

// call sends a request to a daemon. Fields alternate names and values.
func call(t testing.TB, d *fakeDaemon, method, path, body string, fields ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, d.callers.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return send(req, fields...)
}

func send(req *http.Request, fields ...string) reply {
	for i := 0; i < len(fields); i += 2 {
		req.Header.Add(fields[i], fields[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{header: http.Header{}, err: err}
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(read), err: err}
}
