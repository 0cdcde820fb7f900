// Package owner decides which daemon owns which partition and for how long it
// may act on that.
package owner

import "time"

// A Partition names a set of things that one daemon owns at a time, for
// example "runners:atl-a:3", "claims:7" or "shard:digha".
type Partition string

// An Epoch orders the owners of a partition; larger is later. It is the store
// revision of the owner record.
type Epoch int64

// An Authority answers whether this daemon may act. All answers hold for the
// stated instant only and have to be asked again before every act.
type Authority interface {
	// Holds reports whether this daemon may act as the partition's owner.
	Holds(partition Partition, now time.Time) (Epoch, bool)
	// AcquiredAt returns when this daemon acquired the partition and may have
	// to respect work of the previous owner.
	AcquiredAt(partition Partition) time.Time
	// MayStart reports whether new tasks may start in a data centre. It needs
	// recent proof that no newer configuration exists.
	MayStart(dataCentre string, now time.Time) bool
}

// A Directory tells where the owner of a partition is reached.
type Directory interface {
	// OwnerOf returns the daemon's name and its peer address.
	OwnerOf(partition Partition) (daemon, address string, ok bool)
	// Partitions returns all partitions this daemon owns.
	Partitions() []Partition
}
