package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A formerCalls is an owner with two runners that have been running for an hour, to each of
// which a poll with a lease end and an acknowledgement is on its way, and that are restarted
// then.
type formerCalls struct {
	*harness
	runners map[string]*simRunner
	late    map[string]hold
	silent  string // the runner that orders don't reach, or empty
}

// newFormerCalls returns a play whose polls on their way acknowledge some ends.
func newFormerCalls(t *testing.T, ends int) *formerCalls {
	f := &formerCalls{harness: newHarness(t, 0, 2), runners: make(map[string]*simRunner), late: make(map[string]hold)}
	for i := range 2 {
		r := &simRunner{id: fmt.Sprintf("r%d", i), stoppedBy: make(map[runKey]int64)}
		r.reset(f.now)
		f.runners[r.id] = r
	}
	f.advance(time.Hour)
	f.pollSims("r0", "r1")
	for id, r := range f.runners {
		late, _ := newHold(f.table, id, f.now)
		late.acked = int64(ends)
		f.late[id] = late
		r.reset(f.now)
		f.lifetimes[id] = r.lifetime
		f.register(id)
	}
	f.pollSims("r0", "r1")
	f.pollSims("r0", "r1")
	return f
}

// pollSims polls runners.
func (f *formerCalls) pollSims(ids ...string) {
	for _, id := range ids {
		sent := f.now
		poll, _ := newHold(f.table, id, f.now)
		rep, ok := f.runners[id].hold(poll, f.now)
		if !ok {
			f.t.Fatalf("%s refuses a poll of the owner", id)
		}
		f.now = f.now.Add(time.Millisecond)
		f.table.Report(id, rep, sent, f.now)
	}
}

// begin carries out the orders of the table, and returns the starts that were carried out.
func (f *formerCalls) begin() (starts []Order) {
	f.table.placementDue = true
	f.table.Schedule(f.now)
	for _, o := range f.table.Orders() {
		o, ok := f.table.Confirm(o, f.now)
		if !ok {
			continue
		}
		r, outcome := f.runners[o.Runner], Unanswered
		if r.id != f.silent {
			outcome = r.carryOut(o, f.now)
		}
		switch o.Kind {
		case Start:
			f.table.ApplyStart(o, outcome, r.lifetime, f.now)
			starts = append(starts, o)
		case Stop:
			f.table.ApplyStop(o, outcome, f.now)
		case Pace:
		}
	}
	return starts
}

// pass lets time pass in which some runners answer, and checks that no task starts twice.
func (f *formerCalls) pass(span time.Duration, answering ...string) {
	f.t.Helper()
	const step = 100 * time.Millisecond
	for range span / step {
		f.advance(step)
		for _, r := range f.runners {
			r.lapse(f.now)
		}
		f.pollSims(answering...)
		f.begin()
		if len(f.runners["r0"].running) > 0 && len(f.runners["r1"].running) > 0 {
			f.t.Fatalf("a task runs on both runners at %s", f.now.Sub(epoch))
		}
	}
}

// startTask submits a submission of one task, and returns where it starts and which is the
// other runner.
func (f *formerCalls) startTask(step submitter.Step) (on, other string, start Order) {
	f.t.Helper()
	f.add("a", "urgent", step)
	orders := f.begin()
	assertStarts(f.t, orders, 1)
	if on = orders[0].Runner; on == "r0" {
		return on, "r1", orders[0]
	}
	return on, "r0", orders[0]
}

// Guards against a task that runs twice: a renewal for the former incarnation of a runner named a
// lease end hours ahead on the clock of the next one, whose lease lasted longer than the owner
// knew.
func TestRenewalForAFormerIncarnation(t *testing.T) {
	f := newFormerCalls(t, 0)
	on, other, _ := f.startTask(lasting(1, 1000))
	f.pass(3*time.Second, "r0", "r1")
	f.runners[on].hold(f.late[on], f.now)
	f.silent = on
	f.pass(10*time.Second, other)
	if len(f.runners[other].running) != 1 {
		t.Error("the task does not run after its lease has ended")
	}
}

// Guards against a task that starts again although it is done: an acknowledgement for the former
// incarnation of a runner dropped an end of the next one.
func TestAcknowledgementForAFormerIncarnation(t *testing.T) {
	f := newFormerCalls(t, 3)
	on, _, start := f.startTask(oneCore(1))
	f.pass(time.Second, "r0", "r1")
	f.runners[on].end(runKey{start.Task, start.Run}, Done)
	f.runners[on].hold(f.late[on], f.now)
	f.pollSims("r0", "r1")
	assertStarts(t, f.begin(), 0)
}

