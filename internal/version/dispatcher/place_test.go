package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestRunnersAreNeverOverCapacity(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(30))
	orders := b.starts()
	assertStarts(t, orders, 16)
	t.Run("while a stop is under way", func(t *testing.T) {
		x := b.table.find(orders[0])
		b.table.stop(x, b.now, "test")
		b.table.Orders()
		b.table.Stopped(orders[0], Succeeded, b.now)
		b.lists[orders[0].Runner] = nil // runs that are being stopped are not listed
		for _, o := range orders[1:] {
			if o.Runner == orders[0].Runner {
				b.lists[o.Runner] = append(b.lists[o.Runner], RunStatus{Task: o.Task, Run: o.Run})
			}
		}
		b.pass(100 * time.Millisecond)
		b.look(orders[0].Runner)
		b.pass(100 * time.Millisecond)
		assertStarts(t, b.starts(), 0)
	})
	t.Run("until its end is listed", func(t *testing.T) {
		b.look(orders[0].Runner, End{Task: orders[0].Task, Run: orders[0].Run, How: Stopped})
		b.pass(100 * time.Millisecond)
		assertStarts(t, b.starts(), 1)
	})
}

// Load: a burst of background work, with urgent work arriving behind it.
func TestUrgentWorkGoesFirst(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	b.add("a", "night", oneCore(20))
	assertStarts(t, b.starts(), 8)
	b.add("b", "urgent", oneCore(2))
	for task := range 2 {
		id := submitter.TaskID{Submission: "a", Index: task}
		b.lists["r0"] = b.lists["r0"][1:]
		b.look("r0", End{Task: id, Run: 1, How: Done})
	}
	b.pass(100 * time.Millisecond)
	b.look("r0")
	for _, o := range b.starts() {
		if o.Task.Submission != "b" {
			t.Errorf("started %s before the urgent submission", o.Task)
		}
	}
}

// Load: more work than can be done in time. Work that can still earn goes
// before work whose time has passed, which is not given up either.
func TestWorkInTimeGoesBeforeWorthlessWork(t *testing.T) {
	b := newBench(t, 0, 1)
	b.add("old", "urgent", oneCore(4))
	b.pass(20 * time.Second)
	b.add("new", "urgent", oneCore(6))
	b.lookAll(1)
	counts := map[string]int{}
	for _, o := range b.starts() {
		counts[o.Task.Submission]++
	}
	if counts["new"] != 6 || counts["old"] != 2 {
		t.Errorf("started %v", counts)
	}
}

func TestStepsWaitForTheirPredecessors(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	second := oneCore(2)
	second.After = []int{0}
	b.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(2), second}, AcceptedAt: b.now}, nil, b.now)
	assertStarts(t, b.starts(), 2)
	first := submitter.TaskID{Submission: "a"}
	b.lists["r0"] = b.lists["r0"][1:]
	b.look("r0", End{Task: first, Run: 1, How: Done})
	assertStarts(t, b.starts(), 0)
	b.lists["r0"] = nil
	b.look("r0", End{Task: submitter.TaskID{Submission: "a", Index: 1}, Run: 1, How: Done})
	assertStarts(t, b.starts(), 2)
}

func TestMostPerRunner(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	step := oneCore(6)
	step.MaxPerRunner = 2
	b.add("a", "urgent", step)
	assertStarts(t, b.starts(), 4)
}

func TestRequiredLabel(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	step := oneCore(1)
	step.RequiredLabel = "fast"
	b.add("a", "urgent", step)
	assertStarts(t, b.starts(), 0)
}

