// Package scheduler assembles the daemon that runs submissions from the gateway for
// clients, the election of owners, and the duties of an owner.
package scheduler

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/counter"
	"github.com/kumquatstack/kumquatstack/internal/process/gateway"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Configuration is one version of the operator's declarations.
type Configuration struct {
	Version int64
	Routes  []gateway.Route
	// Dispatch holds what owners decide by.
	Dispatch dispatcher.Configuration
}

// Declarations follows the operator's declarations and passes each version of them
// to a callback.
type Declarations interface {
	Follow(ctx context.Context, deliver func(Configuration))
	// IsStoreLost reports whether recent calls to the store were not answered.
	IsStoreLost() bool
}

// Registry lists the registered runners.
type Registry interface {
	conductor.Registry
	// Count returns the number of registered runners.
	Count(ctx context.Context) (int, error)
}

// Options configure a Scheduler.
type Options struct {
	// Instance distinguishes successive processes of one daemon.
	Instance string
	// PeerAddress is the address at which this daemon serves other daemons.
	PeerAddress string
	Limits      dispatcher.Limits
	// MaxValueBytes is the size of the largest value that the store takes, or zero if that is
	// not known.
	MaxValueBytes int
	// Cores is the number of processor cores, or the fraction of one, that this
	// daemon may use; zero if not known.
	Cores float64
	// CampaignDelay returns how long this daemon waits in the election for a part,
	// given the number of parts that it owns, so that daemons that are larger or own
	// fewer parts go first.
	CampaignDelay func(part, owned int) time.Duration
	Store         transactor.Store
	RunnerClient  conductor.RunnerClient
	Registry      Registry
	Adviser       conductor.Adviser
	Declarations  Declarations
	Dial          func(ctx context.Context, network, address string) (net.Conn, error)
	Recorder      recorder.Recorder
	Metrics       *counter.Set
}

// A Scheduler is the scheduling component of one daemon. It is safe for concurrent use.
type Scheduler struct {
	opts       Options
	metrics    *conductor.Metrics
	client     *relayer.Client
	routes     atomic.Pointer[gateway.Routes]
	duties     atomic.Pointer[duties]
	peerServer *http.Server
	cancel     context.CancelFunc
	background sync.WaitGroup
	config     holder.Latest[Configuration]
	draining   atomic.Bool
	// mu serialises changes of the configuration, and the start of owners, which
	// begin with the latest one.
	//
	// Lock order: mu before the lock of a conductor.
	mu sync.Mutex
}

// Start starts a scheduler; Close stops it.
func Start(ctx context.Context, opts Options) (s *Scheduler, err error) {
	s = &Scheduler{opts: opts, metrics: conductor.NewMetrics(opts.Metrics), client: relayer.NewClient(opts.Dial)}
	listener, err := net.Listen("tcp", opts.PeerAddress)
	if err != nil {
		return nil, err
	}
	opts.Metrics.Publish(OwnedParts, expvar.Func(func() any { return s.statuses() }))
	ctx, s.cancel = context.WithCancel(ctx)
	s.peerServer = &http.Server{Handler: relayer.NewHandler(s.term, s.localOwner, s.submissionStore), ReadHeaderTimeout: 5 * time.Second}
	s.background.Go(func() {
		if err := s.peerServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			opts.Recorder.Record(time.Now(), EventPeersFailed, recorder.Fields{"error": err.Error()})
		}
	})
	s.background.Go(func() { opts.Declarations.Follow(ctx, s.configure) })
	s.background.Go(func() { s.startDuties(ctx) })
	return s, nil
}

