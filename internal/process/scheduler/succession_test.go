package scheduler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// An emptyRegistry has no runners.
type emptyRegistry struct{ fixedRegistry }

func (emptyRegistry) Follow(ctx context.Context, _ func(id string) bool, deliver func([]dispatcher.RunnerInfo)) {
	deliver(nil)
	<-ctx.Done()
}

// A pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// dial connects a client with the listener.
func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A dynasty is a part and the daemons that own it one after the other.
type dynasty struct {
	t         *testing.T
	store     *memorystore.Store
	listeners map[string]*pipeListener // by host
	cutOff    atomic.Value             // the host that no daemon reaches
	pool      *pool                    // the runners; nil if there are none
	routes    map[int]*route           // to the pool, by host
	daemons   []*duties
}

// runDynasty runs a test with a dynasty whose clock advances only while the test waits.
func runDynasty(t *testing.T, test func(y *dynasty)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		y := &dynasty{t: t, store: memorystore.New(), listeners: make(map[string]*pipeListener), routes: make(map[int]*route)}
		y.cutOff.Store("")
		for i := range 3 {
			y.listeners["host"+strconv.Itoa(i)+":80"] = newPipeListener()
		}
		test(y)
	})
}

// dial connects daemons.
func (y *dynasty) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if address == y.cutOff.Load() {
		return nil, errors.New("cut off")
	}
	return y.listeners[address].dial(ctx)
}

// start starts a daemon on a host, and returns its record as the part's owner.
func (y *dynasty) start(host int) elector.Owner {
	y.t.Helper()
	d := y.join(host)
	time.Sleep(100 * time.Millisecond)
	owner := d.elector.Current(0)
	if want := d.s.opts.Instance; owner.Instance != want {
		y.t.Fatalf("owner %+v, want %s", owner, want)
	}
	return owner
}

// join starts a daemon on a host.
func (y *dynasty) join(host int) *duties {
	y.t.Helper()
	s := newDaemon(y.store, host, 1)
	s.opts.PeerAddress += ":80"
	s.opts.Registry = emptyRegistry{}
	if y.pool != nil {
		s.opts.Registry, s.opts.RunnerClient = y.pool, y.route(host)
		s.opts.Limits = poolLimits
		s.config.Set(Configuration{Version: 1, Dispatch: dispatcher.NewConfiguration([]submitter.Queue{{Name: "q", Service: "s", MaxAttempts: 2}}, nil)})
	}
	s.client, s.metrics = relayer.NewClient(y.dial), conductor.NewMetrics(counter.New())
	d := &duties{
		s: s, split: partitioner.Split{Parts: 1},
		conductors: make([]atomic.Pointer[conductor.Conductor], 1), endedTerms: make([]atomic.Pointer[endedTerm], 1),
	}
	d.elector = d.newElector(d.serveOwner)
	server := &http.Server{Handler: relayer.NewHandler(d.term, d.localOwner, nil), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(y.listeners[s.opts.PeerAddress]) }()
	d.elector.Run(y.t.Context())
	y.t.Cleanup(func() {
		d.elector.Close()
		_ = server.Close()
	})
	y.daemons = append(y.daemons, d)
	return d
}

// resign makes the newest daemon give up its part.
func (y *dynasty) resign() {
	y.daemons[len(y.daemons)-1].elector.Resign(y.t.Context())
}

// assertSettled checks that the owner's mark is written after a time from now, and not
// earlier.
func (y *dynasty) assertSettled(owner elector.Owner, after time.Duration) {
	y.t.Helper()
	const slack = 500 * time.Millisecond
	if after > 0 {
		time.Sleep(after - slack)
		if item, err := y.store.Get(y.t.Context(), "kumquat/owner/0/settled"); err == nil {
			y.t.Errorf("marked by %s, %s before the earlier owners end; want no mark", item.Value, slack)
		}
	}
	time.Sleep(2 * slack)
	item, err := y.store.Get(y.t.Context(), "kumquat/owner/0/settled")
	if want := strconv.FormatInt(owner.Fence, 10); err != nil || string(item.Value) != want {
		y.t.Errorf("mark %q, error %v; want one by %s", item.Value, err, want)
	}
}

func TestMarkIsWrittenOnceEarlierOwnersHaveEnded(t *testing.T) {
	t.Parallel()
	t.Run("at once after an orderly change", func(t *testing.T) {
		t.Parallel()
		runDynasty(t, func(y *dynasty) {
			y.start(0)
			y.resign()
			y.assertSettled(y.start(1), 0)
			y.resign()
			y.assertSettled(y.start(2), 0)
		})
	})
	t.Run("late after an owner that does not answer", func(t *testing.T) {
		t.Parallel()
		runDynasty(t, func(y *dynasty) {
			y.start(0)
			y.resign()
			y.cutOff.Store("host0:80")
			y.assertSettled(y.start(1), elector.MaxUnconfirmed)
		})
	})
	t.Run("late if the owner in between has ended", func(t *testing.T) {
		t.Parallel()
		runDynasty(t, func(y *dynasty) {
			y.start(0)
			y.resign()
			y.cutOff.Store("host0:80")
			y.start(1)
			time.Sleep(time.Second)
			y.resign()
			y.assertSettled(y.start(2), elector.MaxUnconfirmed)
		})
	})
}
