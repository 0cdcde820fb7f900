package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newTakeoverHarness returns a harness whose owner succeeds another one, with a
// submission of one task that was submitted to the former owner.
func newTakeoverHarness(t *testing.T, runners int) (h *harness, task submitter.TaskID) {
	h = newHarness(t, 1, runners)
	h.add("a", "urgent", oneCore(1))
	return h, submitter.TaskID{Submission: "a"}
}

func TestNewOwnerWaitsForEveryRunner(t *testing.T) {
	h, _ := newTakeoverHarness(t, 2)
	h.poll("r0")
	h.advance(time.Second)
	h.poll("r0")
	assertStarts(t, h.starts(), 0)

	t.Run("until it has answered", func(t *testing.T) {
		h.poll("r1")
		h.advance(time.Second)
		assertStarts(t, h.starts(), 1)
	})
}

func TestNewOwnerWaitsForLeasesOfSilentRunners(t *testing.T) {
	h, _ := newTakeoverHarness(t, 2)
	assertStartsAfterLeases(t, h)
}

// assertStartsAfterLeases polls r0 and checks that a task starts 6.5 s from now, which is
// later than the longest lease ends, and not in the first 5 s.
func assertStartsAfterLeases(t *testing.T, h *harness) {
	t.Helper()
	for range 6 {
		h.poll("r0")
		assertStarts(t, h.starts(), 0)
		h.advance(time.Second)
	}
	h.poll("r0")
	h.advance(500 * time.Millisecond)
	assertStarts(t, h.starts(), 1)
}

// Guards against a task that runs twice after two changes of owner: the first owner was
// cut off with a runner and renewed leases there, while the second one had ended.
func TestNewOwnerWaitsForLeasesOfEarlierOwners(t *testing.T) {
	const mayAct = 7 * time.Second
	h, _ := newTakeoverHarness(t, 2)
	h.table.SetFormerOwnerEnd(h.now.Add(10 * time.Second))
	h.table.SetEarlierOwnersEnd(h.now.Add(mayAct))
	h.table.MarkSettled([]string{"r0", "r1"}, h.now)
	for range mayAct / time.Second {
		h.poll("r0")
		assertStarts(t, h.starts(), 0)
		h.advance(time.Second)
	}
	assertStartsAfterLeases(t, h)
}

func TestNewOwnerWaitsForStopsUnderWay(t *testing.T) {
	h, _ := newTakeoverHarness(t, 1)
	h.poll("r0")
	h.advance(300 * time.Millisecond)
	h.poll("r0")
	assertStarts(t, h.starts(), 0)
	h.advance(400 * time.Millisecond)
	h.poll("r0")
	assertStarts(t, h.starts(), 1)
}

// Guards against adopted runs that count as lapsed too early. The second poll of a
// runner took longer than 150 ms, and all runs there were started again elsewhere.
// (hunt-0c8a-15 of sdg-sched)
func TestAdoptedRunsKeepTheLeaseOfTheFormerOwner(t *testing.T) {
	h, task := newTakeoverHarness(t, 2)
	h.reported["r0"] = []RunStatus{{Task: task, Run: 1}}
	h.pollAll(2)
	for range 4 {
		h.advance(time.Second)
		h.poll("r1")
		assertStarts(t, h.starts(), 0)
	}
	h.advance(2500 * time.Millisecond)
	h.poll("r1")
	assertStarts(t, h.starts(), 1)
}

// Guards against acknowledging the end of a run before its submission is known: the
// runner dropped the end, and the task ran a second time. (trouble-1 of ptkp-sched)
func TestEndsOfUnknownSubmissionsAreKept(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.poll("r0", End{Task: submitter.TaskID{Submission: "a"}, Run: 1, Kind: Done})
	if acked := h.table.Acknowledgeable("r0", h.now); acked != 0 {
		t.Fatalf("acknowledged up to %d while the submission is unknown, want 0", acked)
	}
	h.advance(time.Second)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	assertStarts(t, h.starts(), 0)
	records := h.table.Unsaved(10)
	if len(records) != 1 || records[0].Progress.State != submitter.Complete {
		t.Fatalf("records %+v, want one that is complete", records)
	}
	t.Run("acknowledged once durable", func(t *testing.T) {
		h.table.Saved(records)
		if acked := h.table.Acknowledgeable("r0", h.now); acked != 1 {
			t.Errorf("acknowledged up to %d, want 1", acked)
		}
	})
}

