package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestRunnersAreNeverOvercommitted(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(30))
	orders := h.starts()
	assertStarts(t, orders, 16)
	t.Run("while a stop is in flight", func(t *testing.T) {
		x := h.table.find(orders[0])
		h.table.stop(x, h.now, "test")
		h.table.Orders()
		h.table.ApplyStop(orders[0], Succeeded, h.now)
		h.reported[orders[0].Runner] = nil // runs that are being stopped are not reported
		for _, o := range orders[1:] {
			if o.Runner == orders[0].Runner {
				h.reported[o.Runner] = append(h.reported[o.Runner], RunStatus{Task: o.Task, Run: o.Run})
			}
		}
		h.advance(100 * time.Millisecond)
		h.poll(orders[0].Runner)
		h.advance(100 * time.Millisecond)
		assertStarts(t, h.starts(), 0)
	})
	t.Run("until its end is reported", func(t *testing.T) {
		h.poll(orders[0].Runner, End{Task: orders[0].Task, Run: orders[0].Run, Kind: Stopped})
		h.advance(100 * time.Millisecond)
		assertStarts(t, h.starts(), 1)
	})
}

// Load: a burst of background work, followed by urgent work.
func TestUrgentWorkGoesFirst(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("a", "night", oneCore(20))
	assertStarts(t, h.starts(), 8)
	h.add("b", "urgent", oneCore(2))
	for task := range 2 {
		id := submitter.TaskID{Submission: "a", Index: task}
		h.reported["r0"] = h.reported["r0"][1:]
		h.poll("r0", End{Task: id, Run: 1, Kind: Done})
	}
	h.advance(100 * time.Millisecond)
	h.poll("r0")
	for _, o := range h.starts() {
		if o.Task.Submission != "b" {
			t.Errorf("started %s before the urgent submission", o.Task)
		}
	}
}

// Load: more work than can be done in time. Work that can still meet its objective
// starts before work whose value has expired, which still gets the remaining room.
func TestWorkInTimeStartsBeforeExpiredWork(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.add("old", "urgent", oneCore(4))
	h.advance(20 * time.Second)
	h.add("new", "urgent", oneCore(6))
	h.pollAll(1)
	counts := map[string]int{}
	for _, o := range h.starts() {
		counts[o.Task.Submission]++
	}
	if counts["new"] != 6 || counts["old"] != 2 {
		t.Errorf("started %v, want 6 of new and 2 of old", counts)
	}
}

func TestStepsWaitForTheirPredecessors(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	second := oneCore(2)
	second.After = []int{0}
	h.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(2), second}, AcceptedAt: h.now}, nil, h.now)
	assertStarts(t, h.starts(), 2)
	first := submitter.TaskID{Submission: "a"}
	h.reported["r0"] = h.reported["r0"][1:]
	h.poll("r0", End{Task: first, Run: 1, Kind: Done})
	assertStarts(t, h.starts(), 0)
	h.reported["r0"] = nil
	h.poll("r0", End{Task: submitter.TaskID{Submission: "a", Index: 1}, Run: 1, Kind: Done})
	assertStarts(t, h.starts(), 2)
}

func TestMaxTasksPerRunner(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	step := oneCore(6)
	step.MaxPerRunner = 2
	h.add("a", "urgent", step)
	assertStarts(t, h.starts(), 4)
}

func TestRequiredLabel(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	step := oneCore(1)
	step.RequiredLabel = "fast"
	h.add("a", "urgent", step)
	assertStarts(t, h.starts(), 0)
}

