package claimkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// A partition holds the claims of the keys in one owned partition.
type partition struct {
	name  owner.Partition
	epoch owner.Epoch

	mu      sync.Mutex
	journal Journal
	// claims are the claims by idempotency key.
	claims map[string]*claim
	// pendingAppends counts the writes whose outcome is not yet applied to
	// claims.
	pendingAppends *sync.WaitGroup
	// closed is closed when the partition is taken out of service.
	closed chan struct{}
}

// newPartition returns a partition without claims.
func newPartition(name owner.Partition, epoch owner.Epoch) *partition {
	return &partition{
		name: name, epoch: epoch, claims: make(map[string]*claim),
		pendingAppends: &sync.WaitGroup{}, closed: make(chan struct{}),
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

// apply replays a record of the journal. A claim in progress stays in progress,
// because its holder may report to this owner until the claim's hold ends.
func (p *partition) apply(record *kumquatv1.Record) {
	if removed := record.GetRemovedClaim(); removed != "" {
		delete(p.claims, removed)
		return
	}
	if found := record.GetClaim(); found != nil {
		p.claims[found.GetKey()] = &claim{record: found, isDurable: true, changed: make(chan struct{})}
	}
}

// reserve adds a claim that is not durable yet. If the key is claimed already, it
// returns the existing claim and false. The caller holds mu.
func (p *partition) reserve(record *kumquatv1.ClaimRecord) (c *claim, reserved bool) {
	if existing := p.claims[record.GetKey()]; existing != nil {
		return existing, false
	}
	c = &claim{record: record, changed: make(chan struct{})}
	p.claims[record.GetKey()] = c
	return c, true
}

// append writes a record to the journal and then calls finish, with mu held, to
// apply the outcome to the claims. A snapshot waits for pending appends, so that
// it never covers an entry whose effect it lacks.
func (p *partition) append(ctx context.Context, record *kumquatv1.Record, finish func(err error)) error {
	p.mu.Lock()
	pending := p.pendingAppends
	pending.Add(1)
	p.mu.Unlock()
	defer pending.Done()
	err := p.journal.Append(ctx, record)
	p.mu.Lock()
	defer p.mu.Unlock()
	finish(err)
	return err
}

// set replaces the record of a claim by a durable one and wakes its waiters.
func (c *claim) set(record *kumquatv1.ClaimRecord) {
	c.record = record
	c.isDurable = true
	close(c.changed)
	c.changed = make(chan struct{})
}

// remove frees a key and wakes the waiters of its claim.
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
		if c.isDurable && now.UnixMilli() >= c.record.GetExpiresUnixMillis() {
			keys = append(keys, key)
		}
	}
	return keys
}

// snapshot replaces the journal's entries by the current durable state.
func (p *partition) snapshot(ctx context.Context) error {
	position := p.journal.Position()
	p.mu.Lock()
	before := p.pendingAppends
	p.pendingAppends = &sync.WaitGroup{}
	p.mu.Unlock()
	before.Wait()
	return p.journal.Snapshot(ctx, position, p.records())
}

// records returns the records of all durable claims.
func (p *partition) records() []*kumquatv1.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]*kumquatv1.Record, 0, len(p.claims))
	for _, c := range p.claims {
		if c.isDurable {
			records = append(records, claimRecord(c.record))
		}
	}
	return records
}

// claimRecord returns the journal record of a claim.
func claimRecord(record *kumquatv1.ClaimRecord) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_Claim{Claim: record}}
}

// removalRecord returns the journal record of a key's removal.
func removalRecord(key string) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_RemovedClaim{RemovedClaim: key}}
}
