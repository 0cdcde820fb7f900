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
	// watched is how long starts are looked for after a data centre was taken
	// out. It is longer than the goal of 3 s.
	watched = 6 * time.Second
	// tasks is enough to start some all the time that a trial takes.
	tasks = 2000
	// underWay is the number of starts in the data centre before it is taken out.
	underWay = 10
)

var startSites = []harness.Site{
	{DataCentre: near, Region: "north-ga", Daemons: 2, Workers: 2},
	{DataCentre: away, Region: awayRegion, Daemons: 2, Workers: 2},
}

// phase shifts the calls of the trials against the ends of runs, which make
// room for the next starts.
const phase = 97 * time.Millisecond

// measureStarts takes the data centre out while tasks start there, and brings
// it back. With cut its region is cut off just before and until after. The
// figure of a trial is zero if nothing starts after the call.
func measureStarts(ctx context.Context, b *harness.Bench, cluster *harness.Cluster, trials int, cut bool) *hdrhistogram.Histogram {
	durations := newHistogram()
	for trial := range trials {
		intent := fmt.Sprintf("survey-%t-%d", cut, trial)
		resumed := time.Now()
		confirm(ctx, b, cluster, intent)
		harness.Eventually(b, patience, "tasks start", func() bool { return len(startsSince(cluster, resumed)) >= underWay })
		time.Sleep(time.Duration(trial) * phase)
		if cut {
			cluster.CutRegion(awayRegion)
		}
		began := set(ctx, b, cluster, true)
		time.Sleep(time.Until(began.Add(watched)))
		last := time.Duration(0)
		for _, at := range startsSince(cluster, began) {
			last = max(last, at.Sub(began))
		}
		_ = durations.RecordValue(last.Microseconds())
		if cut {
			cluster.Network.Heal(harness.All)
		}
		set(ctx, b, cluster, false)
		if _, err := cluster.Daemons[0].Operator().Cancel(ctx, &kumquatv1.CancelRequest{Intent: intent}); err != nil {
			b.Fatalf("cancel %s: %v", intent, err)
		}
	}
	return durations
}

// set takes the far data centre out, or brings it back, through a daemon of
// the near one and returns when the call began.
func set(ctx context.Context, b *harness.Bench, cluster *harness.Cluster, out bool) (began time.Time) {
	began = time.Now()
	if _, err := setThrough(ctx, cluster.Daemons[0], out); err != nil {
		b.Fatalf("set data centre: %v", err)
	}
	return began
}

// startsSince returns the starts in the far data centre after an instant.
func startsSince(cluster *harness.Cluster, since time.Time) (starts []time.Time) {
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindStart && record.DataCentre == away && record.At.After(since) {
			starts = append(starts, record.At)
		}
	}
	return starts
}

// confirm plans and confirms an intent of many short tasks.
func confirm(ctx context.Context, b *harness.Bench, cluster *harness.Cluster, name string) {
	document := fmt.Sprintf("name: %s\nteam: %s\nclass: %s\nkind: runBy\nwithin: 1h\ncount: %d\n"+
		"resources: {cores: 4, memoryGB: 4}\nexpectedRun: 1s\n", name, harness.Team, harness.Class, tasks)
	harness.Eventually(b, patience, "the intent is confirmed", func() bool {
		operator := cluster.Daemons[0].Operator()
		planned, err := operator.Plan(ctx, &kumquatv1.PlanRequest{Document: document})
		if err != nil {
			return false
		}
		_, err = operator.Confirm(ctx, &kumquatv1.ConfirmRequest{Plan: planned.GetPlan()})
		return err == nil
	})
}