func TestNoStartsWhereNoneMayBe(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(b *bench)
	}{
		{"evacuated data centre", func(b *bench) { b.table.SetEvacuated(map[string]bool{"z": true}) }},
		{"draining runner", func(b *bench) {
			info, _ := b.table.Runner("r0")
			info.Draining = true
			b.table.SetRunners([]RunnerInfo{info}, b.now)
		}},
		{"runner that left the registry", func(b *bench) { b.table.SetRunners(nil, b.now) }},
		{"silent runner", func(b *bench) { b.pass(staleAfter + time.Second) }},
		{"queue of another service", func(b *bench) { b.table.SetQueues([]Queue{{Name: "urgent", Service: "other"}}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 0, 1)
			b.lookAll(1)
			test.change(b)
			b.add("a", "urgent", oneCore(1))
			assertStarts(t, b.starts(), 0)
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newBench(t, 0, 4)
	b.lookAll(4)
	b.add("a", "urgent", oneCore(1))
	for attempt := range 2 {
		orders := b.starts()
		assertStarts(t, orders, 1)
		b.lists[orders[0].Runner] = nil
		b.look(orders[0].Runner, End{Task: orders[0].Task, Run: orders[0].Run, How: Failure})
		if state := b.table.subs["a"].state; (state == submitter.Failed) != (attempt == 1) {
			t.Fatalf("state %s after %d failures", state, attempt+1)
		}
	}
	assertStarts(t, b.starts(), 0)
	t.Run("failures noted before are not counted twice", func(t *testing.T) {
		b := newBench(t, 1, 1)
		sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}}
		b.table.Add(sub, &submitter.Progress{Steps: []submitter.StepProgress{{Failures: map[int][]int64{0: {1}}}}}, b.now)
		b.look("r0", End{Task: submitter.TaskID{Submission: "a"}, Run: 1, How: Failure})
		if state := b.table.subs["a"].state; state == submitter.Failed {
			t.Error("one failure counted twice")
		}
	})
}

// Load: a runner on which everything fails within moments would draw all work
// to itself.
func TestRunnerThatFailsAllIsSuspended(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	for n := range 2 {
		b.add(fmt.Sprint("bad", n), "urgent", oneCore(1))
	}
	for _, o := range b.starts() {
		b.lists[o.Runner] = nil
		x := b.table.find(o)
		b.table.end(x, b.now, "test")
		b.table.strike(b.table.runners["r0"], o.Task.Submission, b.now)
	}
	b.add("good", "urgent", oneCore(8))
	for _, o := range b.starts() {
		if o.Runner == "r0" {
			t.Errorf("%s started on the suspended runner", o.Task)
		}
	}
}

func TestUnansweredStart(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(1))
	b.table.recheck = true
	b.table.Schedule(b.now)
	orders := b.table.Orders()
	assertStarts(t, orders, 1)
	b.table.Started(orders[0], Unanswered, 0, b.now)
	stops := b.table.Orders()
	if len(stops) != 1 || stops[0].Kind != Stop {
		t.Fatalf("orders %+v, want a stop", stops)
	}
	b.look(orders[0].Runner) // the late start is not listed yet
	b.pass(time.Second)
	b.look(orders[0].Runner)
	assertStarts(t, b.starts(), 0)

	t.Run("settled by a stop", func(t *testing.T) {
		b.table.Stopped(stops[0], Succeeded, b.now)
		b.pass(700 * time.Millisecond)
		b.lookAll(2)
		b.pass(10 * time.Millisecond)
		assertStarts(t, b.starts(), 1)
	})
}

func TestUnansweredStartAtARestartedRunner(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(1))
	b.table.recheck = true
	b.table.Schedule(b.now)
	orders := b.table.Orders()
	b.table.Started(orders[0], Unanswered, 0, b.now)
	b.table.Orders()
	info, _ := b.table.Runner(orders[0].Runner)
	info.Lifetime = 2
	b.table.SetRunners([]RunnerInfo{info}, b.now)
	assertStarts(t, b.starts(), 0)
}

func TestRestartedRunnerFreesItsTasks(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(1))
	orders := b.starts()
	infos := []RunnerInfo{}
	for i := range 2 {
		info, _ := b.table.Runner(fmt.Sprint("r", i))
		if info.ID == orders[0].Runner {
			info.Lifetime = 2
		}
		infos = append(infos, info)
	}
	b.table.SetRunners(infos, b.now)
	assertStarts(t, b.starts(), 1)
}

// Load: a task that hangs on a runner whose other answers are good.
func TestSpeculativeTaskGetsACopy(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	step := oneCore(1)
	step.Speculative = true
	b.add("a", "urgent", step)
	orders := b.starts()
	assertStarts(t, orders, 1)
	for range 3 {
		b.lookAll(2)
		b.pass(500 * time.Millisecond)
	}
	copies := b.carry(b.table.Orders())
	assertStarts(t, copies, 1)
	b.lists[copies[0].Runner] = nil
	b.look(copies[0].Runner, End{Task: copies[0].Task, Run: copies[0].Run, How: Done})
	if state := b.table.subs["a"].state; state != submitter.Complete {
		t.Errorf("state %s after the copy is done", state)
	}
}

