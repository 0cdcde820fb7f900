// Package owner assigns partitions to daemons, acquires and releases this
// daemon's partitions in the store, and reports whether the daemon may still
// act as their owner.
package owner

import "time"

// A Partition names a set of runners, of idempotency keys, or of a data centre's
// tasks and workers. One daemon owns it at a time. Examples are
// "runners:atl-a:3", "claims:7" and "shard:digha".
type Partition string

// An Epoch is the fencing token of a partition's owner: a later owner has a
// larger epoch. It is the store revision at which the owner acquired the
// partition.
type Epoch int64

// An Authority reports whether this daemon may act. Each result is valid only
// for the given time, so callers check again before every action.
type Authority interface {
	// Holds reports whether this daemon may act as the partition's owner, and
	// returns its epoch.
	Holds(partition Partition, now time.Time) (Epoch, bool)
	// AcquiredAt returns when this daemon acquired the partition from an owner
	// that may have left work in progress. It is zero if the partition is new
	// or was handed over cleanly.
	AcquiredAt(partition Partition) time.Time
	// MayStart reports whether new tasks may start in a data centre. It requires
	// recent proof that the store holds no newer configuration than the one in
	// force at this daemon.
	MayStart(dataCentre string, now time.Time) bool
}

// A Directory looks up the owners of partitions.
type Directory interface {
	// OwnerOf returns the name and the peer address of the partition's owner; ok
	// is false if the partition has no known owner.
	OwnerOf(partition Partition) (daemon, address string, ok bool)
	// Partitions returns all partitions that this daemon owns.
	Partitions() []Partition
}
