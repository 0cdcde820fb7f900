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
	const longestDelay = 12 * time.Second // of a call, by the platform's documents
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
