package operating

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// TestRegionRestarts checks that all partitions get an owner each time that both
// daemons of a region are killed together and started again at once, as a supervisor
// does.
func TestRegionRestarts(t *testing.T) {
	const (
		restarts = 4
		// bound is well above the 8 s documented for operators.
		bound = 20 * time.Second
		all   = 2*(owner.RunnerPartitionCount+1) + owner.ClaimPartitionCount
	)
	f := newFixture(t)
	region, observer := f.Daemons[:2], f.Daemons[2]
	for n := range restarts {
		for _, daemon := range region {
			daemon.Kill()
		}
		for _, daemon := range region {
			daemon.Start()
		}
		t.Logf("restart %d", n+1)
		time.Sleep(5 * time.Second) // Longer than the leases of the killed daemons.
		harness.Eventually(t, bound, "all partitions are owned", func() bool {
			status, err := observer.Operator().Status(t.Context(), &kumquatv1.StatusRequest{})
			owned := 0
			for _, daemon := range status.GetDaemons() {
				owned += len(daemon.GetPartitions())
			}
			return err == nil && owned == all
		})
	}
}
