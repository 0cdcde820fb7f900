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
	tick = 250 * time.Millisecond
	// askAfter is the age of the last answered keep-alive at which pledges
	// are asked for.
	askAfter = 1500 * time.Millisecond
	// askTimeout bounds one call to a guarantor.
	askTimeout = 700 * time.Millisecond
	// listDelay is how long the members must be unchanged before the list is
	// rewritten.
	listDelay = time.Second
	// listTimeout bounds one read or write of a list.
	listTimeout = 2 * time.Second
	// sweepInterval is the time between two looks for lists of no more use.
	sweepInterval = 30 * time.Second
)

// Settings are what a Pledger needs.
type Settings struct {
	Store    storer.Store
	Group    *member.Group
	Recorder recorder.Recorder
	// Watcher and InUse serve to remove the lists of former incarnations:
	// InUse reports whether an owner record names an incarnation. Both may be
	// nil, then lists stay.
	Watcher       *watcher.Watcher
	HasPartitions func(daemon string, incarnation int64) bool
	// Dial returns the client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// An incarnation names one life of one daemon as a key.
type incarnation struct {
	daemon string
	number int64
}

// A Pledger asks for pledges, gives them, and evicts incarnations.
//
// Lock order: mu is a leaf; store and peer calls run without it.
type Pledger struct {
	settings  Settings
	started   time.Time
	calls     sync.WaitGroup
	evictions singleflight.Group

	mu       sync.Mutex
	own      *tenure
	former   *tenure
	lives    map[int64]bool            // incarnations of this process
	given    map[incarnation]time.Time // end of the last pledge
	blocked  map[incarnation]bool
	evicted  map[incarnation]bool
	sought   map[incarnation]time.Time // first attempt to evict
	wanted   []Guarantor
	wantedAt time.Time
	extended bool

	sweptAt time.Time // used by Run alone
}

// New returns a pledger.
func New(settings Settings) *Pledger {
	return &Pledger{
		settings: settings,
		started:  time.Now(),
		own:      newTenure(0),
		former:   newTenure(0),
		lives:    make(map[int64]bool),
		given:    make(map[incarnation]time.Time),
		blocked:  make(map[incarnation]bool),
		evicted:  make(map[incarnation]bool),
		sought:   make(map[incarnation]time.Time),
	}
}

// Run keeps the list of guarantors up to date, and asks for pledges while the
// store doesn't answer, until the context ends.
func (p *Pledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
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

// Extended reports whether pledges allow this daemon to act under an
// incarnation whose lease can't be renewed.
func (p *Pledger) IsExtended(number int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch number {
	case 0:
		return false
	case p.own.incarnation:
		return p.own.isExtended(now)
	case p.former.incarnation:
		return p.former.isExtended(now)
	default:
		return false
	}
}

func (p *Pledger) step(ctx context.Context, now time.Time) {
	lease := p.settings.Group.Lease()
	if lease.Incarnation == 0 {
		return
	}
	p.follow(lease)
	if member.Elapsed(lease.Renewed, now) > askAfter {
		p.ask(ctx, now)
	} else if list, ok := p.due(now); ok {
		p.write(ctx, list)
	}
	if now.Sub(p.sweptAt) > sweepInterval {
		p.sweptAt = now
		p.sweep(ctx)
	}
	p.note(now)
}

// follow starts a new tenure when the daemon has registered again.
func (p *Pledger) follow(lease member.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives[lease.Incarnation] = true
	if p.own.incarnation != lease.Incarnation {
		p.former = p.own
		p.own = newTenure(lease.Incarnation)
		p.wanted = nil
	}
	p.own.renewed = lease.Renewed
}

// due returns the list that has to be written, if the members have been
// unchanged long enough.
func (p *Pledger) due(now time.Time) ([]Guarantor, bool) {
	list := p.candidates()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(list, p.wanted) {
		p.wanted = list
		p.wantedAt = now
	}
	if p.own.closed || now.Sub(p.wantedAt) < listDelay {
		return nil, false
	}
	isStored := p.own.revision != 0 && len(p.own.lists) == 1 && slices.Equal(p.own.lists[0], list)
	isNeeded := p.own.revision != 0 || len(list) > 0
	return list, isNeeded && !isStored
}

// candidates returns the other daemons of the region.
func (p *Pledger) candidates() []Guarantor {
	var list []Guarantor
	for _, peer := range p.settings.Group.Peers() {
		if peer.Registered && !peer.IsLeaving() && peer.Region == p.settings.Group.Identity().Region {
			list = append(list, Guarantor{Daemon: peer.Daemon, Incarnation: peer.Incarnation, Address: peer.Address})
		}
	}
	return list
}

// ask asks the guarantors for pledges.
func (p *Pledger) ask(ctx context.Context, now time.Time) {
	p.mu.Lock()
	own := p.own
	var due []Guarantor
	for _, g := range own.guarantors() {
		if now.Sub(own.sent[g]) > Lifetime/4 {
			due = append(due, g)
		}
	}
	p.mu.Unlock()
	for _, g := range due {
		p.calls.Go(func() { p.askOne(ctx, own, g) })
	}
}

func (p *Pledger) askOne(ctx context.Context, own *tenure, g Guarantor) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := p.settings.Dial(g.Address).Pledge(ctx, &kumquatv1.PledgeRequest{
		From:           &kumquatv1.Incarnation{Daemon: p.settings.Group.Identity().Daemon, Number: own.incarnation},
		Kind:           kumquatv1.PledgeKind_PLEDGE_KIND_OWNERSHIP,
		To:             &kumquatv1.Incarnation{Daemon: g.Daemon, Number: g.Incarnation},
		DurationMillis: Lifetime.Milliseconds(),
	})
	if err != nil || !resp.Granted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(own.sent[g]) {
		own.sent[g] = sent
	}
}

// note records when acting on pledges begins and ends.
func (p *Pledger) note(now time.Time) {
	lease := p.settings.Group.Lease()
	p.mu.Lock()
	extended := !lease.Holds(now) && p.own.isExtended(now)
	changed := extended != p.extended
	p.extended = extended
	p.mu.Unlock()
	if !changed {
		return
	}
	number := EventExtensionEnded
	if extended {
		number = EventExtended
	}
	p.settings.Recorder.Record(now, number, recorder.Fields{
		"daemon":      p.settings.Group.Identity().Daemon,
		"incarnation": strconv.FormatInt(lease.Incarnation, 10),
	})
}
