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
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/gateway"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Configuration is one version of what the operator has declared.
type Configuration struct {
	Version int64
	Routes  []gateway.Route
	conductor.Configuration
}

// Declarations follows the operator's declarations and hands each version to
// a callback.
type Declarations interface {
	Follow(ctx context.Context, deliver func(Configuration))
	// IsStoreLost reports whether the store did not answer lately.
	IsStoreLost() bool
}

// Options are what a scheduler is made of, and its settings.
type Options struct {
	Instance    string
	PeerAddress string
	Limits      dispatcher.Limits
	// Cores is the share of a core that this daemon has; zero if not known.
	Cores float64
	// CampaignDelay tells how long this daemon lets others go ahead in an election of a
	// part while it owns some already.
	CampaignDelay func(part, owned int) time.Duration
	Store         transactor.Store
	RunnerClient  conductor.RunnerClient
	Registry      conductor.Registry
	Adviser       conductor.Adviser
	Declarations  Declarations
	Dial          func(ctx context.Context, network, address string) (net.Conn, error)
	Recorder      recorder.Recorder
	Metrics       *counter.Set
}

// A Scheduler is one daemon. It is safe for concurrent use.
type Scheduler struct {
	opts       Options
	metrics    *conductor.Metrics
	client     *relayer.Client
	routes     atomic.Pointer[gateway.Routes]
	duties     atomic.Pointer[duties]
	peers      *http.Server
	cancel     context.CancelFunc
	background sync.WaitGroup
	mu         sync.Mutex
	declared   *Configuration
	draining   atomic.Bool
}

// Start runs a scheduler until Close.
func Start(ctx context.Context, opts Options) (s *Scheduler, err error) {
	s = &Scheduler{opts: opts, metrics: conductor.NewMetrics(opts.Metrics), client: relayer.NewClient(opts.Dial)}
	listener, err := net.Listen("tcp", opts.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.peers = &http.Server{Handler: relayer.NewHandler(s.term, s.local, s.keeper), ReadHeaderTimeout: 5 * time.Second}
	s.background.Go(func() {
		if err := s.peers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Recorder.Record(time.Now(), EventPeersFailed, recorder.Fields{"error": err.Error()})
		}
	})
	s.background.Go(func() { opts.Declarations.Follow(ctx, s.declare) })
	s.background.Go(func() { s.begin(ctx) })
	return s, nil
}

// begin takes up the duties once the split is known.
func (s *Scheduler) begin(ctx context.Context) {
	split, err := s.agree(ctx)
	if err != nil {
		return // the daemon stops
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || ctx.Err() != nil {
		return
	}
	s.duties.Store(newDuties(ctx, s, split))
}

// Drain leaves the balancer and gives up ownership.
func (s *Scheduler) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	if d := s.duties.Load(); d != nil {
		d.elector.Resign(ctx)
	}
}

// Close stops everything and waits for it.
func (s *Scheduler) Close() error {
	s.cancel()
	s.mu.Lock() // taking up the duties is over, or does not begin any more
	d := s.duties.Load()
	s.mu.Unlock()
	if d != nil {
		d.close()
	}
	err := s.peers.Close()
	s.background.Wait()
	return err
}

// Gateway returns the part that serves clients; there is one as soon as there
// are routes.
func (s *Scheduler) Gateway() *gateway.Gateway { return s.duties.Load().gateway }

// Routes returns the routes in force, or nil while the daemon can't serve.
func (s *Scheduler) Routes() *gateway.Routes {
	if s.duties.Load() == nil {
		return nil
	}
	return s.routes.Load()
}

// IsReady reports whether clients may be sent here.
func (s *Scheduler) IsReady() bool { return s.Routes() != nil && !s.draining.Load() }

// IsDraining reports whether the daemon is about to stop.
func (s *Scheduler) IsDraining() bool { return s.draining.Load() }

// OwnedParts returns the parts that this daemon serves as the owner.
func (s *Scheduler) OwnedParts() (parts []int) {
	if d := s.duties.Load(); d != nil {
		for part := range d.owners {
			if d.owners[part].Load() != nil {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// local returns the duties of a part's owner if this process has them.
func (s *Scheduler) local(part int) relayer.Owner {
	if d := s.duties.Load(); d != nil {
		return d.local(part)
	}
	return nil
}

// term tells other daemons of a part.
func (s *Scheduler) term(part int) relayer.TermStatus {
	if d := s.duties.Load(); d != nil {
		return d.term(part)
	}
	return relayer.TermStatus{Instance: s.opts.Instance}
}

func (s *Scheduler) keeper() relayer.SubmissionStore { return s.Gateway() }

// declare puts a version of the declarations in force; versions only rise.
func (s *Scheduler) declare(d Configuration) {
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
	if duties := s.duties.Load(); duties != nil {
		duties.configure(d.Configuration)
	}
}

func (s *Scheduler) world() conductor.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.declared == nil {
		return conductor.Configuration{}
	}
	return s.declared.Configuration
}
