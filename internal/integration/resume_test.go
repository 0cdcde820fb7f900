package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// urgentStart is the time within which urgent work starts on full workers.
const urgentStart = 8 * time.Second

// urgentOf returns an intent of urgent tasks.
func urgentOf(name string, count int) string {
	return strings.Replace(intentOf(name, count, time.Second), "kind: runBy\nwithin: 1h\n", "kind: runNow\n", 1)
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

// assertResumed fails the test unless some tasks were evicted, each run after
// the first started from the checkpoint that the one before it left, and no
// run started twice.
func assertResumed(t *testing.T, cluster *harness.Cluster, intent string) {
	t.Helper()
	left := map[judge.Record]string{}
	for _, record := range cluster.Records() {
		if record.Kind == judge.KindEnd {
			left[judge.Record{Task: record.Task, Run: record.Run}] = record.Checkpoint
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
		checkpoint, resumes := left[judge.Record{Task: start.Task, Run: start.Run - 1}]
		if !resumes {
			continue
		}
		resumed++
		if start.Checkpoint == "" || start.Checkpoint != checkpoint {
			t.Errorf("%s run %d started from %q, run %d left %q", start.Task, start.Run, start.Checkpoint, start.Run-1, checkpoint)
		}
	}
	t.Logf("%d runs, %d of them resumed", len(started), resumed)
	if resumed == 0 {
		t.Errorf("nothing was evicted")
	}
}

// TestUrgentEvicts confirms urgent work on full workers.
func TestUrgentEvicts(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: northGA})
	confirm(t, cluster.Daemons[0], intentOf("survey", 30, 8*time.Second))
	awaitStarts(t, cluster, 24)
	confirm(t, cluster.Daemons[1], urgentOf("cleanup", 6))
	confirmed := time.Now()
	harness.Eventually(t, patience, "urgent starts", func() bool { return len(startsOf(cluster, "cleanup")) >= 6 })
	for _, start := range startsOf(cluster, "cleanup") {
		if late := start.At.Sub(confirmed); late > urgentStart {
			t.Errorf("%s started after %s", start.Task, late)
		}
	}
	awaitFinished(t, cluster, 36)
	assertResumed(t, cluster, "survey")
	cluster.AssertNoBreach()
}

// TestTasksInRegionCut runs tasks in two regions that lose each other.
func TestTasksInRegionCut(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: twoRegions})
	confirm(t, cluster.Daemons[0], intentOf("survey", 120, 2*time.Second))
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
	assertStarts(t, cluster, "atl-a", cut.Add(startGrace), healed)
	cluster.AssertNoBreach()
}
