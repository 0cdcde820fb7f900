// Package claimkeeper grants claims of idempotency keys. The owner of a key's
// partition makes each claim durable before granting it, so that a request with a
// key is sent at most once, regardless of the daemon that receives it.
package claimkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Limits and periods of the table of keys.
const (
	// MaxResultBytes is the largest body of a result that is stored.
	MaxResultBytes = 16 << 10
	// maxKeys is the maximum number of keys in one partition.
	maxKeys = 20000
	// defaultRetention is how long a key is kept by default.
	defaultRetention = 10 * time.Minute
	// reportGrace is how long after the deadline of its request the holder of a
	// claim may still report the outcome.
	reportGrace = 2 * time.Second
	// maintenancePeriod is the time between two checks of a partition's ownership.
	maintenancePeriod = 100 * time.Millisecond
	// expiryPeriod is the time between two removals of expired keys.
	expiryPeriod = 10 * time.Second
	// snapshotEntries is the number of journal entries that triggers a snapshot.
	snapshotEntries = 500
	// storeTimeout bounds each maintenance operation on a journal.
	storeTimeout = 10 * time.Second
	// replyMargin is the part of a claim's deadline reserved for the delivery of
	// the response.
	replyMargin = 20 * time.Millisecond
)

// A Journal stores the records of one partition.
type Journal interface {
	// Append makes records durable. They may be durable even if it returns an
	// error.
	Append(ctx context.Context, records ...*kumquatv1.Record) error
	// Position returns the sequence number of the last durable entry.
	Position() int64
	// Backlog returns the number and the total size of the entries that the last
	// snapshot doesn't cover.
	Backlog() (entries int, bytes int64)
	// Snapshot replaces the entries up to a position, a sequence number, by
	// records.
	Snapshot(ctx context.Context, position int64, records []*kumquatv1.Record) error
	// Close closes the journal and waits until its writer has ended.
	Close() error
}

// An Opener opens the journal of a partition under an epoch and replays its
// records through apply.
type Opener func(ctx context.Context, partition owner.Partition, epoch owner.Epoch, apply func(*kumquatv1.Record)) (Journal, error)

// Options configure a Keeper.
type Options struct {
	Authority owner.Authority
	Open      Opener
	Recorder  recorder.Recorder
	// Retention is how long a key is kept; zero means 10 minutes.
	Retention time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// A Keeper handles the claims of the keys in the partitions that this daemon
// owns.
//
// Lock order: the keeper's mu before a partition's mu.
type Keeper struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	jobs   sync.WaitGroup

	mu sync.Mutex
	// partitions are the open partitions.
	partitions map[owner.Partition]*partition
}

// New returns a keeper and starts a goroutine for each partition that opens it
// while this daemon owns it. Close ends the keeper.
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
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{opts: opts, ctx: ctx, cancel: cancel, partitions: make(map[owner.Partition]*partition)}
	for number := range owner.ClaimPartitionCount {
		k.jobs.Add(1)
		go k.maintain(owner.ClaimPartition(number))
	}
	return k
}

// find returns the open partition of a key, or nil if this daemon doesn't own it.
func (k *Keeper) find(key string, now time.Time) *partition {
	name := owner.ClaimPartitionOf(key)
	epoch, isOwner := k.opts.Authority.Holds(name, now)
	if !isOwner {
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

// Close closes the journals and waits for the goroutines of the keeper.
func (k *Keeper) Close() error {
	k.cancel()
	k.jobs.Wait()
	return nil
}

// record records an event of a partition with an optional reason.
func (k *Keeper) record(number recorder.Number, name owner.Partition, reason string) {
	fields := recorder.Fields{"partition": string(name)}
	if reason != "" {
		fields["reason"] = reason
	}
	k.opts.Recorder.Record(k.opts.Now(), number, fields)
}
