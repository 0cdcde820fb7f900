// Package storer defines the interface of the platform's key-value service that
// kumquatstack uses, and implements it with the service's HTTP protocol.
package storer

import (
	"context"
	"time"
)

// A Revision is a number that orders all changes of the store. Zero stands for a
// key that doesn't exist.
type Revision int64

// A LeaseID identifies a lease that the store has granted. Zero means no lease.
type LeaseID int64

// An Entry is one key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// A Swap writes one key if the key is at the Expected revision. An Expected
// revision of zero requires that the key doesn't exist. A nonzero Lease attaches
// the key to that lease.
type Swap struct {
	Key      string
	Expected Revision
	Value    []byte
	Lease    LeaseID
}

// WithLease returns a copy of the swap that also attaches the key to a lease.
func (s Swap) WithLease(id LeaseID) Swap {
	s.Lease = id
	return s
}

// An Event is one change that a watch delivers. Deleted entries have no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// A Listing holds all entries of a prefix at one revision.
type Listing struct {
	Entries  []Entry
	Revision Revision
}

// A Store is the platform's key-value service.
//
// Writes return a nil error if they were applied, errs.ErrConflict if their
// condition did not hold, and *errs.UnknownOutcomeError if they may or may not
// have been applied. A *errs.StoreUnavailableError says that the call provably
// had no effect. Reads return errs.ErrNotFound for absent keys and
// *errs.StoreUnavailableError for all other failures.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all entries whose keys have a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes one key and returns its new revision. It returns
	// errs.ErrNotFound, without effect, if the swap names a lapsed lease.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	// Delete removes one key if it is at the expected revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// DeleteRange removes the keys in [from, to), whatever their revisions.
	DeleteRange(ctx context.Context, from, to string) error
	// Grant creates a lease that lapses after a time to live unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live.
	// It returns errs.ErrNotFound if the lease has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls deliver with the changes of keys with a prefix after a revision, in order,
	// until the context ends or the watch breaks. It always returns a non-nil
	// error, errs.ErrNotFound if the revision has been compacted.
	Watch(ctx context.Context, prefix string, after Revision, deliver func([]Event)) error
}
