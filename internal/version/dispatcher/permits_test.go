package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newPermitHarness returns a harness whose queue needs permits, with a submission of
// two tasks, and the request for permits that the submission caused.
func newPermitHarness(t *testing.T) (h *harness, request PermitRequest) {
	t.Helper()
	h = newHarness(t, 0, 3)
	h.configure(nil, submitter.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, NeedsPermits: true})
	h.pollAll(3)
	h.add("a", "urgent", oneCore(2))
	assertStarts(t, h.starts(), 0)
	requests := h.table.PermitRequests()
	if len(requests) != 1 || len(requests[0].Runners) != 3 {
		t.Fatalf("requests %+v, want one for three runners", requests)
	}
	return h, requests[0]
}

func TestStartsNeedPermits(t *testing.T) {
	h, request := newPermitHarness(t)
	assertStarts(t, h.starts(), 0)
	if repeated := h.table.PermitRequests(); len(repeated) > 0 {
		t.Fatalf("requested %+v while a request is in flight", repeated)
	}
	h.table.ApplyPermits(request.Step, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, h.now)
	orders := h.starts()
	assertStarts(t, orders, 2)
	for _, o := range orders {
		if o.Runner != "r1" || o.Ticket != "x" {
			t.Errorf("started on %s with ticket %q", o.Runner, o.Ticket)
		}
	}
}

func TestPermitsExpire(t *testing.T) {
	h, request := newPermitHarness(t)
	h.table.ApplyPermits(request.Step, []Permit{{Runner: "r1", Ticket: "x"}}, time.Second, h.now)
	h.advance(time.Second)
	h.pollAll(3)
	assertStarts(t, h.starts(), 0)
	if requests := h.table.PermitRequests(); len(requests) != 1 {
		t.Errorf("requests %+v, want another one", requests)
	}
}

func TestRefusedPermitIsRequestedAgain(t *testing.T) {
	h, request := newPermitHarness(t)
	h.table.ApplyPermits(request.Step, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, h.now)
	h.table.Schedule(h.now)
	for _, o := range h.table.Orders() {
		h.table.ApplyStart(o, NotPermitted, 1, h.now)
	}
	h.advance(100 * time.Millisecond)
	assertStarts(t, h.starts(), 0)
	if requests := h.table.PermitRequests(); len(requests) != 1 {
		t.Errorf("requests %+v, want another one", requests)
	}
}

func TestPermitsAreRequestedLaterAfterNone(t *testing.T) {
	h, request := newPermitHarness(t)
	h.table.ApplyPermits(request.Step, nil, 0, h.now)
	assertStarts(t, h.starts(), 0)
	if requests := h.table.PermitRequests(); len(requests) > 0 {
		t.Errorf("requested again at once: %+v", requests)
	}
	h.advance(requestRetryAfter + 100*time.Millisecond)
	h.pollAll(3)
	h.starts()
	if requests := h.table.PermitRequests(); len(requests) != 1 {
		t.Errorf("requests %+v, want another one", requests)
	}
}

// Guards against an interrupted task for which no permit is requested, because the room that
// it needs is kept for it.
func TestPermitsAreRequestedForRoomThatIsOwedToTheTask(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.configure(nil, submitter.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, NeedsPermits: true})
	h.pollAll(1)
	h.add("a", "urgent", lasting(1, 6000))
	permit := func() {
		t.Helper()
		assertStarts(t, h.starts(), 0)
		requests := h.table.PermitRequests()
		if len(requests) != 1 {
			t.Fatalf("requests %+v, want one", requests)
		}
		h.table.ApplyPermits(requests[0].Step, []Permit{{Runner: "r0", Ticket: "x"}}, 2*time.Second, h.now)
	}
	permit()
	first := h.starts()
	assertStarts(t, first, 1)
	for range 3 {
		h.advance(time.Second)
		h.poll("r0")
	}
	h.drop(first[0])
	h.poll("r0", End{Task: first[0].Task, Run: first[0].Run, Kind: Failure})
	h.advance(2 * blockedPause)
	permit()
	assertStarts(t, h.starts(), 1)
}