func TestIneligibleRunnersGetNoStarts(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness)
	}{
		{"evacuated data centre", func(h *harness) { h.configure(map[string]bool{"z": true}, testQueues...) }},
		{"draining runner", func(h *harness) {
			info, _ := h.table.Runner("r0")
			info.Draining = true
			h.table.SetRunners([]RunnerInfo{info}, h.now)
		}},
		{"runner without a registry entry", func(h *harness) { h.table.SetRunners(nil, h.now) }},
		{"silent runner", func(h *harness) { h.advance(staleAfter + time.Second) }},
		{"queue of another service", func(h *harness) { h.configure(nil, submitter.Queue{Name: "urgent", Service: "other"}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0, 1)
			h.pollAll(1)
			test.change(h)
			h.add("a", "urgent", oneCore(1))
			assertStarts(t, h.starts(), 0)
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(t, 0, 4)
	h.pollAll(4)
	h.add("a", "urgent", oneCore(1))
	for attempt := range 2 {
		orders := h.starts()
		assertStarts(t, orders, 1)
		h.reported[orders[0].Runner] = nil
		h.poll(orders[0].Runner, End{Task: orders[0].Task, Run: orders[0].Run, Kind: Failure})
		if state := h.table.subs["a"].state; (state == submitter.Failed) != (attempt == 1) {
			t.Fatalf("state %s after %d failures", state, attempt+1)
		}
	}
	assertStarts(t, h.starts(), 0)
	t.Run("saved failures are not counted twice", func(t *testing.T) {
		h := newHarness(t, 1, 1)
		sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}}
		h.table.Add(sub, &submitter.Progress{Steps: []submitter.StepProgress{{Failures: map[int][]int64{0: {1}}}}}, h.now)
		h.poll("r0", End{Task: submitter.TaskID{Submission: "a"}, Run: 1, Kind: Failure})
		if state := h.table.subs["a"].state; state == submitter.Failed {
			t.Error("one failure counted twice")
		}
	})
}

// Load: a runner on which every task fails within moments. As the runner soon has free
// room again, it would attract all work if it were not suspended.
func TestRunnerThatFailsAllIsSuspended(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	for n := range 2 {
		h.add(fmt.Sprint("bad", n), "urgent", oneCore(1))
	}
	for _, o := range h.starts() {
		h.reported[o.Runner] = nil
		x := h.table.find(o)
		h.table.end(x, h.now, "test")
		h.table.countFailure(h.table.runners["r0"], o.Task.Submission, h.now)
	}
	h.add("good", "urgent", oneCore(8))
	for _, o := range h.starts() {
		if o.Runner == "r0" {
			t.Errorf("%s started on the suspended runner", o.Task)
		}
	}
}

func TestUnansweredStart(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(1))
	h.table.placementDue = true
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	assertStarts(t, orders, 1)
	h.table.ApplyStart(orders[0], Unanswered, 0, h.now)
	stops := h.table.Orders()
	if len(stops) != 1 || stops[0].Kind != Stop {
		t.Fatalf("orders %+v, want a stop", stops)
	}
	h.poll(orders[0].Runner) // the late start is not reported yet
	h.advance(time.Second)
	h.poll(orders[0].Runner)
	assertStarts(t, h.starts(), 0)

	t.Run("settled by a stop", func(t *testing.T) {
		h.table.ApplyStop(stops[0], Succeeded, h.now)
		h.advance(700 * time.Millisecond)
		h.pollAll(2)
		h.advance(10 * time.Millisecond)
		assertStarts(t, h.starts(), 1)
	})
}

// Guards against stopping a run that the runner lists, because the answer to its start was
// late. An owner short of processor time stopped and restarted tasks for ever.
func TestUnansweredStartThatTheRunnerLists(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	start := h.decideOne(oneCore(1))
	h.reported["r0"] = []RunStatus{{Task: start.Task, Run: start.Run}}
	h.poll("r0")
	h.table.ApplyStart(start, Unanswered, 0, h.now)
	if orders := h.table.Orders(); len(orders) != 0 {
		t.Errorf("orders %+v, want none", orders)
	}
}

func TestUnansweredStartAtARestartedRunner(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(1))
	h.table.placementDue = true
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	h.table.ApplyStart(orders[0], Unanswered, 0, h.now)
	h.table.Orders()
	info, _ := h.table.Runner(orders[0].Runner)
	info.Lifetime = 2
	h.table.SetRunners([]RunnerInfo{info}, h.now)
	assertStarts(t, h.starts(), 0)
}

