// Package slotter manages the concurrency slots of the runners that this daemon
// owns and the connections to them. A slot is one connection that carries one
// request at a time, so a runner never has more requests in flight than slots.
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
	// maintenancePeriod is the time between two passes over the whole table.
	maintenancePeriod = 50 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// leavingPeriod is how long a runner gets no requests after it has announced that it
	// is leaving.
	leavingPeriod = 30 * time.Second
	// lateFactor is the multiple of the median latency above which a response
	// that missed the deadline counts as a failure of the runner.
	lateFactor = 5
	// initialServiceTime is the assumed mean service time until the first request ends.
	initialServiceTime = 50 * time.Millisecond
)

// Options configure the slots of a daemon.
type Options struct {
	// DataCentre is the daemon's own data centre.
	DataCentre string
	// Authority reports which partitions this daemon owns. It is called with the
	// table locked and must not call back into the table.
	Authority owner.Authority
	Recorder  recorder.Recorder
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnReady, if not nil, is called when an upstream that had no usable slot
	// gets one. It must not block.
	OnReady func()
	// Dial connects to a runner; nil means exchanger.Dial.
	Dial func(ctx context.Context, address string) (*exchanger.Conn, error)
}

// Slots is the table of runners with their slots and connections. It is safe for
// concurrent use.
//
// Lock order: mu is acquired before the locks of the authority and of the
// recorder. It is not held while a connection is used.
type Slots struct {
	opts       Options
	baseCtx    context.Context
	cancelBase context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	declared  *declarer.Declarations
	hosts     []lister.Host // the last host list
	upstreams map[string]*upstream
	drained   map[owner.Partition]owner.Epoch // epoch in which each was drained
	closed    bool
}

// New returns an empty table and starts its maintenance, which Close stops.
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
	baseCtx, cancelBase := context.WithCancel(context.Background())
	s := &Slots{
		opts:       opts,
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		upstreams:  make(map[string]*upstream),
		drained:    make(map[owner.Partition]owner.Epoch),
	}
	s.background.Add(1)
	go s.maintain()
	return s
}

// SetDeclarations replaces the declarations and grants slots that have become free to
// queued requests.
func (s *Slots) SetDeclarations(declared *declarer.Declarations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.declared = declared
	s.rebuild(now)
	s.dispatchAll(now)
}

// SetHosts replaces the platform's list of hosts, and grants slots that have become free
// to queued requests. Hosts that are not runners are ignored.
func (s *Slots) SetHosts(hosts []lister.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.hosts = slices.Clone(hosts)
	s.rebuild(now)
	s.dispatchAll(now)
}

// rebuild updates the table to match the declarations and the host list.
func (s *Slots) rebuild(now time.Time) {
	if s.declared == nil {
		return
	}
	for _, up := range s.upstreams {
		up.markUnlisted()
	}
	for _, declared := range s.declared.Upstreams {
		up := s.upstreams[declared.Name]
		if up == nil {
			up = newUpstream(declared)
			s.upstreams[declared.Name] = up
		}
		up.setDeclared(declared)
	}
	for _, host := range s.hosts {
		if up := s.upstreams[host.Upstream]; up != nil && host.Kind == lister.KindRunner {
			up.setHost(host, s.declared.IsOut(host.DataCentre), now)
		}
	}
	for name, up := range s.upstreams {
		up.removeUnlistedRunners()
		if up.isRemovable() {
			delete(s.upstreams, name)
		}
	}
}

// maintain runs periodic maintenance until the table is closed.
func (s *Slots) maintain() {
	defer s.background.Done()
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.baseCtx.Done():
			return
		case <-ticker.C:
			s.maintainOnce(s.opts.Now())
		}
	}
}

// maintainOnce updates the latency statistics, serves queued requests and closes
// connections that have exceeded the idle timeout or whose runners this daemon
// may not use.
func (s *Slots) maintainOnce(now time.Time) {
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

// mayUse reports whether this daemon may send requests to a runner now: the daemon owns
// the runner's partition, has not drained the partition in this epoch, and the requests
// of a former owner have ended.
func (s *Slots) mayUse(r *runner, up *upstream, now time.Time) bool {
	epoch, held := s.opts.Authority.Holds(r.partition, now)
	if !held {
		return false
	}
	if drainedEpoch, ok := s.drained[r.partition]; ok && drainedEpoch == epoch {
		return false
	}
	return s.isTakeoverComplete(r, up, now)
}

// isTakeoverComplete reports whether all requests of a former owner must have
// ended, because the upstream's longest maximum duration has passed since this
// daemon acquired the partition.
func (s *Slots) isTakeoverComplete(r *runner, up *upstream, now time.Time) bool {
	acquired := s.opts.Authority.AcquiredAt(r.partition)
	return acquired.IsZero() || !now.Before(acquired.Add(up.longestDuration))
}

// runInBackground runs a function for which Close waits. It reports false, and runs nothing,
// once Close was called.
func (s *Slots) runInBackground(run func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.background.Go(run)
	return true
}

// Close refuses queued requests, closes idle connections and waits for all
// background work. Slots that are still draining have their connections closed.
func (s *Slots) Close() error {
	s.mu.Lock()
	s.closed = true
	s.cancelBase()
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
	s.background.Wait()
	return nil
}

// sortRunners orders runners by name.
func sortRunners(runners []*runner) {
	slices.SortFunc(runners, func(a, b *runner) int { return strings.Compare(a.host.Name, b.host.Name) })
}