func TestRunsOfEndedSubmissionsTakeUpRoom(t *testing.T) {
	h := newHarness(t, 1, 1)
	sub := &submitter.Submission{ID: "old", Queue: "urgent", Steps: []submitter.Step{oneCore(8)}}
	h.table.Add(sub, &submitter.Progress{State: submitter.Cancelled}, h.now)
	for i := range 8 {
		h.reported["r0"] = append(h.reported["r0"], RunStatus{Task: submitter.TaskID{Submission: "old", Index: i}, Run: 1})
	}
	h.poll("r0")
	h.advance(600 * time.Millisecond)
	h.poll("r0")
	h.add("new", "urgent", oneCore(1))
	assertStarts(t, h.starts(), 0)
}

func TestRunNumbersOfOwnersNeverCollide(t *testing.T) {
	h, _ := newTakeoverHarness(t, 1)
	h.poll("r0")
	h.advance(time.Second)
	h.poll("r0")
	orders := h.starts()
	assertStarts(t, orders, 1)
	if orders[0].Run <= runsPerGeneration {
		t.Errorf("run number %d may have been used by the former owner", orders[0].Run)
	}
}

// Guards against starting the submissions of a successor. An owner that was cut off
// with its data centre read them from the store before it learnt of the successor,
// and started them once more. (deploy/days/zones.toml of ptkp-sched, seed
// 432198914208)
func TestSubmissionsOfASuccessorAreNotStarted(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, Owner: testFence + 1}
	h.table.Add(sub, nil, h.now)
	assertStarts(t, h.starts(), 0)
}

// Guards against treating leases as lapsed that a successor may have renewed. An owner
// that reaches neither its record in the store nor a runner can't tell whether there
// is a successor that renews the runner's leases.
func TestLeasesLapseOnlyWhileOwnershipIsConfirmed(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	_, other := h.addTask()
	h.isUnconfirmed = true
	for range 9 {
		h.poll(other)
		assertStarts(t, h.starts(), 0)
		h.advance(time.Second)
	}
	h.isUnconfirmed = false
	h.poll(other)
	h.advance(time.Second)
	assertStarts(t, h.starts(), 1)
}

// Load: rolling restarts. Each change of owner cost the longest time that a stop
// takes, during which no submission of the former owner continued.
func TestNewOwnerDoesNotWaitForSettledRunners(t *testing.T) {
	t.Run("without stops in flight", func(t *testing.T) {
		h, _ := newTakeoverHarness(t, 2)
		h.table.FormerOwnerEnded(h.now)
		h.table.MarkSettled([]string{"r0", "r1"}, h.now)
		h.pollAll(2)
		assertStarts(t, h.starts(), 1)
	})
	t.Run("only if all are settled", func(t *testing.T) {
		h, _ := newTakeoverHarness(t, 2)
		h.table.MarkSettled([]string{"r0"}, h.now)
		h.pollAll(2)
		assertStarts(t, h.starts(), 0)
	})
}

func TestSettledRunners(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	orders := h.starts()
	assertStarts(t, orders, 1)
	assertSettled := func(want ...string) {
		t.Helper()
		if got := h.table.Settled(h.now); !slices.Equal(got, want) {
			t.Errorf("settled %v, want %v", got, want)
		}
	}
	assertSettled("r0")
	h.poll("r1")
	assertSettled("r0", "r1")
	h.table.Cancel("a", h.now)
	assertSettled("r1")
	h.reported["r0"] = nil
	h.poll("r0", End{Task: orders[0].Task, Run: orders[0].Run, Kind: Stopped})
	assertSettled("r0", "r1")
}