func TestRestartedRunnerFreesItsTasks(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(1))
	orders := h.starts()
	h.poll(orders[0].Runner) // lists the run
	infos := []RunnerInfo{}
	for i := range 2 {
		info, _ := h.table.Runner(fmt.Sprint("r", i))
		if info.ID == orders[0].Runner {
			info.Lifetime = 2
		}
		infos = append(infos, info)
	}
	h.table.SetRunners(infos, h.now)
	assertStarts(t, h.starts(), 1)
}

// Load: a task that hangs on a runner that still answers polls.
func TestSpeculativeTaskGetsACopy(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	step := oneCore(1)
	step.Speculative = true
	h.add("a", "urgent", step)
	orders := h.starts()
	assertStarts(t, orders, 1)
	for range 3 {
		h.pollAll(2)
		h.advance(500 * time.Millisecond)
	}
	copies := h.execute(h.table.Orders())
	assertStarts(t, copies, 1)
	h.reported[copies[0].Runner] = nil
	h.poll(copies[0].Runner, End{Task: copies[0].Task, Run: copies[0].Run, Kind: Done})
	if state := h.table.subs["a"].state; state != submitter.Complete {
		t.Errorf("state %s after the copy is done", state)
	}
}

func TestGangStartsTogether(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	gang := oneCore(6)
	gang.Gang = true
	h.add("filler", "urgent", oneCore(4))
	assertStarts(t, h.starts(), 4)
	h.add("a", "urgent", gang)
	assertStarts(t, h.starts(), 0)
	for i := range 4 {
		h.reported["r0"] = h.reported["r0"][1:]
		h.poll("r0", End{Task: submitter.TaskID{Submission: "filler", Index: i}, Run: 1, Kind: Done})
	}
	h.advance(100 * time.Millisecond)
	h.poll("r0")
	orders := h.starts()
	assertStarts(t, orders, 6)
	for _, o := range orders {
		if o.Run != orders[0].Run {
			t.Errorf("members have run numbers %d and %d", orders[0].Run, o.Run)
		}
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	schedule := &submitter.Schedule{Count: 3, Start: h.now.Add(time.Second), Interval: time.Second}
	h.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, Schedule: schedule}, nil, h.now)
	assertStarts(t, h.starts(), 0)
	for k := range 3 {
		h.advance(time.Second)
		h.poll("r0")
		orders := h.starts()
		assertStarts(t, orders, 1)
		if orders[0].Task.Occurrence != k {
			t.Errorf("occurrence %d, want %d", orders[0].Task.Occurrence, k)
		}
	}
}

// Guards against waiting for an acceptance time that the owner's clock has not
// reached: daemons whose clocks are ahead accept submissions with such times. (day
// "clocks")
func TestSubmissionFromADaemonWhoseClockIsAhead(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, AcceptedAt: h.now.Add(3 * time.Second)}
	h.table.Add(sub, nil, h.now)
	assertStarts(t, h.starts(), 1)
}

// Guards against an unanswered start that no stop ever settles. Polls took a second,
// and the stop was repeated each time before the answer to a poll arrived that had
// been sent after the stop had taken effect. (soak, seed 1)
func TestUnansweredStartIsSettledDespiteSlowPolls(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	h.table.placementDue = true
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	h.table.ApplyStart(orders[0], Unanswered, 0, h.now)
	for range 5 {
		sent := h.now
		for range 5 {
			h.advance(200 * time.Millisecond)
			for _, o := range h.table.Orders() {
				switch o.Kind {
				case Stop:
					h.table.ApplyStop(o, Succeeded, h.now)
				case Start:
					return
				case Pace:
				}
			}
			h.table.Schedule(h.now)
		}
		h.table.LeaseUntil("r0", sent)
		h.table.Report("r0", Report{Token: testFence, Lifetime: 1, Clock: h.now.Sub(epoch).Milliseconds() + 1000}, sent, h.now)
	}
	t.Error("the task was never started again")
}

