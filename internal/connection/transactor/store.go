// Package transactor defines the interface of the key-value store that
// kumquatstack uses where it needs transactions over several keys.
package transactor

import (
	"context"
	"errors"
	"time"
)

// Errors of calls to the store.
var (
	// ErrNotFound says that a key or lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted says that the requested history has been compacted.
	ErrCompacted = errors.New("history is no longer available")
	// ErrUnavailable says that the call provably had no effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknown says that the call may have taken effect or may still do so.
	ErrUnknown = errors.New("outcome of the store call is unknown")
)

// A RefusedError says that the store refuses a call as it is, for example as a value is too
// large. The call had no effect, and the same call is refused each time.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "store refuses the call: " + e.Reason }

// Unwrap returns ErrUnavailable, as the call provably had no effect.
func (e *RefusedError) Unwrap() error { return ErrUnavailable }

// A ConflictError says that a condition of a transaction did not hold, so that
// nothing was written.
type ConflictError struct {
	// Items are the current items of those keys of the conditions that exist.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Find returns the current item of a key. If the key does not exist, the item has
// no value and revision zero.
func (e *ConflictError) Find(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// An Item is one key of the store with its value. Revision is that of its last
// change, Created that of its creation; both are greater than zero.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
}

// An Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// A Condition requires a key to be at a revision. A revision of zero requires that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// A Write sets the value of a key. A nonzero Lease attaches the key to that lease; the
// key is deleted when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxEntries is the largest number of conditions, writes and deletions in a
// transaction.
const MaxEntries = 32

// A Transaction is applied atomically if all its conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// A Store is a linearizable key-value service. It is safe for concurrent use.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys with a prefix, page by page. It returns the revision of
	// the first page, so that a watch after it misses no change.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits up to the given time for changes of keys with a prefix after a
	// revision. It returns the changes and the revision after which the next watch
	// continues, or ErrCompacted if the given revision is too old.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit applies a transaction and returns its revision. It returns a
	// *ConflictError if a condition does not hold, and ErrNotFound if a write
	// names a lease that has ended.
	Commit(ctx context.Context, txn Transaction) (revision int64, err error)
	// Grant creates a lease with a time to live.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease. It returns ErrNotFound if the lease has ended.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}
