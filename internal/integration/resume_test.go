package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// maxUrgentDelay is the time within which urgent tasks start on full workers.
const maxUrgentDelay = 8 * time.Second

// urgentIntentOf returns an intent of urgent tasks.
func urgentIntentOf(name string, count int) string {
	return strings.Replace(batchIntentOf(name, count, time.Second), "kind: runBy\nwithin: 1h\n", "kind: runNow\n", 1)
}

// startsOf returns the starts of an intent's tasks.
func startsOf(cluster *harness.Cluster, intent string) (starts []judge.Record) {
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindStart && strings.HasPrefix(record.Task, intent+"/") {
			starts = append(starts, record)
		}
	}
	return starts
}

// assertResumed fails the test unless some tasks were evicted, each later run of a
// task started from the checkpoint of the run before it, and no run started twice.
func assertResumed(t *testing.T, cluster *harness.Cluster, intent string) {
	t.Helper()
	checkpoints := map[judge.Record]string{}
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindEnd {
			checkpoints[judge.Record{Task: record.Task, Run: record.Run}] = record.Checkpoint
		}
	}
	started := map[judge.Record]bool{}
	resumed := 0
	for _, start := range startsOf(cluster, intent) {
		run := judge.Record{Task: start.Task, Run: start.Run}
		if started[run] {
			t.Errorf("%s run %d started twice", start.Task, start.Run)
		}
		started[run] = true
		checkpoint, resumes := checkpoints[judge.Record{Task: start.Task, Run: start.Run - 1}]
		if !resumes {
			continue
		}
		resumed++
		if start.Checkpoint == "" || start.Checkpoint != checkpoint {
			t.Errorf("%s run %d started from checkpoint %q, but run %d left %q", start.Task, start.Run, start.Checkpoint, start.Run-1, checkpoint)
		}
	}
	t.Logf("%d runs, %d of them resumed", len(started), resumed)
	if resumed == 0 {
		t.Errorf("no task was evicted")
	}
}

// TestUrgentTasksPreempt checks that urgent tasks start soon on full workers, and that
// the tasks evicted for them resume from their checkpoints.
func TestUrgentTasksPreempt(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	confirm(t, cluster.Daemons[0], batchIntentOf("survey", 30, 8*time.Second))
	awaitStarts(t, cluster, 24)
	confirm(t, cluster.Daemons[1], urgentIntentOf("cleanup", 6))
	confirmed := time.Now()
	harness.Eventually(t, patience, "urgent tasks start", func() bool { return len(startsOf(cluster, "cleanup")) >= 6 })
	for _, start := range startsOf(cluster, "cleanup") {
		if late := start.At.Sub(confirmed); late > maxUrgentDelay {
			t.Errorf("%s started %s after the confirmation of its intent", start.Task, late)
		}
	}
	awaitFinished(t, cluster, 36)
	assertResumed(t, cluster, "survey")
	cluster.AssertNoBreach()
}

// TestTasksInRegionCut checks that tasks still start on the store's side of a cut
// between two regions, and that each task finishes once.
func TestTasksInRegionCut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	confirm(t, cluster.Daemons[0], batchIntentOf("survey", 120, 2*time.Second))
	awaitStarts(t, cluster, 32)
	awaitGuarantors(t, cluster, 1)
	cluster.CutRegion("south-ga")
	cut := time.Now()
	time.Sleep(8 * time.Second)
	healed := time.Now()
	cluster.Network.Heal(harness.All)
	awaitFinished(t, cluster, 120)
	ended := map[string]int{}
	for _, record := range cluster.Records() {
		if record.State == "finished" && record.At.After(cut) && record.At.Before(healed) {
			ended[record.DataCentre]++
		}
	}
	t.Logf("finished during the cut: %v", ended)
	assertStartsBetween(t, cluster, "atl-a", cut.Add(startGrace), healed)
	cluster.AssertNoBreach()
}