// Guards against a task that runs twice: a start for the former incarnation of a runner, whose
// deadline had passed there, was carried out by the next one, which did not answer.
func TestStartForAFormerIncarnation(t *testing.T) {
	const longestDelay = 12 * time.Second // of a call
	f := newFormerCalls(t, 0)
	f.advance(time.Hour)
	f.pollSims("r0", "r1")
	f.add("a", "urgent", lasting(1, 1000))
	f.table.Schedule(f.now)
	late, ok := f.table.Confirm(f.table.Orders()[0], f.now)
	if !ok {
		t.Fatal("the start is not sent")
	}
	r, other := f.runners[late.Runner], "r0"
	if r.id == other {
		other = "r1"
	}
	f.table.ApplyStart(late, Unanswered, 0, f.now)
	f.silent = r.id
	r.reset(f.now)
	f.lifetimes[r.id] = r.lifetime
	f.register(r.id)
	f.pass(longestDelay-200*time.Millisecond, other)
	if outcome := r.carryOut(late, f.now); outcome != Succeeded {
		t.Fatalf("the start is %s, want carried", outcome)
	}
	f.pass(10*time.Second, other)
}

// sendStart confirms the one start of the table, and returns it with its runner and the other one.
func (f *formerCalls) sendStart() (start Order, on *simRunner, other string) {
	f.t.Helper()
	f.table.placementDue = true
	f.table.Schedule(f.now)
	orders := f.table.Orders()
	assertStarts(f.t, orders, 1)
	start, ok := f.table.Confirm(orders[0], f.now)
	if !ok {
		f.t.Fatal("the start is not sent")
	}
	if other = "r0"; start.Runner == other {
		other = "r1"
	}
	return start, f.runners[start.Runner], other
}

// restartSim restarts a runner, of which the owner does not learn.
func (f *formerCalls) restartSim(r *simRunner) {
	r.reset(f.now)
	f.lifetimes[r.id] = r.lifetime
}

// Guards against a wait for a start that can't begin any more: the next incarnation refused it, and
// its task still waited for the longest time of a call.
func TestStartThatANextIncarnationHasRefusedIsOver(t *testing.T) {
	f := newFormerCalls(t, 0)
	f.add("a", "urgent", lasting(1, 1000))
	start, r, _ := f.sendStart()
	f.restartSim(r)
	f.register(r.id)
	f.pollSims(r.id)
	if outcome := r.carryOut(start, f.now); outcome != Fenced || !f.table.IsSuperseded(r.id, start.Token) {
		t.Fatalf("the start is %s, want fenced by this owner", outcome)
	}
	f.table.ApplyStart(start, OtherLifetime, r.lifetime, f.now)
	f.advance(time.Second)
	f.pollSims("r0", "r1")
	assertStarts(t, f.begin(), 1)
}

// Guards against a task that runs twice: a start of a former owner was carried out by a restarted
// runner that its successor did not reach.
func TestSuccessorWaitsForLateStartsAtARestartedRunner(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprintf("lapses reported %t", reported), func(t *testing.T) {
			f := newFormerCalls(t, 0)
			f.advance(time.Hour)
			f.pollSims("r0", "r1")
			f.add("a", "urgent", lasting(1, 1000))
			late, r, other := f.sendStart()
			f.table.ApplyStart(late, Unanswered, 0, f.now)
			former, infos := f.table, f.table.Roster(nil, f.now)
			f.table = New(testLimits, testFence+500, 1, former.rec, f.now)
			f.table.AllowTokens(testFence + 1000)
			f.configure(nil, testQueues...)
			f.table.ExpectRunners(infos)
			f.table.MarkSettled(former.Settled(f.now), f.now)
			if reported {
				f.table.ExpectLapses(former.Lapses(f.now))
			}
			f.silent = r.id
			f.restartSim(r)
			f.table.SetRunners(infos, f.now)
			f.register(r.id)
			f.add("a", "urgent", lasting(1, 1000))
			f.pass(maxCallDelay-time.Second, other)
			if outcome := r.carryOut(late, f.now); outcome != Succeeded {
				t.Fatalf("the start is %s, want carried", outcome)
			}
			f.pass(2*testLimits.MaxLease, other)
			if len(f.runners[other].running) != 1 {
				t.Error("the task does not run after its lease has ended")
			}
		})
	}
}

// Guards against an end that the owner drops unseen: the polls of a runner repeated an
// acknowledgement, so that the first one after a restart carried it to the next incarnation.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	newAcked := func(t *testing.T) (f *formerCalls, r *simRunner) {
		t.Helper()
		f = newFormerCalls(t, 0)
		on, _, start := f.startTask(oneCore(1))
		r = f.runners[on]
		f.pollSims(on)
		r.end(runKey{start.Task, start.Run}, Done)
		f.pollSims(on)
		f.table.Saved(f.table.Unsaved(10))
		return f, r
	}
	assertAcked := func(t *testing.T, f *formerCalls, r *simRunner, want int64) {
		t.Helper()
		if acked := f.table.Acknowledgeable(r.id, f.now); acked != want {
			t.Errorf("acknowledged up to %d, want %d", acked, want)
		}
	}
	t.Run("while a later end is not durable", func(t *testing.T) {
		f, r := newAcked(t)
		assertAcked(t, f, r, 1)
		f.pollSims(r.id)
		r.running[runKey{submitter.TaskID{Submission: "unknown"}, 1}] = true
		r.end(runKey{submitter.TaskID{Submission: "unknown"}, 1}, Done)
		f.pollSims(r.id)
		assertAcked(t, f, r, 0)
	})
	t.Run("to a runner that is silent", func(t *testing.T) {
		f, r := newAcked(t)
		f.table.PollFailed(r.id, f.now)
		assertAcked(t, f, r, 0)
		f.pollSims(r.id)
		assertAcked(t, f, r, 1)
	})
}