// A run of an unknown submission is stopped, and takes up room until the stop has
// taken effect, although the runner no longer reports it.
func TestStoppedUnknownRunsTakeUpRoom(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.reported["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "unknown"}, Run: 1}}
	h.poll("r0")
	h.advance(unknownRunGrace + time.Millisecond)
	h.poll("r0")
	if counts := kinds(h.table.Orders()); counts[Stop] != 1 {
		t.Fatalf("orders by kind %v, want one stop", counts)
	}
	h.reported["r0"] = nil
	h.advance(100 * time.Millisecond)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	assertStarts(t, h.starts(), 0)
	if settled := h.table.Settled(h.now); len(settled) != 0 {
		t.Errorf("settled %v while a stop is in flight, want none", settled)
	}
	h.advance(600 * time.Millisecond)
	h.poll("r0")
	assertStarts(t, h.starts(), 1)
}

// Guards against a new owner that ignores runners without a registry entry. Entries
// had expired during an outage of the store. The new owner saw only few runners,
// all of them settled, and started again what was running on the others.
// (sdg-sched, mix, seed 1012598155289)
func TestNewOwnerWaitsForRunnersWithoutAnEntry(t *testing.T) {
	h, task := newTakeoverHarness(t, 1)
	h.table.ExpectRunners([]RunnerInfo{{ID: "r0", Service: "s"}, {ID: "unlisted", Service: "s", Capacity: testCapacity, Lifetime: 1}})
	h.table.MarkSettled([]string{"r0", "unlisted"}, h.now)
	h.poll("r0")
	assertStarts(t, h.starts(), 0)
	h.reported["unlisted"] = []RunStatus{{Task: task, Run: 1}}
	h.poll("unlisted")
	assertStarts(t, h.starts(), 0)
	if running := h.table.subs["a"].occs[0].steps[0].tasks[0].runs; len(running) != 1 {
		t.Errorf("%d runs are known, the runner lists one", len(running))
	}
}

// Guards against starting a copy of a task before all its failures are known. The
// former owner could not save two failures of a speculative task, and the new owner
// started the task once more before the runner reported the failures. (trouble-1 of
// ptkp-sched-grown, seed 502580798295)
func TestNewOwnerLearnsOfFailuresBeforeItStartsCopies(t *testing.T) {
	h := newHarness(t, 1, 2)
	step := oneCore(1)
	step.Speculative = true
	h.add("a", "urgent", step)
	h.poll("r0")
	h.advance(time.Second)
	h.poll("r0")
	assertStarts(t, h.starts(), 0)
	task := submitter.TaskID{Submission: "a"}
	h.poll("r1", End{Task: task, Run: 1, Kind: Failure}, End{Task: task, Run: 2, Kind: Failure})
	h.advance(time.Second)
	h.pollAll(2)
	assertStarts(t, h.starts(), 0)
	if state := h.table.subs["a"].state; state != submitter.Failed {
		t.Errorf("state %q after as many failures as the queue allows", state)
	}
}

// Guards against a roster that can't be read and is taken for one without runners.
func TestNewOwnerWaitsForLeasesOfUnknownRunners(t *testing.T) {
	h, _ := newTakeoverHarness(t, 1)
	h.table.ExpectOtherRunners()
	assertStartsAfterLeases(t, h)
}

// Load: a change of owners after which a runner stays silent, while tasks that the new
// owner has taken over fail on the others. The silent runner can't run them.
func TestTakenOverTasksRestartWhileARunnerIsSilent(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.table.SetFormerOwnerEnd(h.now.Add(10 * time.Second))
	step := oneCore(2)
	step.LongRunning = true
	h.add("a", "urgent", step)
	task := submitter.TaskID{Submission: "a"}
	h.reported["r0"] = []RunStatus{{Task: task, Run: 1, Percent: 100}}
	poll := func() {
		h.poll("r0")
		h.poll("r1")
	}
	poll()
	h.advance(time.Second)
	poll()
	assertStarts(t, h.starts(), 0)
	h.reported["r0"] = nil
	h.poll("r0", End{Task: task, Run: 1, Kind: Failure})
	t.Run("the one that failed", func(t *testing.T) {
		orders := h.starts()
		assertStarts(t, orders, 1)
		if orders[0].Task != task {
			t.Errorf("started %s, want %s", orders[0].Task, task)
		}
	})
	t.Run("but not the one that may run on the silent runner", func(t *testing.T) {
		h.advance(time.Second)
		poll()
		assertStarts(t, h.starts(), 0)
	})
}

// settle polls some runners until the stops of a former owner have taken effect there.
func (h *harness) settle(runners ...string) {
	for range 2 {
		for _, id := range runners {
			h.poll(id)
		}
		h.advance(time.Second)
	}
}

// Guards against a gang that waits for a silent runner although the new owner has taken over
// all its members.
func TestTakenOverGangRestartsWhileARunnerIsSilent(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.table.SetFormerOwnerEnd(h.now.Add(10 * time.Second))
	step := oneCore(2)
	step.Gang = true
	h.add("a", "urgent", step)
	var ends []End
	for i := range 2 {
		task := submitter.TaskID{Submission: "a", Index: i}
		h.reported["r0"] = append(h.reported["r0"], RunStatus{Task: task, Run: 1, Percent: 10})
		ends = append(ends, End{Task: task, Run: 1, Kind: Broken})
	}
	h.settle("r0", "r1")
	h.reported["r0"] = nil
	h.poll("r1")
	h.poll("r0", ends...)
	assertStarts(t, h.starts(), 2)
}

// Guards against a start beyond the attempts of a queue: a taken-over task failed, and an
// earlier failure, which the former owner had not saved, was listed by a silent runner later.
func TestTakenOverTaskThatFailedWaitsForEarlierFailures(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %t", isGang), func(t *testing.T) {
			h := newHarness(t, 1, 3)
			h.table.SetFormerOwnerEnd(h.now.Add(10 * time.Second))
			step := oneCore(1)
			step.Gang = isGang
			h.add("a", "urgent", step)
			task := submitter.TaskID{Submission: "a"}
			h.reported["r0"] = []RunStatus{{Task: task, Run: 2, Percent: 10}}
			h.settle("r0", "r1")
			h.reported["r0"] = nil
			h.poll("r1")
			h.poll("r0", End{Task: task, Run: 2, Kind: Failure})
			assertStarts(t, h.starts(), 0)
			h.poll("r2", End{Task: task, Run: 1, Kind: Failure})
			h.advance(time.Second)
			h.pollAll(3)
			assertStarts(t, h.starts(), 0)
			if state := h.table.subs["a"].state; state != submitter.Failed {
				t.Errorf("state %q after as many failures as the queue allows", state)
			}
		})
	}
}

