package dispatcher

import (
	"testing"
	"time"
)

// advised returns a bench whose queue needs permits, with a submission of two
// tasks, and the question that was asked.
func advised(t *testing.T) (b *bench, question PermitRequest) {
	t.Helper()
	b = newBench(t, 0, 3)
	b.table.SetQueues([]Queue{{Name: "urgent", Service: "s", MaxAttempts: 2, NeedsPermits: true}})
	b.lookAll(3)
	b.add("a", "urgent", oneCore(2))
	assertStarts(t, b.starts(), 0)
	questions := b.table.PermitRequests()
	if len(questions) != 1 || len(questions[0].Runners) != 3 {
		t.Fatalf("questions %+v, want one about three runners", questions)
	}
	return b, questions[0]
}

func TestStartsNeedPermits(t *testing.T) {
	b, question := advised(t)
	assertStarts(t, b.starts(), 0)
	if again := b.table.PermitRequests(); len(again) > 0 {
		t.Fatalf("asked %+v while a question is under way", again)
	}
	b.table.ApplyPermits(question.Step, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, b.now)
	orders := b.starts()
	assertStarts(t, orders, 2)
	for _, o := range orders {
		if o.Runner != "r1" || o.Ticket != "x" {
			t.Errorf("started on %s with ticket %q", o.Runner, o.Ticket)
		}
	}
}

func TestPermitsLapse(t *testing.T) {
	b, question := advised(t)
	b.table.ApplyPermits(question.Step, []Permit{{Runner: "r1", Ticket: "x"}}, time.Second, b.now)
	b.pass(time.Second)
	b.lookAll(3)
	assertStarts(t, b.starts(), 0)
	if questions := b.table.PermitRequests(); len(questions) != 1 {
		t.Errorf("questions %+v, want another one", questions)
	}
}

func TestRefusedPermitIsAskedForAgain(t *testing.T) {
	b, question := advised(t)
	b.table.ApplyPermits(question.Step, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, b.now)
	b.table.Schedule(b.now)
	for _, o := range b.table.Orders() {
		b.table.Started(o, NotPermitted, 1, b.now)
	}
	b.pass(100 * time.Millisecond)
	assertStarts(t, b.starts(), 0)
	if questions := b.table.PermitRequests(); len(questions) != 1 {
		t.Errorf("questions %+v, want another one", questions)
	}
}

func TestNoPermitIsAskedForLater(t *testing.T) {
	b, question := advised(t)
	b.table.ApplyPermits(question.Step, nil, 0, b.now)
	assertStarts(t, b.starts(), 0)
	if questions := b.table.PermitRequests(); len(questions) > 0 {
		t.Errorf("asked again at once: %+v", questions)
	}
	b.pass(askAgainAfter + 100*time.Millisecond)
	b.lookAll(3)
	b.starts()
	if questions := b.table.PermitRequests(); len(questions) != 1 {
		t.Errorf("questions %+v, want another one", questions)
	}
}