func TestGangStartsTogether(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	gang := oneCore(6)
	gang.Gang = true
	b.add("filler", "urgent", oneCore(4))
	assertStarts(t, b.starts(), 4)
	b.add("a", "urgent", gang)
	assertStarts(t, b.starts(), 0)
	for i := range 4 {
		b.lists["r0"] = b.lists["r0"][1:]
		b.look("r0", End{Task: submitter.TaskID{Submission: "filler", Index: i}, Run: 1, How: Done})
	}
	b.pass(100 * time.Millisecond)
	b.look("r0")
	orders := b.starts()
	assertStarts(t, orders, 6)
	for _, o := range orders {
		if o.Run != orders[0].Run {
			t.Errorf("members have runs %d and %d", orders[0].Run, o.Run)
		}
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	schedule := &submitter.Schedule{Count: 3, Start: b.now.Add(time.Second), Interval: time.Second}
	b.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, Schedule: schedule}, nil, b.now)
	assertStarts(t, b.starts(), 0)
	for k := range 3 {
		b.pass(time.Second)
		b.look("r0")
		orders := b.starts()
		assertStarts(t, orders, 1)
		if orders[0].Task.Occurrence != k {
			t.Errorf("occurrence %d, want %d", orders[0].Task.Occurrence, k)
		}
	}
}

// Seen on the day "clocks": daemons whose clock is ahead accept submissions
// with a time that the owner's clock has not reached.
func TestSubmissionFromADaemonWhoseClockIsAhead(t *testing.T) {
	b := newBench(t, 0, 1)
	b.lookAll(1)
	sub := &submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, AcceptedAt: b.now.Add(3 * time.Second)}
	b.table.Add(sub, nil, b.now)
	assertStarts(t, b.starts(), 1)
}

// Seen in seed 1 of the soak: looks take a second, and the stop was repeated
// before one that had been sent late enough returned.
func TestStoppedStartIsSettledBesideSlowLooks(t *testing.T) {
	b := newBench(t, 0, 1)
	b.look("r0")
	b.add("a", "urgent", oneCore(1))
	b.table.recheck = true
	b.table.Schedule(b.now)
	orders := b.table.Orders()
	b.table.Started(orders[0], Unanswered, 0, b.now)
	for range 5 {
		sent := b.now
		for range 5 {
			b.pass(200 * time.Millisecond)
			for _, o := range b.table.Orders() {
				switch o.Kind {
				case Stop:
					b.table.Stopped(o, Succeeded, b.now)
				case Start:
					return
				case Pace:
				}
			}
			b.table.Schedule(b.now)
		}
		b.table.LeaseUntil("r0", sent)
		b.table.Report("r0", Report{Lifetime: 1, Clock: b.now.Sub(epoch).Milliseconds() + 1000}, sent, b.now)
	}
	t.Error("the task was never started again")
}

func TestSameRackIsPreferred(t *testing.T) {
	b := newBench(t, 0, 4)
	infos := []RunnerInfo{}
	for i := range 4 {
		info, _ := b.table.Runner(fmt.Sprint("r", i))
		info.Rack = fmt.Sprint("rack", i%2)
		infos = append(infos, info)
	}
	b.table.SetRunners(infos, b.now)
	b.lookAll(4)
	step := oneCore(12)
	step.SameRack = true
	b.add("a", "urgent", step)
	orders := b.starts()
	assertStarts(t, orders, 12)
	first, _ := b.table.Runner(orders[0].Runner)
	for _, o := range orders {
		if info, _ := b.table.Runner(o.Runner); info.Rack != first.Rack {
			t.Errorf("%s started on %s, the others on %s", o.Task, info.Rack, first.Rack)
		}
	}
}

func TestLoadCountsWhatRunsAndWhatWaits(t *testing.T) {
	b := newBench(t, 0, 2)
	b.lookAll(2)
	b.add("a", "urgent", oneCore(20))
	assertStarts(t, b.starts(), 16)
	b.add("b", "night", filling("batch", 3))
	if got, want := b.table.Load(), (partitioner.Load{Capacity: 16_000, Reserved: 20_000, Filling: 3000}); got != want {
		t.Errorf("load %+v, want %+v", got, want)
	}
	t.Run("evacuated runners don't count", func(t *testing.T) {
		b.table.SetEvacuated(map[string]bool{"z": true})
		if got := b.table.Load(); got.Capacity != 0 {
			t.Errorf("load %+v", got)
		}
	})
}
