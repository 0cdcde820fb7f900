// Package slotter keeps the slots and connections of the runners that this
// daemon owns. A slot is one connection that carries one request at a time, so
// that a runner never holds more requests than it has slots.
package slotter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// Periods and bounds of the table.
const (
	// maintenancePeriod is the time between two looks at the whole table.
	maintenancePeriod = 50 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// leavingHold is the time for which a runner's own signal of leaving holds.
	leavingHold = 30 * time.Second
	// lateFactor is the multiple of the typical latency after which a missing
	// answer is the runner's failure.
	lateFactor = 5
	// initialService is the mean use of a slot before any was measured.
	initialService = 50 * time.Millisecond
)

// Options configure the slots of a daemon.
type Options struct {
	// DataCentre is the daemon's own data centre.
	DataCentre string
	// Authority tells which partitions this daemon owns. It is called with the
	// table locked and must not call back.
	Authority owner.Authority
	Recorder  recorder.Recorder
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
	// OnReady, if not nil, is called when the first runner of an upstream may be
	// used. It must not block.
	OnReady func()
	// Dial connects to a runner; nil means exchanger.Dial.
	Dial func(ctx context.Context, address string) (*exchanger.Conn, error)
}

// Slots is the table of runners with their slots and connections.
//
// Lock order: mu is taken before the locks of the authority and of the
// recorder; no lock of the slots is held while a connection is used.
type Slots struct {
	opts Options
	life context.Context
	end  context.CancelFunc
	jobs sync.WaitGroup

	mu        sync.Mutex
	declared  *declarer.Declarations
	hosts     []lister.Host
	upstreams map[string]*upstream
	drained   map[owner.Partition]owner.Epoch
	closed    bool
}

// New returns an empty table. Close ends it.
func New(opts Options) *Slots {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Dial == nil {
		opts.Dial = exchanger.Dial
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	life, end := context.WithCancel(context.Background())
	s := &Slots{
		opts:      opts,
		life:      life,
		end:       end,
		upstreams: make(map[string]*upstream),
		drained:   make(map[owner.Partition]owner.Epoch),
	}
	s.jobs.Add(1)
	go s.maintain()
	return s
}

// SetDeclarations puts a version of the declarations in force.
func (s *Slots) SetDeclarations(declared *declarer.Declarations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.declared = declared
	s.rebuild(now)
	s.dispatchAll(now)
}

// SetHosts takes over the platform's list of hosts. Hosts other than runners
// are ignored.
func (s *Slots) SetHosts(hosts []lister.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.hosts = slices.Clone(hosts)
	s.rebuild(now)
	s.dispatchAll(now)
}

// rebuild brings the table in line with the declarations and the host list.
func (s *Slots) rebuild(now time.Time) {
	if s.declared == nil {
		return
	}
	for _, up := range s.upstreams {
		up.unlist()
	}
	for _, declared := range s.declared.Upstreams {
		up := s.upstreams[declared.Name]
		if up == nil {
			up = newUpstream(declared)
			s.upstreams[declared.Name] = up
		}
		up.declare(declared)
	}
	for _, host := range s.hosts {
		if up := s.upstreams[host.Upstream]; up != nil && host.Kind == lister.KindRunner {
			up.list(host, s.declared.IsOut(host.DataCentre), now)
		}
	}
	for name, up := range s.upstreams {
		up.forget()
		if up.isGone() {
			delete(s.upstreams, name)
		}
	}
}

// maintain looks at the whole table periodically until the table is closed.
func (s *Slots) maintain() {
	defer s.jobs.Done()
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.life.Done():
			return
		case <-ticker.C:
			s.tidy(s.opts.Now())
		}
	}
}

// tidy serves waiting requests and closes connections that are idle for long
// or belong to runners that this daemon may not use.
func (s *Slots) tidy(now time.Time) {
	s.mu.Lock()
	var stale []*exchanger.Conn
	ready := false
	for _, up := range s.upstreams {
		hadSlots := up.hasSlots
		up.hasSlots = s.capacity(up, now) > 0
		ready = ready || up.hasSlots && !hadSlots
		candidates := s.candidates(up, now)
		up.median = picker.Median(candidates)
		up.fastest = picker.Fastest(candidates)
		for _, r := range up.runners {
			stale = append(stale, r.takeStale(s.mayUse(r, up, now), now)...)
		}
	}
	s.dispatchAll(now)
	s.mu.Unlock()
	for _, conn := range stale {
		conn.Close()
	}
	if ready && s.opts.OnReady != nil {
		s.opts.OnReady()
	}
}

// mayUse reports whether this daemon may send to a runner now.
func (s *Slots) mayUse(r *runner, up *upstream, now time.Time) bool {
	epoch, held := s.opts.Authority.Holds(r.partition, now)
	if !held {
		return false
	}
	if at, ok := s.drained[r.partition]; ok && at == epoch {
		return false
	}
	return s.isSettled(r, up, now)
}

// isSettled reports whether all requests of a former owner must have ended.
func (s *Slots) isSettled(r *runner, up *upstream, now time.Time) bool {
	acquired := s.opts.Authority.AcquiredAt(r.partition)
	return acquired.IsZero() || !now.Before(acquired.Add(up.longest))
}

// Close refuses waiting requests, closes idle connections and waits for
// everything the table has started. Requests in flight are broken off.
func (s *Slots) Close() error {
	s.mu.Lock()
	s.closed = true
	s.end()
	var idle []*exchanger.Conn
	for _, up := range s.upstreams {
		up.refuseAll(&errs.NotRunError{Reason: "daemon is stopping", RetryAfter: time.Second})
		for _, r := range up.runners {
			idle = append(idle, r.takeIdle()...)
		}
	}
	s.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
	s.jobs.Wait()
	return nil
}

// sortRunners orders runners by name.
func sortRunners(runners []*runner) {
	slices.SortFunc(runners, func(a, b *runner) int { return strings.Compare(a.host.Name, b.host.Name) })
}
