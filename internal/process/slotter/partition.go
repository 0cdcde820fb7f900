package slotter

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
)

// PartitionOf returns the partition that a runner belongs to. Runners whose names
// differ only in the trailing number are spread evenly over the partitions, so
// that few of these runners are without an owner when a daemon fails.
func PartitionOf(host lister.Host) owner.Partition {
	name := strings.TrimRight(host.Name, "0123456789")
	number, err := strconv.ParseUint(host.Name[len(name):], 10, 64)
	if err != nil {
		name, number = host.Name, 0
	}
	index := (xxhash.Sum64String(name)%owner.RunnerPartitionCount + number) % owner.RunnerPartitionCount
	return owner.RunnerPartition(host.DataCentre, int(index))
}
