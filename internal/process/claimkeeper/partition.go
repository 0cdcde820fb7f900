package claimkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A partition is the table of the keys of one owned partition.
type partition struct {
	name  owner.Partition
	epoch owner.Epoch

	mu      sync.Mutex
	journal Journal
	claims  map[string]*claim
	// appends counts the writes that may not have taken effect here yet.
	appends *sync.WaitGroup
	// closed is closed when the partition is taken out of service.
	closed chan struct{}
}

// newPartition returns an empty table.
func newPartition(name owner.Partition, epoch owner.Epoch) *partition {
	return &partition{
		name: name, epoch: epoch, claims: make(map[string]*claim),
		appends: &sync.WaitGroup{}, closed: make(chan struct{}),
	}
}

// isClosed reports whether the partition is out of service.
func (p *partition) isClosed() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// apply takes over a record of the journal. The holder of a claim in progress
// may still report to this owner until its time is over.
func (p *partition) apply(record *kumquatv1.Record) {
	if removed := record.GetRemovedClaim(); removed != "" {
		delete(p.claims, removed)
		return
	}
	if found := record.GetClaim(); found != nil {
		p.claims[found.GetKey()] = &claim{record: found, durable: true, changed: make(chan struct{})}
	}
}

// reserve enters a new claim that is not durable yet. If the key exists, it
// returns the claim of that key and false.
func (p *partition) reserve(record *kumquatv1.ClaimRecord) (c *claim, reserved bool) {
	if existing := p.claims[record.GetKey()]; existing != nil {
		return existing, false
	}
	c = &claim{record: record, changed: make(chan struct{})}
	p.claims[record.GetKey()] = c
	return c, true
}

// append writes a record and then calls settle with the outcome, so that a
// snapshot sees either both or none.
func (p *partition) append(ctx context.Context, record *kumquatv1.Record, settle func(err error)) error {
	p.mu.Lock()
	pending := p.appends
	pending.Add(1)
	p.mu.Unlock()
	defer pending.Done()
	err := p.journal.Append(ctx, record)
	p.mu.Lock()
	defer p.mu.Unlock()
	settle(err)
	return err
}

// set replaces the state of a claim and wakes those who wait for it.
func (c *claim) set(record *kumquatv1.ClaimRecord) {
	c.record = record
	c.durable = true
	close(c.changed)
	c.changed = make(chan struct{})
}

// remove frees a key and wakes those who wait for it.
func (p *partition) remove(c *claim) {
	if p.claims[c.record.GetKey()] == c {
		delete(p.claims, c.record.GetKey())
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// expired returns the keys whose retention has ended.
func (p *partition) expired(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key, c := range p.claims {
		if c.durable && now.UnixMilli() >= c.record.GetExpiresUnixMillis() {
			keys = append(keys, key)
		}
	}
	return keys
}

// snapshot replaces the journal's entries by the present state.
func (p *partition) snapshot(ctx context.Context) error {
	position := p.journal.Position()
	p.mu.Lock()
	before := p.appends
	p.appends = &sync.WaitGroup{}
	p.mu.Unlock()
	before.Wait()
	return p.journal.Snapshot(ctx, position, p.records())
}

// records returns the durable state.
func (p *partition) records() []*kumquatv1.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]*kumquatv1.Record, 0, len(p.claims))
	for _, c := range p.claims {
		if c.durable {
			records = append(records, claimRecord(c.record))
		}
	}
	return records
}

// claimRecord wraps the state of a key.
func claimRecord(record *kumquatv1.ClaimRecord) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_Claim{Claim: record}}
}

// removalRecord wraps the removal of a key.
func removalRecord(key string) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedClaim{RemovedClaim: key}}
}
