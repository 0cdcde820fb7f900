// Package storer defines what kumquatstack needs of the platform's key-value
// service, and adapts the service's wire protocol to it.
package storer

import (
	"context"
	"time"
)

// A Revision orders all changes of the store. Zero means "no such key".
type Revision int64

// A LeaseID names a lease granted by the store. Zero means "no lease".
type LeaseID int64

// An Entry is one key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// A Swap is a write of one key on condition of its revision. An Expected
// revision of zero requires that the key doesn't exist.
type Swap struct {
	Key      string
	Expected Revision
	Value    []byte
	Lease    LeaseID
}

// WithLease returns a copy of the swap that attaches the key to a lease.
func (s Swap) WithLease(id LeaseID) Swap {
	s.Lease = id
	return s
}

// An Event is one change seen by a watch. Deleted entries carry no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// A Listing is the state of a prefix at one revision.
type Listing struct {
	Entries  []Entry
	Revision Revision
}

// A Store is the platform's key-value service.
//
// Writes have three outcomes: nil error (applied), errs.ErrConflict (refused),
// and *errs.UnknownOutcomeError. A *errs.StoreUnavailableError says that the
// call provably had no effect. Reads return errs.ErrNotFound for absent keys
// and *errs.StoreUnavailableError for everything else.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes one key and returns its new revision. It returns
	// errs.ErrNotFound, without effect, if the swap names a lapsed lease.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	// Delete removes one key on condition of its revision.
	Delete(ctx context.Context, key string, expected Revision) error
	// DeleteRange removes the keys in [from, to) without condition.
	DeleteRange(ctx context.Context, from, to string) error
	// Grant creates a lease with a time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live.
	// It returns errs.ErrNotFound if the lease has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers changes of a prefix after a revision to the callback, in
	// order, until the context ends or the watch breaks. It always returns a
	// non-nil error. A compacted revision gives errs.ErrNotFound.
	Watch(ctx context.Context, prefix string, after Revision, deliver func([]Event)) error
}
