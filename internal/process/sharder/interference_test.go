package sharder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	agent "github.com/kumquatstack/kumquatstack/internal/standin/worker"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// An outcome is what one policy achieved in a course of work.
type outcome struct {
	// p50 and p99 are the service's latency in percent of that alone.
	p50, p99  int64
	finished  int
	evictions int
}

// course runs services and batch tasks, some of which slow the services down,
// for twelve minutes of the test's clock, and measures the last ten. After six
// minutes the disturbance doubles.
func course(t *testing.T, policy placer.Policy, unprotected bool) (found outcome) {
	const alone = 10_000
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 12)
		r.policy, r.unprotected = policy, unprotected
		model := agent.Model{
			Pairs:         []agent.Pair{{Class: "orders", Neighbour: "casting", SlowdownPercent: 100}},
			LatencyMicros: map[string]int64{"orders": alone},
		}
		setModel := func() {
			for _, fake := range r.fakes {
				fake.SetModel(time.Now(), model)
			}
		}
		setModel()
		s := r.own("atl-a", nil)
		defer s.kill()
		services := intentOf("orders", "atl-a", 6, 0)
		services.Kind, services.Class, services.Spread = kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING, "orders", true
		services.Resources.MilliCores = 8000
		s.Ingest(services)
		time.Sleep(3 * time.Second)
		ratios := hdrhistogram.New(1, 100_000, 3)
		begin := time.Now()
		for second := range 12 * 60 {
			if second == 6*60 {
				model.LoadPercent = 200
				setModel()
			}
			if second%4 == 0 {
				batch := intentOf(fmt.Sprintf("casts%d", second), "atl-a", 12, 30*time.Second)
				batch.Resources.MilliCores = 2000
				s.Ingest(batch)
				batch = intentOf(fmt.Sprintf("proofs%d", second), "atl-a", 8, 30*time.Second)
				batch.Class = "proofs"
				batch.Resources.MilliCores = 2000
				s.Ingest(batch)
			}
			time.Sleep(time.Second)
			if second < 2*60 {
				continue
			}
			for _, usage := range r.fleet.Usage(t.Context()) {
				if usage.LatencyMicros > 0 {
					_ = ratios.RecordValue(usage.LatencyMicros * 100 / alone)
				}
			}
		}
		for _, record := range r.fleet.Records() {
			if record.Kind == judge.KindEnd && record.State == "finished" && record.At.Sub(begin) > 2*time.Minute {
				found.finished++
			}
			if record.Kind == judge.KindStart && record.Run > 1 {
				found.evictions++
			}
		}
		r.assertPromises(len(judge.Finished(r.fleet.Records())))
		found.p50, found.p99 = ratios.ValueAtQuantile(50), ratios.ValueAtQuantile(99)
	})
	return found
}

func TestInterference(t *testing.T) {
	protective := course(t, placer.NewProtective(), false)
	placed := course(t, placer.NewProtective(), true)
	unaware := course(t, placer.NewUnaware(), true)
	firstFit := course(t, placer.NewFirstFit(), true)
	for _, row := range []struct {
		name string
		outcome
	}{{"protective, with steps", protective}, {"protective, placement only", placed}, {"no interference model", unaware}, {"first fit", firstFit}} {
		t.Logf("%-27s service p50 %.2f p99 %.2f of alone, %d tasks finished, %d evictions",
			row.name, float64(row.p50)/100, float64(row.p99)/100, row.finished, row.evictions)
	}
	if protective.p99 >= unaware.p99 || protective.p99 >= firstFit.p99 {
		t.Errorf("p99 %d, unaware %d, first fit %d: protection has no effect", protective.p99, unaware.p99, firstFit.p99)
	}
	if protective.finished*10 < unaware.finished*8 {
		t.Errorf("%d tasks finished, %d without protection", protective.finished, unaware.finished)
	}
}
