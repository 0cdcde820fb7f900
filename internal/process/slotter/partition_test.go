package slotter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

func TestPartitionOf(t *testing.T) {
	declared := &declarer.Declarations{Regions: []declarer.Region{{DataCentres: []declarer.DataCentre{{Name: "atl-a"}}}}}
	all := owner.Partitions(declared)
	t.Run("spreads numbered runners evenly", func(t *testing.T) {
		count := map[owner.Partition]int{}
		for number := range 4 * owner.RunnerPartitionCount {
			count[PartitionOf(lister.Host{Name: fmt.Sprintf("charm-%d", number), DataCentre: "atl-a"})]++
		}
		for partition, runners := range count {
			if runners != 4 || !slices.Contains(all, partition) {
				t.Errorf("%s has %d runners", partition, runners)
			}
		}
	})
	t.Run("takes any name", func(t *testing.T) {
		for _, name := range []string{"", "7", "charm", "charm-99999999999999999999999"} {
			if partition := PartitionOf(lister.Host{Name: name, DataCentre: "atl-a"}); !slices.Contains(all, partition) {
				t.Errorf("%q belongs to %s", name, partition)
			}
		}
	})
}