// Guards against a task that failed on the only runner with room and keeps the other
// tasks of its step from starting there.
func TestTaskThatAvoidsARunnerDoesNotBlockItsStep(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("full", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 8000}, LongRunning: true})
	full := h.starts()[0].Runner
	step := oneCore(2)
	step.MilliCores = 5000
	h.add("a", "urgent", step)
	first := h.starts()
	assertStarts(t, first, 1)
	if first[0].Runner == full {
		t.Fatalf("started on the full runner %s", full)
	}
	h.reported[first[0].Runner] = nil
	h.poll(first[0].Runner, End{Task: first[0].Task, Run: first[0].Run, Kind: Failure})
	h.advance(2 * blockedPause)
	second := h.starts()
	assertStarts(t, second, 1)
	if second[0].Task == first[0].Task {
		t.Errorf("started %s again on the runner on which it failed", second[0].Task)
	}
}

// Load: a store that is silent while owners are stopped or killed. Their successors come
// only after it is back.
func TestLeasesAreLongestWhileTheStoreIsSilent(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	lease := func() time.Duration {
		h.poll("r0")
		r := h.table.runners["r0"]
		return time.Duration(h.table.LeaseUntil("r0", h.now)-r.clock) * time.Millisecond
	}
	if got := lease(); got != testLimits.LeaseDuration {
		t.Errorf("lease of %s, want %s", got, testLimits.LeaseDuration)
	}
	h.isUnconfirmed = true
	h.advance(2 * time.Second)
	polledAt := h.now
	h.poll("r0")
	h.advance(quorumInterval)
	// Counted from the last poll that a quorum has accepted.
	if got, want := lease(), testLimits.MaxLease-h.now.Sub(polledAt); got != want {
		t.Errorf("lease of %s while the owner can't confirm its record, want %s", got, want)
	}
}
