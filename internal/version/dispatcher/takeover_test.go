package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// inherited returns a bench whose owner follows another one, with a submission
// of one task that the former owner was given.
func inherited(t *testing.T, runners int) (b *bench, task submitter.TaskID) {
	b = newBench(t, 1, runners)
	b.add("a", "urgent", oneCore(1))
	return b, submitter.TaskID{Submission: "a"}
}

func TestNewOwnerWaitsForEveryRunner(t *testing.T) {
	b, _ := inherited(t, 2)
	b.look("r0")
	b.pass(time.Second)
	b.look("r0")
	assertStarts(t, b.starts(), 0)

	t.Run("until it has answered", func(t *testing.T) {
		b.look("r1")
		b.pass(time.Second)
		assertStarts(t, b.starts(), 1)
	})
}

func TestNewOwnerWaitsForLeasesOfSilentRunners(t *testing.T) {
	b, _ := inherited(t, 2)
	for range 5 {
		b.look("r0")
		assertStarts(t, b.starts(), 0)
		b.pass(time.Second)
	}
	b.look("r0")
	b.pass(1500 * time.Millisecond)
	assertStarts(t, b.starts(), 1)
}

func TestNewOwnerWaitsForStopsUnderWay(t *testing.T) {
	b, _ := inherited(t, 1)
	b.look("r0")
	b.pass(300 * time.Millisecond)
	b.look("r0")
	assertStarts(t, b.starts(), 0)
	b.pass(400 * time.Millisecond)
	b.look("r0")
	assertStarts(t, b.starts(), 1)
}

// Seen in hunt-0c8a-15 of sdg-sched: the second look at a runner took longer
// than 150 ms, and all that ran there was started again elsewhere.
func TestAdoptedRunsKeepTheLeaseOfTheFormerOwner(t *testing.T) {
	b, task := inherited(t, 2)
	b.lists["r0"] = []RunStatus{{Task: task, Run: 1}}
	b.lookAll(2)
	for range 4 {
		b.pass(time.Second)
		b.look("r1")
		assertStarts(t, b.starts(), 0)
	}
	b.pass(2500 * time.Millisecond)
	b.look("r1")
	assertStarts(t, b.starts(), 1)
}

// Seen in trouble-1 of ptkp-sched: the end was acknowledged and forgotten, and
// the task ran a second time.
func TestEndsOfUnknownSubmissionsAreKept(t *testing.T) {
	b := newBench(t, 1, 1)
	b.look("r0", End{Task: submitter.TaskID{Submission: "a"}, Run: 1, How: Done})
	if acked := b.table.Acknowledgeable("r0", b.now); acked != 0 {
		t.Fatalf("acknowledged up to %d", acked)
	}
	b.pass(time.Second)
	b.look("r0")
	b.add("a", "urgent", oneCore(1))
	assertStarts(t, b.starts(), 0)
	records := b.table.Unsaved(10)
	if len(records) != 1 || records[0].Progress.State != submitter.Complete {
		t.Fatalf("records %+v", records)
	}
	t.Run("acknowledged once durable", func(t *testing.T) {
		b.table.Saved(records)
		if acked := b.table.Acknowledgeable("r0", b.now); acked != 1 {
			t.Errorf("acknowledged up to %d", acked)
		}
	})
}

func TestRunsOfEndedSubmissionsTakeUpRoom(t *testing.T) {
	b := newBench(t, 1, 1)
	sub := &submitter.Submission{ID: "old", Queue: "urgent", Steps: []submitter.Step{oneCore(8)}}
	b.table.Add(sub, &submitter.Progress{State: submitter.Cancelled}, b.now)
	for i := range 8 {
		b.lists["r0"] = append(b.lists["r0"], RunStatus{Task: submitter.TaskID{Submission: "old", Index: i}, Run: 1})
	}
	b.look("r0")
	b.pass(600 * time.Millisecond)
	b.look("r0")
	b.add("new", "urgent", oneCore(1))
	assertStarts(t, b.starts(), 0)
}

func TestRunNumbersOfOwnersNeverMeet(t *testing.T) {
	b, _ := inherited(t, 1)
	b.look("r0")
	b.pass(time.Second)
	b.look("r0")
	orders := b.starts()
	assertStarts(t, orders, 1)
	if orders[0].Run <= runsPerGeneration {
		t.Errorf("run %d may have been started by the former owner", orders[0].Run)
	}
}

// Seen on deploy/days/zones.toml of ptkp-sched, varied with seed 432198914208: an
// owner cut off with its data centre found its successor's submissions in the
// store before it learnt of the successor, and started them once more.
func TestSubmissionsOfASuccessorAreLeftAlone(t *testing.T) {
	b := newBench(t, 0, 1)
	b.look("r0")
	sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, Owner: testFence + 1}
	b.table.Add(sub, nil, b.now)
	assertStarts(t, b.starts(), 0)
}