// Guards against a restart that never was: a host's time had jumped back, and the registry still
// showed an incarnation before the former one.
func TestEntryOfAnEarlierIncarnationIsNoRestart(t *testing.T) {
	f := newFormerCalls(t, 0)
	r := f.runners["r0"]
	for _, lifetime := range []int64{1000, 900, 950} {
		f.restartSim(r)
		r.lifetime = lifetime
		f.pollSims("r0", "r1")
		f.pollSims("r0", "r1")
	}
	f.lifetimes["r0"] = 1000
	f.register("r0")
	if info, _ := f.table.Runner("r0"); info.Lifetime != 950 {
		t.Errorf("incarnation %d, want 950", info.Lifetime)
	}
}

// Guards against a wait for the store: a new owner could not call a runner that was restarted
// before it was elected.
func TestRunnerThatWasNeverCalledNeedsNoOtherToken(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.table.maxToken = testFence
	h.restart("r0")
	if token, ok := h.table.Token("r0"); token != testFence || !ok {
		t.Errorf("token %d (known: %t), want %d", token, ok, testFence)
	}
}

// Guards against a task that runs twice: answers to orders name no incarnation, so that a start which
// the next one had answered counted for the former one, and lapsed on its clock.
func TestAnswerToAnOrderShowsARestart(t *testing.T) {
	newAnswered := func(t *testing.T, isRestarted bool) (f *formerCalls, r *simRunner, other string) {
		t.Helper()
		f = newFormerCalls(t, 0)
		f.advance(time.Minute)
		f.pollSims("r0", "r1")
		f.add("a", "urgent", lasting(1, 1000))
		start, r, other := f.sendStart()
		if isRestarted {
			f.restartSim(r)
			f.now = f.now.Add(time.Second)
		}
		f.table.ObserveClock(start, 0, r.clock(f.now), f.now)
		if outcome := r.carryOut(start, f.now); outcome != Succeeded {
			t.Fatalf("the start is %s, want carried", outcome)
		}
		f.table.ApplyStart(start, Succeeded, 0, f.now)
		return f, r, other
	}
	t.Run("of a runner that falls silent", func(t *testing.T) {
		f, r, other := newAnswered(t, true)
		if until := f.table.LeaseUntil(r.id, f.now); until != 0 {
			t.Errorf("a lease end of %d is sent, want none", until)
		}
		r.hold(f.late[r.id], f.now) // renews its lease
		f.silent = r.id
		f.pass(10*time.Second, other)
	})
	t.Run("and the run goes on there", func(t *testing.T) {
		f, r, _ := newAnswered(t, true)
		f.pass(10*time.Second, "r0", "r1")
		if len(r.running) != 1 {
			t.Error("the run has ended")
		}
	})
	t.Run("only if the clock is behind", func(t *testing.T) {
		f, r, _ := newAnswered(t, false)
		if f.table.runners[r.id].isDoubted {
			t.Error("the incarnation is in doubt, want it not to be")
		}
	})
}

// leaveStartUnanswered starts a long-running task on a runner that has been silent since, and leaves
// no room for it on the other one.
func (f *formerCalls) leaveStartUnanswered() (late Order, r *simRunner, other string) {
	f.t.Helper()
	f.add("a", "urgent", lasting(1, 1000))
	late, r, other = f.sendStart()
	f.table.ApplyStart(late, Unanswered, 0, f.now)
	f.silent = r.id
	f.table.runners[other].info.Capacity = submitter.Resources{}
	return late, r, other
}

// Guards against a task that runs twice: its run had lapsed on the clock of the former incarnation
// of a runner, and the next one, of which the owner had learnt since, had begun it.
func TestLapsedStartMayHaveBegunOnANextIncarnation(t *testing.T) {
	f := newFormerCalls(t, 0)
	late, r, other := f.leaveStartUnanswered()
	f.pass(8*time.Second, other)
	if n := len(f.table.runners[r.id].runs); n != 0 {
		t.Fatalf("%d runs are known on the silent runner, want it to have lapsed", n)
	}
	f.restartSim(r)
	r.running[runKey{late.Task, late.Run}] = true // begun late
	r.leaseEnd = r.clock(f.now) + testLimits.MaxLease.Milliseconds()
	f.register(r.id)
	f.table.runners[other].info.Capacity = testCapacity
	f.pass(2*time.Second, other)
	f.silent = ""
	f.pass(time.Second, "r0", "r1")
	f.pass(10*time.Second, "r0", "r1")
	if len(f.runners[other].running)+len(r.running) != 1 {
		t.Error("the task does not run")
	}
}