// startDuties starts the duties once the split is known.
func (s *Scheduler) startDuties(ctx context.Context) {
	split, err := s.agreeOnSplit(ctx)
	if err != nil {
		return // the context has ended because the daemon stops
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || ctx.Err() != nil {
		return
	}
	s.duties.Store(newDuties(ctx, s, split))
}

// Times of the resignation of an owner.
const (
	// maxResignDelay is how long a daemon that stops keeps its parts while the store does
	// not answer.
	maxResignDelay = 2500 * time.Millisecond
	// resignCheckInterval is the pause between two looks at the store meanwhile.
	resignCheckInterval = 50 * time.Millisecond
)

// Drain makes the daemon unready, so that the load balancer sends it no new clients,
// and gives up the ownership of its parts.
//
// Load: daemons that are restarted in turn while the store is silent. As nobody can take
// the parts over, the daemon keeps renewing the leases of what runs for some time.
func (s *Scheduler) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	d := s.duties.Load()
	if d == nil {
		return
	}
	for until := time.Now().Add(maxResignDelay); s.opts.Declarations.IsStoreLost() && time.Now().Before(until); {
		if !pauser.Sleep(ctx, resignCheckInterval) {
			break
		}
	}
	d.elector.Resign(ctx)
}

// Close stops the scheduler and waits until all its goroutines have ended.
func (s *Scheduler) Close() error {
	s.cancel()
	s.mu.Lock() // ctx has ended: startDuties has started the duties by now or never will
	d := s.duties.Load()
	s.mu.Unlock()
	if d != nil {
		d.close()
	}
	err := s.peerServer.Close()
	s.background.Wait()
	return err
}

// Gateway returns the gateway, which serves clients. It must not be called before
// Routes has returned a table.
func (s *Scheduler) Gateway() *gateway.Gateway { return s.duties.Load().gateway }

// Routes returns the current routes, or nil while the daemon can't serve clients yet.
func (s *Scheduler) Routes() *gateway.Routes {
	if s.duties.Load() == nil {
		return nil
	}
	return s.routes.Load()
}

// IsReady reports whether the daemon accepts clients.
func (s *Scheduler) IsReady() bool { return s.Routes() != nil && !s.draining.Load() }

// IsDraining reports whether Drain was called, so that the daemon will stop soon.
func (s *Scheduler) IsDraining() bool { return s.draining.Load() }

// OwnedParts returns the parts that this daemon serves as the owner.
func (s *Scheduler) OwnedParts() (parts []int) {
	if d := s.duties.Load(); d != nil {
		for part := range d.owned() {
			parts = append(parts, part)
		}
	}
	return parts
}

// statuses returns the status of each part that this daemon serves as the owner.
func (s *Scheduler) statuses() map[int]dispatcher.Status {
	statuses := make(map[int]dispatcher.Status)
	if d := s.duties.Load(); d != nil {
		for part, c := range d.owned() {
			statuses[part] = c.Status()
		}
	}
	return statuses
}

// localOwner returns a part's owner if it is this process, else nil.
func (s *Scheduler) localOwner(part int) relayer.Owner {
	if d := s.duties.Load(); d != nil {
		return d.localOwner(part)
	}
	return nil
}

// term answers other daemons that ask about this daemon's ownership of a part.
func (s *Scheduler) term(part int) relayer.TermStatus {
	if d := s.duties.Load(); d != nil {
		return d.term(part)
	}
	return relayer.TermStatus{Instance: s.opts.Instance}
}

func (s *Scheduler) submissionStore() relayer.SubmissionStore { return s.Gateway() }

// configure applies a version of the configuration, unless a newer one is applied
// already.
func (s *Scheduler) configure(config Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.config.Get()
	if known && config.Version < current.Version {
		return
	}
	if !known || config.Version != current.Version {
		s.opts.Recorder.Record(time.Now(), EventDeclared, recorder.Fields{
			"version": strconv.FormatInt(config.Version, 10), "routes": strconv.Itoa(len(config.Routes)),
		})
	}
	s.config.Set(config)
	s.routes.Store(gateway.NewRoutes(config.Routes))
	if duties := s.duties.Load(); duties != nil {
		duties.configure(config.Dispatch)
	}
}
