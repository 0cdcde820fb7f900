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
	// stepInterval is the longest time between two checks of all partitions.
	stepInterval = 500 * time.Millisecond
	// storeTimeout bounds one read or write of an owner record.
	storeTimeout = 2 * time.Second
	// maxConcurrentActions bounds the number of partitions that are acquired,
	// renewed or released at the same time.
	maxConcurrentActions = 8
	// settleTime is how long the candidates must be unchanged before a partition
	// is handed over to balance the load, or acquired outside its region.
	settleTime = 2 * time.Second
	// reconnectGrace is how long this daemon must have watched the store, and
	// held its lease, before it replaces an owner. It gives the other daemons
	// time to register again after a store outage. The age of the lease counts
	// too because a watch may stay open, without events, through the outage.
	reconnectGrace = member.LeaseTTL + time.Second
	// heartbeatGrace is how long a daemon that has lost its member record but
	// still sends heartbeats may take to register again before it is replaced.
	heartbeatGrace = 10 * time.Second
)

// A Reason states why this daemon loses a partition.
type Reason string

// Reasons for the loss of a partition.
const (
	// ReasonHandover is an orderly handover: this daemon may still act until
	// the callback returns.
	ReasonHandover Reason = "handover"
	// ReasonLapsed is a lease that could not be renewed: this daemon must not act.
	ReasonLapsed Reason = "lapsed"
	// ReasonFenced is a later owner record: this daemon must not act.
	ReasonFenced Reason = "fenced"
)

// An Evictor decides which daemon may act while the store is unavailable, based
// on leases that daemons grant each other (pledges).
type Evictor interface {
	// IsLeaseExtended reports whether pledges extend the lease of one of this
	// daemon's incarnations, so that the daemon may act although it can't renew
	// that lease.
	IsLeaseExtended(incarnation int64, now time.Time) bool
	// Evict returns nil once an incarnation whose member record is gone can no
	// longer act.
	Evict(ctx context.Context, daemon string, incarnation int64) error
}

// A StartPermitter decides whether new tasks may start in a data centre. Owner.MayStart asks it.
type StartPermitter interface {
	MayStart(dataCentre string, now time.Time) bool
}

// Settings are what an Owner needs.
type Settings struct {
	Store          storer.Store
	Watcher        *watcher.Watcher
	Group          *member.Group
	StartPermitter StartPermitter
	Recorder       recorder.Recorder
	// Evictor may be nil; then this daemon may act only under a valid lease.
	Evictor Evictor
	// Declarations returns the declarations in force, nil before they are known.
	Declarations func() *declarer.Declarations
	// StoreRegion is the region of the store. The daemons of this region are
	// preferred as owners of claim partitions.
	StoreRegion string
	// OnAcquire is called after a partition has been acquired. Calls for one
	// partition never overlap.
	OnAcquire func(Partition, Epoch)
	// OnLose is called before a partition is handed over or after it has been
	// lost. Until it returns, the partition is neither handed over nor acquired
	// again. It reports whether all work on the partition has ended, for which
	// the next owner waits otherwise.
	OnLose func(Partition, Reason) (isEnded bool)
}

// An Owner acquires, keeps and hands over partitions.
//
// Lock order: mu is a leaf; callbacks and store calls run without it.
type Owner struct {
	settings    Settings
	token       string
	wake        chan struct{}
	actionSlots chan struct{}
	actions     sync.WaitGroup

	mu           sync.Mutex
	records      map[Partition]Record
	holdings     map[Partition]holding
	busy         map[Partition]bool        // partitions with an action in progress
	goneSince    map[incarnation]time.Time // when each owner was first found unregistered
	isLeaving    bool
	candidateSet string    // names of the candidates of the last step
	stableSince  time.Time // when candidateSet last changed
}

// A holding is a partition that this daemon owns.
type holding struct {
	record     Record    // the owner record that names this daemon
	acquiredAt time.Time // the result of AcquiredAt
}

// An incarnation identifies one registration of a daemon. Its number is the store
// revision of the member record.
type incarnation struct {
	daemon string
	number int64
}

var (
	_ Authority = (*Owner)(nil)
	_ Directory = (*Owner)(nil)
)

// New returns an owner without partitions. It subscribes to the watcher and to
// the group.
func New(settings Settings) *Owner {
	o := &Owner{
		settings:    settings,
		token:       settings.Group.Registrar().Token(),
		wake:        make(chan struct{}, 1),
		actionSlots: make(chan struct{}, maxConcurrentActions),
		records:     make(map[Partition]Record),
		holdings:    make(map[Partition]holding),
		busy:        make(map[Partition]bool),
		goneSince:   make(map[incarnation]time.Time),
	}
	settings.Watcher.Subscribe(Prefix, o.applyChanges)
	settings.Group.OnChange(o.Wake)
	return o
}

// Wake makes Run check all partitions without waiting for the next interval,
// for example after a change of the declarations.
func (o *Owner) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run acquires, renews and hands over partitions until the context ends.
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
	o.actions.Wait()
	return ctx.Err()
}

// Close hands over all partitions. Run must not return before Close does.
func (o *Owner) Close(ctx context.Context) error {
	o.settings.Group.SetLeaving()
	o.mu.Lock()
	o.isLeaving = true
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

// isIdle reports whether no partition is held or being changed.
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
	if !ok || !o.isAuthorised(held.record.Incarnation, now) {
		return 0, false
	}
	return held.record.Epoch, true
}

// AcquiredAt implements Authority. It returns the zero time if the partition is
// new or was handed over cleanly, because then no work of a former owner is left.
func (o *Owner) AcquiredAt(p Partition) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holdings[p].acquiredAt
}

// MayStart implements Authority.
func (o *Owner) MayStart(dataCentre string, now time.Time) bool {
	return o.settings.StartPermitter.MayStart(dataCentre, now)
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
		if o.isAuthorised(held.record.Incarnation, now) {
			owned = append(owned, p)
		}
	}
	return owned
}

// PartitionsOf returns the partitions whose owner records name an incarnation,
// sorted by name.
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

// isAuthorised reports whether this daemon may act under one of its
// incarnations, by the lease of that incarnation or by pledges.
func (o *Owner) isAuthorised(number int64, now time.Time) bool {
	lease := o.settings.Group.Lease()
	if lease.Incarnation == number && lease.IsValid(now) {
		return true
	}
	return o.settings.Evictor != nil && o.settings.Evictor.IsLeaseExtended(number, now)
}

// applyChanges updates the known owner records from the watcher's changes.
func (o *Owner) applyChanges(changes []watcher.Change) {
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
		o.keepNewest(p, record)
	}
	o.mu.Unlock()
	o.Wake()
}

// keepNewest stores a record unless a newer one of the partition is known; the
// caller holds mu.
func (o *Owner) keepNewest(p Partition, record Record) {
	if record.Revision > o.records[p].Revision {
		o.records[p] = record
	}
}