// An owner that is cut off from its record and from a runner can't tell whether
// a successor renews the leases there.
func TestLeasesLapseOnlyUnderAConfirmedRecord(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	_, other := b.addTask()
	b.unconfirmed = true
	for range 9 {
		b.look(other)
		assertStarts(t, b.starts(), 0)
		b.pass(time.Second)
	}
	b.unconfirmed = false
	b.look(other)
	b.pass(time.Second)
	assertStarts(t, b.starts(), 1)
}

// Load: rolling restarts. Each change of owner cost the longest time of a stop,
// in which no submission of the former owner went on.
func TestFormerOwnerVouchesForRunners(t *testing.T) {
	t.Run("without stops under way", func(t *testing.T) {
		b, _ := inherited(t, 2)
		b.table.FormerOwnerEnded(b.now)
		b.table.MarkSettled([]string{"r0", "r1"}, b.now)
		b.lookAll(2)
		assertStarts(t, b.starts(), 1)
	})
	t.Run("for some of them", func(t *testing.T) {
		b, _ := inherited(t, 2)
		b.table.MarkSettled([]string{"r0"}, b.now)
		b.lookAll(2)
		assertStarts(t, b.starts(), 0)
	})
}

func TestSettledRunners(t *testing.T) {
	b := newBench(t, 0, 2)
	b.look("r0")
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	assertStarts(t, orders, 1)
	assertSettled := func(want ...string) {
		t.Helper()
		if got := b.table.Settled(b.now); !slices.Equal(got, want) {
			t.Errorf("settled %v, want %v", got, want)
		}
	}
	assertSettled("r0")
	b.look("r1")
	assertSettled("r0", "r1")
	b.table.Cancel("a", b.now)
	assertSettled("r1")
	b.lists["r0"] = nil
	b.look("r0", End{Task: orders[0].Task, Run: orders[0].Run, How: Stopped})
	assertSettled("r0", "r1")
}

// A run of a submission that nobody knows is stopped, and takes up room until
// the stop has taken effect, though the runner no longer lists it.
func TestStoppedStrangersTakeUpRoom(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lists["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "unknown"}, Run: 1}}
	b.look("r0")
	b.pass(strangerPatience + time.Millisecond)
	b.look("r0")
	if counts := kinds(b.table.Orders()); counts[Stop] != 1 {
		t.Fatalf("orders %v", counts)
	}
	b.lists["r0"] = nil
	b.pass(100 * time.Millisecond)
	b.look("r0")
	b.add("a", "urgent", oneCore(1))
	assertStarts(t, b.starts(), 0)
	if settled := b.table.Settled(b.now); len(settled) != 0 {
		t.Errorf("settled %v", settled)
	}
	b.pass(600 * time.Millisecond)
	b.look("r0")
	assertStarts(t, b.starts(), 1)
}

// Seen on sdg-sched, mix with seed 1012598155289: entries had lapsed during an
// outage of the store. A new owner saw few runners, all of them settled, and
// started again what ran on the others.
func TestNewOwnerWaitsForRunnersWithoutAnEntry(t *testing.T) {
	b, task := inherited(t, 1)
	b.table.ExpectRunners([]RunnerInfo{{ID: "r0", Service: "s"}, {ID: "unlisted", Service: "s", Capacity: testCapacity, Lifetime: 1}})
	b.table.MarkSettled([]string{"r0", "unlisted"}, b.now)
	b.look("r0")
	assertStarts(t, b.starts(), 0)
	b.lists["unlisted"] = []RunStatus{{Task: task, Run: 1}}
	b.look("unlisted")
	assertStarts(t, b.starts(), 0)
	if running := b.table.subs["a"].occs[0].steps[0].tasks[0].runs; len(running) != 1 {
		t.Errorf("%d runs are known, the runner lists one", len(running))
	}
}

func TestNewOwnerDoesNotWaitForRunnersThatLeft(t *testing.T) {
	b, _ := inherited(t, 1)
	b.table.ExpectRunners([]RunnerInfo{{ID: "left", Service: "s", Draining: true}})
	b.table.MarkSettled([]string{"r0", "left"}, b.now)
	b.look("r0")
	assertStarts(t, b.starts(), 0)
	b.table.PollFailed("left", true, b.now)
	assertStarts(t, b.starts(), 1)
}

// Seen on ptkp-sched-grown, trouble-1 with seed 502580798295: the former owner
// could not save two failures of a task whose copies may run in parallel, and the
// new owner started it once more before it had heard of them.
func TestNewOwnerHearsOfFailuresBeforeItStartsCopies(t *testing.T) {
	b := newBench(t, 1, 2)
	step := oneCore(1)
	step.Speculative = true
	b.add("a", "urgent", step)
	b.look("r0")
	b.pass(time.Second)
	b.look("r0")
	assertStarts(t, b.starts(), 0)
	task := submitter.TaskID{Submission: "a"}
	b.look("r1", End{Task: task, Run: 1, How: Failure}, End{Task: task, Run: 2, How: Failure})
	b.pass(time.Second)
	b.lookAll(2)
	assertStarts(t, b.starts(), 0)
	if state := b.table.subs["a"].state; state != submitter.Failed {
		t.Errorf("state %q after as many failures as the queue allows", state)
	}
}
