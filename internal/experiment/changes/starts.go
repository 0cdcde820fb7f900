package changes

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

const (
	// observationTime is how long starts are recorded after the data centre was
	// taken out of service. It is longer than the goal of 3 s.
	observationTime = 6 * time.Second
	// tasks is the number of tasks of a trial's intent. It is large enough that
	// tasks start during the whole trial.
	tasks = 2000
	// minStarts is the number of starts in the data centre to await before the
	// data centre is taken out of service.
	minStarts = 10
)

var startSites = []harness.Site{
	{DataCentre: nearCentre, Region: "north-ga", Daemons: 2, Workers: 2},
	{DataCentre: farCentre, Region: farRegion, Daemons: 2, Workers: 2},
}

// trialOffset is the additional delay of each trial's call compared with the
// trial before. It makes the time vary at which the call comes relative to the ends of runs, which
// free the resources for the next starts.
const trialOffset = 97 * time.Millisecond

// measureStarts takes the data centre out while tasks start there, and brings it
// back. It returns the times from the call until the last start there, with zero
// for a trial without a start after the call. If isCutOff is set, the region of
// the data centre is cut off from just before the call until the end of the
// observation time.
func measureStarts(ctx context.Context, b *harness.StandaloneTB, cluster *harness.Cluster, trials int, isCutOff bool) *hdrhistogram.Histogram {
	durations := newHistogram()
	for trial := range trials {
		intent := fmt.Sprintf("survey-%t-%d", isCutOff, trial)
		resumed := time.Now()
		confirm(ctx, b, cluster, intent)
		harness.Eventually(b, waitTimeout, "tasks start", func() bool { return len(startsSince(cluster, resumed)) >= minStarts })
		time.Sleep(time.Duration(trial) * trialOffset)
		if isCutOff {
			cluster.CutRegion(farRegion)
		}
		began := setOutage(ctx, b, cluster, true)
		time.Sleep(time.Until(began.Add(observationTime)))
		last := time.Duration(0)
		for _, at := range startsSince(cluster, began) {
			last = max(last, at.Sub(began))
		}
		_ = durations.RecordValue(last.Microseconds())
		if isCutOff {
			cluster.Network.Heal(harness.All)
		}
		setOutage(ctx, b, cluster, false)
		if _, err := cluster.Daemons[0].Operator().Cancel(ctx, &kumquatv1.CancelRequest{Intent: intent}); err != nil {
			b.Fatalf("cancel %s: %v", intent, err)
		}
	}
	return durations
}

// setOutage takes the far data centre out of service, or brings it back, through a
// daemon of the near data centre and returns the time at which the call began.
func setOutage(ctx context.Context, b *harness.StandaloneTB, cluster *harness.Cluster, out bool) (began time.Time) {
	began = time.Now()
	if _, err := setFarCentreOut(ctx, cluster.Daemons[0], out); err != nil {
		b.Fatalf("set data centre: %v", err)
	}
	return began
}

// startsSince returns the times of the starts in the far data centre after an
// instant.
func startsSince(cluster *harness.Cluster, since time.Time) (starts []time.Time) {
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindStart && record.DataCentre == farCentre && record.At.After(since) {
			starts = append(starts, record.At)
		}
	}
	return starts
}

// confirm plans and confirms an intent of many short tasks, and retries until it
// succeeds.
func confirm(ctx context.Context, b *harness.StandaloneTB, cluster *harness.Cluster, name string) {
	document := fmt.Sprintf("name: %s\nteam: %s\nclass: %s\nkind: runBy\nwithin: 1h\ncount: %d\n"+
		"resources: {cores: 4, memoryGB: 4}\nexpectedRun: 1s\n", name, harness.Team, harness.Class, tasks)
	harness.Eventually(b, waitTimeout, "the intent is confirmed", func() bool {
		operator := cluster.Daemons[0].Operator()
		planned, err := operator.Plan(ctx, &kumquatv1.PlanRequest{Document: document})
		if err != nil {
			return false
		}
		_, err = operator.Confirm(ctx, &kumquatv1.ConfirmRequest{Plan: planned.GetPlan()})
		return err == nil
	})
}
