package membership

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// takeoverGoal is the time within which released partitions are owned again.
const takeoverGoal = 5 * time.Second

// TestRelease ends all daemons and starts others under other names.
func TestRelease(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: sites})
	former := cluster.Daemons
	awaitOwned(t, former)
	time.Sleep(2 * callTimeout) // Lists of guarantors are written.
	request := &kumquatv1.ReleaseRequest{}
	for _, daemon := range former {
		daemon.Kill()
		request.Daemons = append(request.Daemons, daemon.Name)
	}
	joined := cluster.Join(harness.Site{DataCentre: "atl-a", Region: "north-ga", Daemons: 2})
	operator := joined[0].Operator()
	harness.Eventually(t, patience, "the release is allowed", func() bool {
		shown, err := operator.Release(t.Context(), request)
		request.Plan = shown.GetPlan()
		return err == nil
	})
	if count := len(owned(t.Context(), joined)); count > 0 {
		t.Errorf("%d partitions are owned before the release", count)
	}
	began := time.Now()
	if answer, err := operator.Release(t.Context(), request); err != nil || !answer.GetReleased() {
		t.Fatalf("release: %v, %v", answer, err)
	}
	awaitOwned(t, joined)
	took := time.Since(began)
	t.Logf("all partitions owned %s after the release", took.Round(time.Millisecond))
	if took > takeoverGoal {
		t.Errorf("owned %s after the release, want %s", took, takeoverGoal)
	}
}
