package owner

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// RunnerPartitionCount is the number of runner partitions in a data centre.
	RunnerPartitionCount = 8
	// ClaimPartitionCount is the number of partitions of the idempotency keys.
	ClaimPartitionCount = 16
)

// A Kind is the kind of objects that a partition holds.
type Kind string

// Kinds of partitions.
const (
	// KindRunners partitions hold some of a data centre's runners.
	KindRunners Kind = "runners"
	// KindClaims partitions hold idempotency keys.
	KindClaims Kind = "claims"
	// KindShard partitions hold a data centre's tasks and workers.
	KindShard Kind = "shard"
)

// ClaimPartitionOf returns the partition of an idempotency key.
func ClaimPartitionOf(key string) Partition {
	return ClaimPartition(int(xxhash.Sum64String(key) % ClaimPartitionCount))
}

// ShardPartition returns the partition of a data centre's tasks and workers.
func ShardPartition(dataCentre string) Partition {
	return Partition(string(KindShard) + ":" + dataCentre)
}

// RunnerPartition returns a data centre's runner partition with an index below
// RunnerPartitionCount.
func RunnerPartition(dataCentre string, index int) Partition {
	return Partition(string(KindRunners) + ":" + dataCentre + ":" + strconv.Itoa(index))
}

// ClaimPartition returns the claim partition with an index below
// ClaimPartitionCount.
func ClaimPartition(index int) Partition {
	return Partition(string(KindClaims) + ":" + strconv.Itoa(index))
}

// Partitions returns all partitions: those of the declared data centres and the
// claim partitions.
func Partitions(declared *declarer.Declarations) []Partition {
	var all []Partition
	for _, region := range declared.Regions {
		for _, dc := range region.DataCentres {
			all = append(all, ShardPartition(dc.Name))
			for i := range RunnerPartitionCount {
				all = append(all, RunnerPartition(dc.Name, i))
			}
		}
	}
	for i := range ClaimPartitionCount {
		all = append(all, ClaimPartition(i))
	}
	return all
}

// Kind returns the part of the partition's name before the first colon.
func (p Partition) Kind() Kind {
	kind, _, _ := strings.Cut(string(p), ":")
	return Kind(kind)
}

// DataCentre returns the data centre of a partition, or "" for a claim partition.
func (p Partition) DataCentre() string {
	if p.Kind() == KindClaims {
		return ""
	}
	_, rest, _ := strings.Cut(string(p), ":")
	dataCentre, _, _ := strings.Cut(rest, ":")
	return dataCentre
}
