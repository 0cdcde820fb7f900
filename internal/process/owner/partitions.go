package owner

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const (
	// RunnerPartitionCount is the number of runner partitions of a data centre.
	RunnerPartitionCount = 8
	// ClaimPartitionCount is the number of partitions of idempotency keys.
	ClaimPartitionCount = 16
)

// A Kind groups partitions that are decided alike.
type Kind string

// Kinds of partitions.
const (
	KindRunners Kind = "runners"
	KindClaims  Kind = "claims"
	KindShard   Kind = "shard"
)

// ClaimPartitionOf returns the partition of an idempotency key.
func ClaimPartitionOf(key string) Partition {
	return ClaimPartition(int(xxhash.Sum64String(key) % ClaimPartitionCount))
}

// ShardPartition returns the partition of a data centre's tasks and workers.
func ShardPartition(dataCentre string) Partition {
	return Partition(string(KindShard) + ":" + dataCentre)
}

// RunnerPartition returns the partition of a data centre's runners with a number below
// RunnerPartitions.
func RunnerPartition(dataCentre string, index int) Partition {
	return Partition(string(KindRunners) + ":" + dataCentre + ":" + strconv.Itoa(index))
}

// ClaimPartition returns the claims partition with a number below ClaimPartitions.
func ClaimPartition(index int) Partition {
	return Partition(string(KindClaims) + ":" + strconv.Itoa(index))
}

// Partitions returns all partitions of the declared data centres.
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

// Kind returns the partition's kind.
func (p Partition) Kind() Kind {
	kind, _, _ := strings.Cut(string(p), ":")
	return Kind(kind)
}

// DataCentre returns the data centre of a partition, or "" if it has none.
func (p Partition) DataCentre() string {
	if p.Kind() == KindClaims {
		return ""
	}
	_, rest, _ := strings.Cut(string(p), ":")
	dataCentre, _, _ := strings.Cut(rest, ":")
	return dataCentre
}
