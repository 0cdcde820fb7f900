package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// stepInterval is the longest time between two looks at all partitions.
	stepInterval = 500 * time.Millisecond
	// swapTimeout bounds one change of an owner record.
	swapTimeout = 2 * time.Second
	// workers bounds the partitions that change hands at a time.
	workers = 8
	// settleTime is how long the members must be unchanged before partitions
	// move for balance alone.
	settleTime = 2 * time.Second
	// reconnectGrace is how long this daemon must have followed the store, and
	// held its lease, before it replaces an owner, so that after an outage the
	// others can register again. A watch that was silent through the outage
	// doesn't show it; the lease does.
	reconnectGrace = member.LeaseTTL + time.Second
	// heardGrace is how long a daemon without a record, that still sends
	// heartbeats, may register again before it is replaced.
	heardGrace = 10 * time.Second
)

// A Reason tells why a partition is lost.
type Reason string

// Reasons of a loss.
const (
	// ReasonHandover is an orderly handover: the owner may still act until
	// the callback returns.
	ReasonHandover Reason = "handover"
	// ReasonLapsed is a lease that could not be renewed: the owner may not act.
	ReasonLapsed Reason = "lapsed"
	// ReasonFenced is a later owner: this one may not act.
	ReasonFenced Reason = "fenced"
)

// An Evictor decides by pledges between daemons who may act without the store.
type Evictor interface {
	// Extended reports whether this daemon may act under an incarnation
	// though its lease can't be renewed.
	Extended(incarnation int64, now time.Time) bool
	// Evict returns nil once an incarnation of a daemon, whose record is
	// gone, can't act any more.
	Evict(ctx context.Context, daemon string, incarnation int64) error
}

// A Starter answers for start authority.
type Starter interface {
	MayStart(dataCentre string, now time.Time) bool
}

// Settings are what an Owner needs.
type Settings struct {
	Store          storer.Store
	Watcher        *watcher.Watcher
	Group          *member.Group
	StartAuthority Starter
	Recorder       recorder.Recorder
	// Evictor may be nil: then authority ends with the lease.
	Evictor Evictor
	// Declarations returns the declarations in force, nil before they are known.
	Declarations func() *declarer.Declarations
	// StoreRegion is the region of the store, whose daemons own claims first.
	StoreRegion string
	// OnAcquire is called after a partition was acquired. Calls for one
	// partition never overlap.
	OnAcquire func(Partition, Epoch)
	// OnLose is called before a partition is given away or after it was lost;
	// the partition is not given away, nor acquired again, until it returns.
	OnLose func(Partition, Reason)
}

// An Owner acquires, keeps and hands over partitions.
//
// Lock order: mu is a leaf; callbacks and store calls run without it.
type Owner struct {
	settings Settings
	token    string
	wake     chan struct{}
	slots    chan struct{}
	done     sync.WaitGroup

	mu          sync.Mutex
	records     map[Partition]Record
	holdings    map[Partition]holding
	busy        map[Partition]bool
	goneSince   map[incarnation]time.Time
	leaving     bool
	memberSet   string
	stableSince time.Time
}

// A holding is a partition that this daemon owns.
type holding struct {
	record     Record
	acquiredAt time.Time
}

type incarnation struct {
	daemon string
	number int64
}

var (
	_ Authority = (*Owner)(nil)
	_ Directory = (*Owner)(nil)
)

// New returns an owner of nothing. It subscribes to the watcher and the group.
func New(settings Settings) *Owner {
	o := &Owner{
		settings:  settings,
		token:     settings.Group.Registrar().Token(),
		wake:      make(chan struct{}, 1),
		slots:     make(chan struct{}, workers),
		records:   make(map[Partition]Record),
		holdings:  make(map[Partition]holding),
		busy:      make(map[Partition]bool),
		goneSince: make(map[incarnation]time.Time),
	}
	settings.Watcher.Subscribe(Prefix, o.take)
	settings.Group.OnChange(o.Wake)
	return o
}

// Wake makes the owner look at all partitions soon, for example because the
// declarations changed.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run keeps this daemon's share of the partitions until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		o.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-o.wake:
		}
	}
	o.done.Wait()
	return ctx.Err()
}

// Close hands all partitions over. Run has to be running until it returns.
func (o *Owner) Close(ctx context.Context) error {
	o.settings.Group.SetLeaving()
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	ticker := time.NewTicker(stepInterval / 10)
	defer ticker.Stop()
	for !o.isIdle() {
		o.Wake()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (o *Owner) isIdle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.holdings) == 0 && len(o.busy) == 0
}

// Holds implements Authority.
func (o *Owner) Holds(p Partition, now time.Time) (Epoch, bool) {
	o.mu.Lock()
	held, ok := o.holdings[p]
	o.mu.Unlock()
	if !ok || !o.authorised(held.record.Incarnation, now) {
		return 0, false
	}
	return held.record.Epoch, true
}

// AcquiredAt implements Authority. It returns the zero time if the partition
// was handed over cleanly, so that nothing of the former owner remains.
func (o *Owner) AcquiredAt(p Partition) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holdings[p].acquiredAt
}

// MayStart implements Authority.
func (o *Owner) MayStart(dataCentre string, now time.Time) bool {
	return o.settings.StartAuthority.MayStart(dataCentre, now)
}

// OwnerOf implements Directory.
func (o *Owner) OwnerOf(p Partition) (daemon, address string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	record, ok := o.records[p]
	return record.Owner, record.Address, ok && record.Owner != ""
}

// Partitions implements Directory.
func (o *Owner) Partitions() []Partition {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make([]Partition, 0, len(o.holdings))
	for p, held := range o.holdings {
		if o.authorised(held.record.Incarnation, now) {
			owned = append(owned, p)
		}
	}
	return owned
}

// PartitionsOf returns the partitions whose records name an incarnation, in
// order.
func (o *Owner) PartitionsOf(daemon string, number int64) []Partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	var owned []Partition
	for p, record := range o.records {
		if record.Owner == daemon && record.Incarnation == number {
			owned = append(owned, p)
		}
	}
	slices.Sort(owned)
	return owned
}

// HasPartitions reports whether an owner record names an incarnation.
func (o *Owner) HasPartitions(daemon string, number int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, record := range o.records {
		if record.Owner == daemon && record.Incarnation == number {
			return true
		}
	}
	return false
}

// authorised reports whether this daemon may act under an incarnation.
func (o *Owner) authorised(number int64, now time.Time) bool {
	lease := o.settings.Group.Lease()
	if lease.Incarnation == number && lease.Holds(now) {
		return true
	}
	return o.settings.Evictor != nil && o.settings.Evictor.Extended(number, now)
}

// take follows the owner records of the store.
func (o *Owner) take(changes []watcher.Change) {
	o.mu.Lock()
	for _, change := range changes {
		p, record, err := ParseRecord(change.Entry)
		if err != nil {
			continue
		}
		if change.Deleted {
			delete(o.records, p)
			continue
		}
		o.remember(p, record)
	}
	o.mu.Unlock()
	o.Wake()
}

// remember keeps the newest record of a partition; the caller holds mu.
func (o *Owner) remember(p Partition, record Record) {
	if record.Revision > o.records[p].Revision {
		o.records[p] = record
	}
}
