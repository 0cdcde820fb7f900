package claimkeeper

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
)

// maintain opens a partition when this daemon comes to own it, closes it when
// it doesn't any more, and keeps it small meanwhile.
func (k *Keeper) maintain(name owner.Partition) {
	defer k.jobs.Done()
	ticker := time.NewTicker(maintenancePeriod)
	defer ticker.Stop()
	var open *partition
	lastExpiry := k.opts.Now()
	for {
		now := k.opts.Now()
		epoch, held := k.opts.Authority.Holds(name, now)
		if open != nil && (!held || open.epoch != epoch) {
			k.shut(open)
			open = nil
		}
		if open == nil && held {
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
		case <-k.life.Done():
			if open != nil {
				k.shut(open)
			}
			return
		case <-ticker.C:
		}
	}
}

// openPartition replays and fences the journal of a partition.
func (k *Keeper) openPartition(name owner.Partition, epoch owner.Epoch) *partition {
	ctx, cancel := context.WithTimeout(k.life, storeTimeout)
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

// shut takes a partition out of service, sends those who wait in it to the next
// owner, and closes its journal.
func (k *Keeper) shut(p *partition) {
	k.mu.Lock()
	if k.partitions[p.name] == p {
		delete(k.partitions, p.name)
	}
	k.mu.Unlock()
	close(p.closed)
	_ = p.journal.Close()
	k.record(EventPartitionClosed, p.name, "")
}

// compact writes a snapshot if the journal has grown long.
func (k *Keeper) compact(p *partition) {
	if entries, _ := p.journal.Backlog(); entries < snapshotEntries {
		return
	}
	ctx, cancel := context.WithTimeout(k.life, storeTimeout)
	defer cancel()
	_ = p.snapshot(ctx)
}

// expire forgets keys whose retention has ended.
func (k *Keeper) expire(p *partition, now time.Time) {
	for _, key := range p.expired(now) {
		p.mu.Lock()
		c := p.claims[key]
		p.mu.Unlock()
		if c == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(k.life, storeTimeout)
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
