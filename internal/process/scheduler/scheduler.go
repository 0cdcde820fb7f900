// Package scheduler assembles the daemon that runs submissions: the gateway for
// clients, the election, and the duties of an owner.
package scheduler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/process/gateway"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Declared is one version of what the operator has declared.
type Declared struct {
	Version int64
	Routes  []gateway.Route
	conductor.World
}

// Declarations follows the operator's declarations and hands each version to
// a callback.
type Declarations interface {
	Follow(ctx context.Context, deliver func(Declared))
	// IsStoreLost reports whether the store did not answer lately.
	IsStoreLost() bool
}

// Options are the parts and settings of a scheduler.
type Options struct {
	Instance     string
	PeerAddress  string
	Limits       dispatcher.Limits
	Delay        time.Duration
	Store        transactor.Store
	Agents       conductor.Agents
	Registry     conductor.Registry
	Adviser      conductor.Adviser
	Declarations Declarations
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	Recorder     recorder.Recorder
	Metrics      *counter.Set
}

// retryLoad is the pause before a new owner tries again to load the records.
const retryLoad = 200 * time.Millisecond

// Times of asking a former owner whether it has stopped.
const (
	askFormer = 250 * time.Millisecond
	askAgain  = 200 * time.Millisecond
)

// A Scheduler is one daemon. It is safe for concurrent use.
type Scheduler struct {
	opts     Options
	metrics  *conductor.Metrics
	client   *relayer.Client
	gateway  *gateway.Gateway
	elector  *elector.Elector
	routes   atomic.Pointer[gateway.Routes]
	owner    atomic.Pointer[conductor.Conductor]
	peers    *http.Server
	cancel   context.CancelFunc
	parts    sync.WaitGroup
	mu       sync.Mutex
	declared *Declared
	draining atomic.Bool
}

// Start runs a scheduler until Close.
func Start(ctx context.Context, opts Options) (s *Scheduler, err error) {
	s = &Scheduler{opts: opts, metrics: conductor.NewMetrics(opts.Metrics), client: relayer.NewClient(opts.Dial)}
	listener, err := net.Listen("tcp", opts.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.elector = elector.New(elector.Options{
		Store: opts.Store, Instance: opts.Instance, Address: opts.PeerAddress, Delay: opts.Delay,
		Recorder: opts.Recorder, Serve: s.serveOwner,
	})
	s.gateway = gateway.New(gateway.Options{
		Store: opts.Store, Elector: s.elector, Peers: s.client, Recorder: opts.Recorder, Local: s.local,
		IsStoreLost: opts.Declarations.IsStoreLost,
	})
	s.peers = &http.Server{Handler: relayer.NewHandler(opts.Instance, s.local, s.gateway), ReadHeaderTimeout: 5 * time.Second}
	s.goPart(func() {
		if err := s.peers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Recorder.Record(time.Now(), EventPeersFailed, recorder.Fields{"error": err.Error()})
		}
	})
	s.goPart(func() { opts.Declarations.Follow(ctx, s.declare) })
	s.elector.Run(ctx)
	return s, nil
}

func (s *Scheduler) goPart(part func()) {
	s.parts.Add(1)
	go func() {
		defer s.parts.Done()
		part()
	}()
}

// Drain leaves the balancer and gives up ownership.
func (s *Scheduler) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.elector.Resign(ctx)
}

// Close stops everything and waits for it.
func (s *Scheduler) Close() error {
	s.cancel()
	s.elector.Close()
	s.gateway.Close()
	err := s.peers.Close()
	s.parts.Wait()
	return err
}

// Gateway returns the part that serves clients.
func (s *Scheduler) Gateway() *gateway.Gateway { return s.gateway }

// Routes returns the routes in force, or nil before the first configuration.
func (s *Scheduler) Routes() *gateway.Routes { return s.routes.Load() }

// IsReady reports whether clients may be sent here.
func (s *Scheduler) IsReady() bool { return s.routes.Load() != nil && !s.draining.Load() }

// IsOwner reports whether this daemon serves as the owner.
func (s *Scheduler) IsOwner() bool { return s.owner.Load() != nil }

// IsDraining reports whether the daemon is about to stop.
func (s *Scheduler) IsDraining() bool { return s.draining.Load() }

// local returns the owner's duties if this process has them.
func (s *Scheduler) local() relayer.Owner {
	if c := s.owner.Load(); c != nil {
		return c
	}
	return nil
}

// declare puts a version of the declarations in force; versions only rise.
func (s *Scheduler) declare(d Declared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.declared != nil && d.Version < s.declared.Version {
		return
	}
	if s.declared == nil || d.Version != s.declared.Version {
		s.opts.Recorder.Record(time.Now(), EventDeclared, recorder.Fields{
			"version": strconv.FormatInt(d.Version, 10), "routes": strconv.Itoa(len(d.Routes)),
		})
	}
	s.declared = &d
	s.routes.Store(gateway.NewRoutes(d.Routes))
	if c := s.owner.Load(); c != nil {
		c.Configure(d.World)
	}
}

func (s *Scheduler) world() conductor.World {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.declared == nil {
		return conductor.World{}
	}
	return s.declared.World
}

// hasEnded asks the daemon of a former owner whether its process was replaced
// or serves no more.
func (s *Scheduler) hasEnded(ctx context.Context, former elector.Owner) bool {
	ctx, cancel := context.WithTimeout(ctx, askFormer)
	defer cancel()
	instance, serves, err := s.client.Term(ctx, former.Address)
	return err == nil && (instance != former.Instance || !serves)
}

// serveOwner runs the duties of an owner for one term.
func (s *Scheduler) serveOwner(ctx context.Context, owner, former elector.Owner) {
	formerEnd := time.Now()
	if former.Fence > 0 && former.Address != s.opts.PeerAddress {
		formerEnd = formerEnd.Add(elector.MaxUnconfirmed)
	}
	opts := conductor.Options{
		Limits: s.opts.Limits, Store: s.opts.Store, Agents: s.opts.Agents, Registry: s.opts.Registry,
		Adviser:  s.opts.Adviser,
		Recorder: s.opts.Recorder, Metrics: s.metrics, OwnerKey: elector.RecordKey,
		Fence: owner.Fence, Generation: owner.Generation, FormerEnd: formerEnd,
		Deposed: func(reason string) { s.elector.Depose(time.Now(), reason) },
	}
	s.parts.Add(1)
	go func() {
		defer s.parts.Done()
		s.settleFormer(ctx, former, formerEnd)
	}()
	for ctx.Err() == nil {
		c, err := conductor.Start(ctx, opts, s.world())
		if err != nil {
			s.opts.Recorder.Record(time.Now(), EventLoadFailed, recorder.Fields{"error": err.Error()})
			pauser.Sleep(ctx, retryLoad)
			continue
		}
		s.owner.Store(c)
		c.Configure(s.world())
		s.opts.Recorder.Record(time.Now(), EventServing, recorder.Fields{"fence": strconv.FormatInt(owner.Fence, 10)})
		<-ctx.Done()
		s.owner.Store(nil)
		c.Close()
	}
}

// settleFormer asks a former owner whether it has stopped, so that what may run
// on silent runners need not wait for longest.
func (s *Scheduler) settleFormer(ctx context.Context, former elector.Owner, formerEnd time.Time) {
	for ctx.Err() == nil && time.Now().Before(formerEnd) {
		if c := s.owner.Load(); c != nil && s.hasEnded(ctx, former) {
			c.FormerEnded()
			return
		}
		pauser.Sleep(ctx, askAgain)
	}
}
