package operating

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// TestRegionRestarts kills both daemons of a region at once and starts them
// again, as a supervisor does, several times: all partitions get an owner.
func TestRegionRestarts(t *testing.T) {
	const (
		times = 4
		// bound is well above the 8 s that operators are told.
		bound = 20 * time.Second
		all   = 2*(owner.RunnerPartitionCount+1) + owner.ClaimPartitionCount
	)
	b := newBench(t)
	region, witness := b.Daemons[:2], b.Daemons[2]
	for n := range times {
		for _, daemon := range region {
			daemon.Kill()
		}
		for _, daemon := range region {
			daemon.Start()
		}
		t.Logf("restart %d", n+1)
		time.Sleep(5 * time.Second) // Longer than the leases of those that were killed.
		harness.Eventually(t, bound, "all partitions are owned", func() bool {
			status, err := witness.Operator().Status(t.Context(), &kumquatv1.StatusRequest{})
			owned := 0
			for _, daemon := range status.GetDaemons() {
				owned += len(daemon.GetPartitions())
			}
			return err == nil && owned == all
		})
	}
}
