package pledger

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	stepInterval = 250 * time.Millisecond
	// requestAfter is the age of the last answered keep-alive of the lease after
	// which pledges are requested.
	requestAfter = 1500 * time.Millisecond
	// callTimeout bounds one call to a guarantor.
	callTimeout = 700 * time.Millisecond
	// listSettleTime is how long the candidates must be unchanged before the list
	// of guarantors is written.
	listSettleTime = time.Second
	// listTimeout bounds one read and write of a list, or one sweep.
	listTimeout = 2 * time.Second
	// sweepInterval is the shortest time between two sweeps of obsolete lists.
	sweepInterval = 30 * time.Second
)

// Settings are what a Pledger needs.
type Settings struct {
	Store    storer.Store
	Group    *member.Group
	Recorder recorder.Recorder
	// Watcher is used to delete the lists of former incarnations. It may be nil; then
	// no lists are deleted.
	Watcher *watcher.Watcher
	// HasPartitions reports whether an owner record names an incarnation. It may be
	// nil; then no lists are deleted, and no pledges are requested for a former
	// incarnation.
	HasPartitions func(daemon string, incarnation int64) bool
	// Dial returns a client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// An incarnation identifies one registration of a daemon. It is used as a map key.
type incarnation struct {
	daemon string
	number int64
}

// A Pledger requests and grants pledges, and evicts incarnations.
//
// Lock order: mu is a leaf; store and peer calls run without it.
type Pledger struct {
	settings  Settings
	started   time.Time
	calls     sync.WaitGroup
	evictions singleflight.Group

	mu              sync.Mutex
	current         *pledgeSet                // of the latest incarnation of this process
	previous        *pledgeSet                // of the incarnation before
	ownIncarnations map[int64]bool            // incarnations of this process
	pledgedUntil    map[incarnation]time.Time // end of the last pledge granted to each
	blocked         map[incarnation]bool      // get no more pledges from this daemon
	evicted         map[incarnation]bool      // can no longer act
	evictingSince   map[incarnation]time.Time // first attempt to evict each
	pendingList     []Guarantor               // the candidates for guarantors in the last step
	pendingSince    time.Time                 // when pendingList last changed
	isLeaseExtended bool                      // as of the last recordExtension

	sweptAt time.Time // used by Run alone
}

// New returns a pledger.
func New(settings Settings) *Pledger {
	return &Pledger{
		settings:        settings,
		started:         time.Now(),
		current:         newPledgeSet(0),
		previous:        newPledgeSet(0),
		ownIncarnations: make(map[int64]bool),
		pledgedUntil:    make(map[incarnation]time.Time),
		blocked:         make(map[incarnation]bool),
		evicted:         make(map[incarnation]bool),
		evictingSince:   make(map[incarnation]time.Time),
	}
}

// Run keeps the list of guarantors up to date, and requests pledges while the
// lease can't be renewed, until the context ends.
func (p *Pledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	p.calls.Wait()
	return ctx.Err()
}

// IsLeaseExtended reports whether pledges extend the lease of one of this daemon's
// incarnations, so that the daemon may act although it can't renew that lease.
func (p *Pledger) IsLeaseExtended(number int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch number {
	case 0:
		return false
	case p.current.incarnation:
		return p.current.isLeaseExtended(now)
	case p.previous.incarnation:
		return p.previous.isLeaseExtended(now)
	default:
		return false
	}
}

// step requests pledges or writes the list of guarantors if due, sweeps obsolete
// lists, and records an event if pledges have begun or ceased to extend the lease.
func (p *Pledger) step(ctx context.Context, now time.Time) {
	lease := p.settings.Group.Lease()
	if lease.Incarnation == 0 {
		return
	}
	p.followLease(lease)
	if former := p.formerInUse(); former != nil {
		p.requestPledges(ctx, former, now)
	}
	if member.Elapsed(lease.Renewed, now) > requestAfter {
		p.requestPledges(ctx, p.present(), now)
	} else if list, ok := p.dueList(now); ok {
		p.writeList(ctx, list)
	}
	if now.Sub(p.sweptAt) > sweepInterval {
		p.sweptAt = now
		p.sweep(ctx)
	}
	p.recordExtension(now)
}

// followLease starts a new pledge set when the daemon has registered again.
func (p *Pledger) followLease(lease member.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownIncarnations[lease.Incarnation] = true
	if p.current.incarnation != lease.Incarnation {
		p.previous = p.current
		p.current = newPledgeSet(lease.Incarnation)
		p.pendingList = nil
	}
	p.current.leaseRenewedAt = lease.Renewed
}

// dueList returns the list of guarantors to write. It reports false if the stored
// list is up to date or the candidates have changed within listSettleTime.
func (p *Pledger) dueList(now time.Time) ([]Guarantor, bool) {
	list := p.candidates()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(list, p.pendingList) {
		p.pendingList = list
		p.pendingSince = now
	}
	if p.current.isClosed || now.Sub(p.pendingSince) < listSettleTime {
		return nil, false
	}
	isStored := p.current.revision != 0 && len(p.current.lists) == 1 && slices.Equal(p.current.lists[0], list)
	isNeeded := p.current.revision != 0 || len(list) > 0
	return list, isNeeded && !isStored
}

// candidates returns the daemons that may be guarantors: the other registered
// daemons of the region that are not leaving.
func (p *Pledger) candidates() []Guarantor {
	var list []Guarantor
	for _, peer := range p.settings.Group.Peers() {
		if peer.Registered && !peer.IsLeaving() && peer.Region == p.settings.Group.Identity().Region {
			list = append(list, Guarantor{Daemon: peer.Daemon, Incarnation: peer.Incarnation, Address: peer.Address})
		}
	}
	return list
}

// present returns the pledges of the latest incarnation of this process.
func (p *Pledger) present() *pledgeSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// formerInUse returns the pledges of the incarnation before, or nil if no owner record
// names that incarnation. Until all its records are rewritten, which takes long if the
// store is slow after an outage, this daemon may act for them by pledges only.
func (p *Pledger) formerInUse() *pledgeSet {
	p.mu.Lock()
	former := p.previous
	p.mu.Unlock()
	if former.incarnation == 0 || p.settings.HasPartitions == nil ||
		!p.settings.HasPartitions(p.settings.Group.Identity().Daemon, former.incarnation) {
		return nil
	}
	return former
}

// requestPledges asks the guarantors of one of this daemon's incarnations for pledges that
// extend its lease. It asks only guarantors that have granted no pledge, or whose newest
// granted pledge was requested more than a quarter of PledgeTTL ago. It doesn't wait for the
// answers.
func (p *Pledger) requestPledges(ctx context.Context, own *pledgeSet, now time.Time) {
	p.mu.Lock()
	var due []Guarantor
	for _, g := range own.guarantors() {
		if now.Sub(own.requestedAt[g]) > PledgeTTL/4 {
			due = append(due, g)
		}
	}
	p.mu.Unlock()
	for _, g := range due {
		p.calls.Go(func() { p.requestPledge(ctx, own, g) })
	}
}

// requestPledge requests a pledge from one guarantor. A granted pledge lasts for
// PledgeTTL from the time at which the request was sent.
func (p *Pledger) requestPledge(ctx context.Context, own *pledgeSet, g Guarantor) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	resp, err := p.settings.Dial(g.Address).Pledge(ctx, &kumquatv1.PledgeRequest{
		From:           &kumquatv1.Incarnation{Daemon: p.settings.Group.Identity().Daemon, Number: own.incarnation},
		Kind:           kumquatv1.PledgeKind_PLEDGE_KIND_OWNERSHIP,
		To:             &kumquatv1.Incarnation{Daemon: g.Daemon, Number: g.Incarnation},
		DurationMillis: PledgeTTL.Milliseconds(),
	})
	if err != nil || !resp.Granted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if requestedAt.After(own.requestedAt[g]) {
		own.requestedAt[g] = requestedAt
	}
}

// recordExtension records an event when this daemon starts or stops acting by
// pledges.
func (p *Pledger) recordExtension(now time.Time) {
	lease := p.settings.Group.Lease()
	p.mu.Lock()
	isLeaseExtended := !lease.IsValid(now) && p.current.isLeaseExtended(now)
	changed := isLeaseExtended != p.isLeaseExtended
	p.isLeaseExtended = isLeaseExtended
	p.mu.Unlock()
	if !changed {
		return
	}
	number := EventExtensionEnded
	if isLeaseExtended {
		number = EventExtended
	}
	p.settings.Recorder.Record(now, number, recorder.Fields{
		"daemon":      p.settings.Group.Identity().Daemon,
		"incarnation": strconv.FormatInt(lease.Incarnation, 10),
	})
}
