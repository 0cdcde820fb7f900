package claimkeeper

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
)

// maintain opens a partition when this daemon becomes its owner and closes it when
// the daemon is no longer the owner. Meanwhile it compacts the journal and removes
// expired keys.
func (k *Keeper) maintain(name owner.Partition) {
	defer k.jobs.Done()
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	var open *partition
	lastExpiry := k.opts.Now()
	for {
		now := k.opts.Now()
		epoch, isOwner := k.opts.Authority.Holds(name, now)
		if open != nil && (!isOwner || open.epoch != epoch) {
			k.closePartition(open)
			open = nil
		}
		if open == nil && isOwner {
			open = k.openPartition(name, epoch)
		}
		if open != nil {
			k.compact(open)
		}
		if open != nil && now.Sub(lastExpiry) >= expiryPeriod {
			lastExpiry = now
			k.expire(open, now)
		}
		select {
		case <-k.ctx.Done():
			if open != nil {
				k.closePartition(open)
			}
			return
		case <-ticker.C:
		}
	}
}

// openPartition opens the journal of a partition, which replays its records and
// fences earlier owners. It returns nil if that fails.
func (k *Keeper) openPartition(name owner.Partition, epoch owner.Epoch) *partition {
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	p := newPartition(name, epoch)
	journal, err := k.opts.Open(ctx, name, epoch, p.apply)
	if err != nil {
		k.record(EventOpenFailed, name, err.Error())
		return nil
	}
	p.journal = journal
	k.mu.Lock()
	k.partitions[name] = p
	k.mu.Unlock()
	k.record(EventPartitionOpened, name, "")
	return p
}

// closePartition takes a partition out of service and closes its journal. Claims
// that wait in the partition end with errs.ErrNotOwner, so that their callers ask
// the next owner.
func (k *Keeper) closePartition(p *partition) {
	k.mu.Lock()
	if k.partitions[p.name] == p {
		delete(k.partitions, p.name)
	}
	k.mu.Unlock()
	close(p.closed)
	_ = p.journal.Close()
	k.record(EventPartitionClosed, p.name, "")
}

// compact writes a snapshot if the journal has at least snapshotEntries entries
// since the last one.
func (k *Keeper) compact(p *partition) {
	if entries, _ := p.journal.Backlog(); entries < snapshotEntries {
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
	defer cancel()
	_ = p.snapshot(ctx)
}

// expire removes the keys whose retention has ended.
func (k *Keeper) expire(p *partition, now time.Time) {
	for _, key := range p.expired(now) {
		p.mu.Lock()
		c := p.claims[key]
		p.mu.Unlock()
		if c == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(k.ctx, storeTimeout)
		err := p.append(ctx, removalRecord(key), func(err error) {
			if err == nil {
				p.remove(c)
			}
		})
		cancel()
		if err != nil {
			return
		}
	}
}
