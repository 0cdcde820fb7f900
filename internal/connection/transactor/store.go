// Package transactor defines what kumquatstack needs of a store with
// transactions over several keys, leases and watches.
package transactor

import (
	"context"
	"errors"
	"time"
)

// Errors of calls to the store.
var (
	// ErrNotFound says that the key or the lease does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrCompacted says that the store no longer has the history asked for.
	ErrCompacted = errors.New("history is no longer available")
	// ErrUnavailable says that the store did nothing.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknown says that the call may have taken effect, or may yet do so.
	ErrUnknown = errors.New("outcome of the store call is unknown")
)

// A ConflictError says that a condition did not hold. Nothing was written.
type ConflictError struct {
	// Items are the keys of the conditions that exist, as they are now.
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Find returns the current item of a key; the zero item if it does not exist.
func (e *ConflictError) Find(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key}
}

// An Item is one key of the store. Revisions start above zero.
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

// A Condition requires a key to be at a revision; zero requires its absence.
type Condition struct {
	Key      string
	Revision int64
}

// A Write sets a key, which a lease may hold.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxEntries bounds the conditions, writes and deletions of a transaction.
const MaxEntries = 32

// A Transaction is carried out as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// A Store is a linearizable key-value service. It is safe for concurrent use.
type Store interface {
	// Get reads one key. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys of a prefix. The revision is that of the first page,
	// so that a watch from there misses nothing.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits up to a time for changes after a revision, and returns the
	// revision to continue from. It returns ErrCompacted if that is too old.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit carries out a transaction and returns its revision. It returns
	// ErrNotFound for a lease that has ended, and a *ConflictError.
	Commit(ctx context.Context, txn Transaction) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Keep renews a lease. It returns ErrNotFound if it has ended.
	Keep(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
}
