package slotter

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
)

// PartitionsPerDataCentre is the number of runner partitions of a data centre.
const PartitionsPerDataCentre = 8

// PartitionOf returns the partition that a runner belongs to.
func PartitionOf(host lister.Host) owner.Partition {
	return Partition(host.DataCentre, int(xxhash.Sum64String(host.Name)%PartitionsPerDataCentre))
}

// Partition returns the runner partition of a data centre with a number from 0
// to PartitionsPerDataCentre-1.
func Partition(dataCentre string, number int) owner.Partition {
	return owner.Partition("runners:" + dataCentre + ":" + strconv.Itoa(number))
}
