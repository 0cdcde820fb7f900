package keyvalue

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
)

// A Target names what a Condition compares.
type Target string

// Targets of conditions.
const (
	TargetModified Target = "MOD"
	TargetCreated  Target = "CREATE"
	TargetVersion  Target = "VERSION"
)

// A Condition requires that a number of a key equals a value; absent keys
// have zeros.
type Condition struct {
	Key    string
	Target Target
	Equals int64
}

// A Put writes one key, attached to a lease if that is not zero.
type Put struct {
	Key   string
	Value []byte
	Lease storer.LeaseID
}

// A Removal deletes the keys in [From, To); an empty To means From alone.
type Removal struct {
	From string
	To   string
}

// A Transaction applies its writes together if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removals   []Removal
}

// An Outcome tells what a transaction did.
type Outcome struct {
	Applied  bool
	Revision storer.Revision
	Removed  int
	// MissingLease is true if a put named a lease that doesn't exist.
	MissingLease bool
}

// Apply runs a transaction.
func (t *Table) Apply(now time.Time, transaction Transaction) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, condition := range transaction.Conditions {
		if t.number(condition.Key, condition.Target) != condition.Equals {
			return Outcome{Revision: t.revision}
		}
	}
	for _, put := range transaction.Puts {
		if _, ok := t.leases[put.Lease]; put.Lease != 0 && !ok {
			return Outcome{Revision: t.revision, MissingLease: true}
		}
	}
	return t.write(transaction)
}

// write applies the writes at one revision. The lock has to be held.
func (t *Table) write(transaction Transaction) Outcome {
	var gone []string
	for _, removal := range transaction.Removals {
		gone = append(gone, t.keys(removal.From, removal.To)...)
	}
	if len(gone)+len(transaction.Puts) == 0 {
		return Outcome{Applied: true, Revision: t.revision}
	}
	t.revision++
	removed := 0
	for _, key := range gone {
		if t.remove(key) {
			removed++
		}
	}
	for _, put := range transaction.Puts {
		t.put(put.Key, put.Value, put.Lease)
	}
	t.announce()
	return Outcome{Applied: true, Revision: t.revision, Removed: removed}
}

// number returns what a condition compares. The lock has to be held.
func (t *Table) number(key string, target Target) int64 {
	found := t.items[key]
	switch target {
	case TargetCreated:
		return int64(found.created)
	case TargetVersion:
		return found.version
	default:
		return int64(found.modified)
	}
}
