package keyvalue

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
)

// A Target selects which number of a key a Condition compares.
type Target string

// Targets of conditions: the revision of the key's last change, the revision of the key's creation,
// and the number of writes of the key including its creation.
const (
	TargetModified Target = "MOD"
	TargetCreated  Target = "CREATE"
	TargetVersion  Target = "VERSION"
)

// A Condition requires that the number of Key that Target selects is Equals. All numbers of an
// absent key are zero.
type Condition struct {
	Key    string
	Target Target
	Equals int64
}

// A Put writes one key and attaches it to a lease, unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease storer.LeaseID
}

// A Removal deletes the keys in [From, To). With an empty To it deletes only From.
type Removal struct {
	From string
	To   string
}

// A Transaction applies all its writes at one revision if every condition holds, and none
// otherwise.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removals   []Removal
}

// An Outcome is the result of a transaction.
type Outcome struct {
	// Applied is true if every condition held and no lease was missing.
	Applied bool
	// Revision is the revision of the table after the transaction.
	Revision storer.Revision
	// Removed is the number of keys that the transaction deleted.
	Removed int
	// MissingLease is true if a put refers to a lease that doesn't exist; nothing is written then.
	MissingLease bool
}

// Apply executes a transaction.
func (t *Table) Apply(now time.Time, transaction Transaction) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, condition := range transaction.Conditions {
		if t.conditionValue(condition.Key, condition.Target) != condition.Equals {
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

// write applies the removals of a transaction and then its puts, all at one new revision. The
// caller must hold the lock.
func (t *Table) write(transaction Transaction) Outcome {
	var keys []string
	for _, removal := range transaction.Removals {
		keys = append(keys, t.keys(removal.From, removal.To)...)
	}
	if len(keys)+len(transaction.Puts) == 0 {
		return Outcome{Applied: true, Revision: t.revision}
	}
	t.revision++
	removed := 0
	for _, key := range keys {
		if t.remove(key) {
			removed++
		}
	}
	for _, put := range transaction.Puts {
		t.put(put.Key, put.Value, put.Lease)
	}
	t.publish()
	return Outcome{Applied: true, Revision: t.revision, Removed: removed}
}

// conditionValue returns the number that a condition compares. The caller must hold the lock.
func (t *Table) conditionValue(key string, target Target) int64 {
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