func TestSameRackIsPreferred(t *testing.T) {
	h := newHarness(t, 0, 4)
	infos := []RunnerInfo{}
	for i := range 4 {
		info, _ := h.table.Runner(fmt.Sprint("r", i))
		info.Rack = fmt.Sprint("rack", i%2)
		infos = append(infos, info)
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(4)
	step := oneCore(12)
	step.SameRack = true
	h.add("a", "urgent", step)
	orders := h.starts()
	assertStarts(t, orders, 12)
	first, _ := h.table.Runner(orders[0].Runner)
	for _, o := range orders {
		if info, _ := h.table.Runner(o.Runner); info.Rack != first.Rack {
			t.Errorf("%s started in %s, others in %s", o.Task, info.Rack, first.Rack)
		}
	}
}

func TestLoadCountsWhatRunsAndWhatWaits(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(20))
	assertStarts(t, h.starts(), 16)
	h.add("b", "night", bestEffort("batch", 3))
	if got, want := h.table.Load(), (partitioner.Load{Capacity: 16_000, Reserved: 20_000, Filling: 3000}); got != want {
		t.Errorf("load %+v, want %+v", got, want)
	}
	t.Run("evacuated runners don't count", func(t *testing.T) {
		h.configure(map[string]bool{"z": true}, testQueues...)
		if got := h.table.Load(); got.Capacity != 0 {
			t.Errorf("load %+v", got)
		}
	})
}

// Guards against long-running submissions that are sent to a part which seems to have room,
// as the demand of the tasks on its leaving runners isn't known there.
func TestLoadCountsTasksOfLeavingRunners(t *testing.T) {
	c := newCrowd(t, 2, lasting(4, 3000))
	c.drain([]string{"r0"})
	if got, want := c.table.Load(), (partitioner.Load{Capacity: 8000, Reserved: 12_000, LongRunning: 12_000}); got != want {
		t.Errorf("load %+v, want %+v", got, want)
	}
}

// Load: more best-effort submissions than fit. If all are started in the order of their
// due dates, and none is finished in time, everyone waits for nothing.
func TestShortestBestEffortSubmissionGoesFirst(t *testing.T) {
	newFullHarness := func(t *testing.T) *harness {
		h := newHarness(t, 0, 1)
		h.poll("r0")
		long := bestEffort("batch", 60)
		h.add("long", "night", long)
		h.add("short", "night", bestEffort("batch", 2))
		return h
	}
	t.Run("by the work that is left", func(t *testing.T) {
		h := newFullHarness(t)
		assertFirst(t, h.starts(), "short")
	})
	t.Run("but after what can still meet its objective", func(t *testing.T) {
		h := newFullHarness(t)
		slow := bestEffort("batch", 1)
		slow.Estimate = 500 * time.Millisecond
		h.advance(3500 * time.Millisecond) // later than either objective
		h.poll("r0")
		h.add("new", "night", slow)
		assertFirst(t, h.starts(), "new")
	})
	t.Run("and what can't meet its objective any more comes after the others", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		h.poll("r0")
		h.add("tight", "night", bestEffort("batch", 1)) // objective 3 s, takes 1 s
		h.advance(2200 * time.Millisecond)
		h.add("new", "night", bestEffort("batch", 4))
		assertFirst(t, h.starts(), "new")
	})
}

// assertFirst checks which submission the first start belongs to.
func assertFirst(t *testing.T, orders []Order, want string) {
	t.Helper()
	if len(orders) == 0 || orders[0].Task.Submission != want {
		t.Errorf("starts %+v, want %q first", orders, want)
	}
}

// Guards against a submission that runs although it was cancelled, as its cancellation
// reached the owner first.
func TestCancellationBeforeItsSubmission(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	h.table.Cancel("a", h.now)
	h.advance(time.Second)
	h.add("a", "urgent", oneCore(1))
	assertStarts(t, h.starts(), 0)
	if state, _ := h.table.State("a"); state != submitter.Cancelled {
		t.Errorf("state %q, want cancelled", state)
	}
}
