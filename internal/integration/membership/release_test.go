package membership

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// maxTakeover is the time within which released partitions get an owner.
const maxTakeover = 5 * time.Second

// TestRelease checks that an operator can release the partitions of daemons that were
// all killed and replaced by daemons with other names, which own no partition before
// the release and soon own all of them after it.
func TestRelease(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: sites})
	original := cluster.Daemons
	awaitOwned(t, original)
	time.Sleep(2 * callTimeout) // Lets the daemons write their lists of guarantors.
	request := &kumquatv1.ReleaseRequest{}
	for _, daemon := range original {
		daemon.Kill()
		request.Daemons = append(request.Daemons, daemon.Name)
	}
	replacements := cluster.Join(harness.Site{DataCentre: "atl-a", Region: "north-ga", Daemons: 2})
	operator := replacements[0].Operator()
	harness.Eventually(t, patience, "the release is allowed", func() bool {
		shown, err := operator.Release(t.Context(), request)
		request.Plan = shown.GetPlan()
		return err == nil
	})
	if count := len(ownersOf(t.Context(), replacements)); count > 0 {
		t.Errorf("%d partitions are owned before the release", count)
	}
	began := time.Now()
	if answer, err := operator.Release(t.Context(), request); err != nil || !answer.GetReleased() {
		t.Fatalf("release: %v, %v", answer, err)
	}
	awaitOwned(t, replacements)
	takeover := time.Since(began)
	t.Logf("all partitions owned %s after the release", takeover.Round(time.Millisecond))
	if takeover > maxTakeover {
		t.Errorf("all partitions owned %s after the release, want at most %s", takeover, maxTakeover)
	}
}
