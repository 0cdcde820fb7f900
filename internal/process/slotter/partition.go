package slotter

import (
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
)

// PartitionOf returns the partition that a runner belongs to.
func PartitionOf(host lister.Host) owner.Partition {
	return owner.RunnersOf(host.DataCentre, host.Name)
}
