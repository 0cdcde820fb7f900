// Package claimkeeper decides on idempotency keys. The owner of a key's
// partition makes each claim durable before it grants it, so that a request
// with a key is sent at most once, whatever daemon it arrives at.
package claimkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Bounds of the table.
const (
	// MaxResultBytes is the size up to which a result's body is kept.
	MaxResultBytes = 16 << 10
	// maxKeys is the number of keys of one partition.
	maxKeys = 20000
	// defaultRetention is the time for which a key is remembered.
	defaultRetention = 10 * time.Minute
	// holdGrace is the time after its deadline in which a holder may report.
	holdGrace = 2 * time.Second
	// maintenancePeriod is the time between two looks at what is owned.
	maintenancePeriod = 100 * time.Millisecond
	// expiryPeriod is the time between two searches for expired keys.
	expiryPeriod = 10 * time.Second
	// snapshotEntries is the number of journal entries that a snapshot replaces.
	snapshotEntries = 500
	// storeTimeout bounds the opening and the snapshot of a journal.
	storeTimeout = 10 * time.Second
	// waitMargin is kept of a claim's deadline for the way back.
	waitMargin = 20 * time.Millisecond
)

// A Journal keeps the records of one partition.
type Journal interface {
	// Append makes records durable. An error may mean that they are.
	Append(ctx context.Context, records ...*kumquatv1.Record) error
	// Position returns the number of the last durable entry.
	Position() int64
	// Backlog returns what the last snapshot doesn't cover.
	Backlog() (entries int, bytes int64)
	// Snapshot replaces the entries up to a position.
	Snapshot(ctx context.Context, position int64, records []*kumquatv1.Record) error
	// Close ends the journal and waits.
	Close() error
}

// An Opener opens the journal of a partition under an epoch and replays it.
type Opener func(ctx context.Context, partition owner.Partition, epoch owner.Epoch, apply func(*kumquatv1.Record)) (Journal, error)

// Options configure a Keeper.
type Options struct {
	Authority owner.Authority
	Open      Opener
	Recorder  recorder.Recorder
	// Retention is the time for which a key is remembered; zero means 10 minutes.
	Retention time.Duration
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
}

// A Keeper decides on the keys of the partitions that this daemon owns.
//
// Lock order: the keeper's mu before a partition's.
type Keeper struct {
	opts Options
	life context.Context
	end  context.CancelFunc
	jobs sync.WaitGroup

	mu         sync.Mutex
	partitions map[owner.Partition]*partition
}

// New returns a keeper that opens the partitions it owns. Close ends it.
func New(opts Options) *Keeper {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = recorder.Discard{}
	}
	if opts.Retention == 0 {
		opts.Retention = defaultRetention
	}
	life, end := context.WithCancel(context.Background())
	k := &Keeper{opts: opts, life: life, end: end, partitions: make(map[owner.Partition]*partition)}
	for number := range owner.ClaimPartitionCount {
		k.jobs.Add(1)
		go k.maintain(owner.ClaimPartition(number))
	}
	return k
}

// find returns the open partition of a key if this daemon may decide on it.
func (k *Keeper) find(key string, now time.Time) *partition {
	name := owner.ClaimPartitionOf(key)
	epoch, held := k.opts.Authority.Holds(name, now)
	if !held {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.partitions[name]
	if p == nil || p.epoch != epoch {
		return nil
	}
	return p
}

// Close closes the journals and waits for everything the keeper has started.
func (k *Keeper) Close() error {
	k.end()
	k.jobs.Wait()
	return nil
}

// record records an event of a partition.
func (k *Keeper) record(number recorder.Number, name owner.Partition, reason string) {
	fields := recorder.Fields{"partition": string(name)}
	if reason != "" {
		fields["reason"] = reason
	}
	k.opts.Recorder.Record(k.opts.Now(), number, fields)
}
