package dispatcher

import (
	"slices"
	"strings"
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
	h.table.ApplyPermits(request, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, h.now)
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
	h.table.ApplyPermits(request, []Permit{{Runner: "r1", Ticket: "x"}}, time.Second, h.now)
	h.advance(time.Second)
	h.pollAll(3)
	assertStarts(t, h.starts(), 0)
	if requests := h.table.PermitRequests(); len(requests) != 1 {
		t.Errorf("requests %+v, want another one", requests)
	}
}

func TestRefusedPermitIsRequestedAgain(t *testing.T) {
	h, request := newPermitHarness(t)
	h.table.ApplyPermits(request, []Permit{{Runner: "r1", Ticket: "x"}}, 3*time.Second, h.now)
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
	h.table.ApplyPermits(request, nil, 0, h.now)
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
		h.table.ApplyPermits(requests[0], []Permit{{Runner: "r0", Ticket: "x"}}, 2*time.Second, h.now)
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

// newPolicyHarness returns a harness with a long-running task that only some runners may
// run, and calls answer, which answers its requests by that policy.
func newPolicyHarness(t *testing.T, runners int, step submitter.Step, allowed ...string) (h *harness, answer func() (named []string)) {
	t.Helper()
	h = newHarness(t, 0, runners)
	h.configure(nil, submitter.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, NeedsPermits: true})
	h.pollAll(runners)
	h.add("a", "urgent", step)
	return h, func() (named []string) {
		for _, request := range h.table.PermitRequests() {
			var permits []Permit
			for _, id := range request.Runners {
				named = append(named, id)
				if slices.Contains(allowed, id) {
					permits = append(permits, Permit{Runner: id, Ticket: "x"})
				}
			}
			h.table.ApplyPermits(request, permits, 3*time.Second, h.now)
		}
		return named
	}
}

// assertStartsOn answers requests for permits until a number of tasks have started, all of
// them on some runners, and checks that this takes no longer than a time.
func (h *harness) assertStartsOn(runners []string, tasks int, within time.Duration, answer func() []string, polled int) {
	h.t.Helper()
	for began := h.now; h.now.Sub(began) <= within; h.advance(200 * time.Millisecond) {
		h.pollAll(polled)
		for _, o := range h.starts() {
			if !slices.Contains(runners, o.Runner) {
				h.t.Errorf("%s started on %s, want one of %v", o.Task, o.Runner, runners)
			}
			tasks--
		}
		if tasks == 0 {
			return
		}
		answer()
	}
	h.t.Errorf("%d tasks have not started within %s", tasks, within)
}

// Guards against requests for permits that name the same runners again and again, so that a
// task never starts on the one that may run it. (review/3)
func TestRequestsForPermitsReachAllRunners(t *testing.T) {
	t.Run("never started", func(t *testing.T) {
		h, answer := newPolicyHarness(t, 8, lasting(1, 1000), "r7")
		h.assertStartsOn([]string{"r7"}, 1, 4*requestRetryAfter, answer, 8)
	})
	t.Run("among many", func(t *testing.T) {
		h, answer := newPolicyHarness(t, 100, lasting(1, 1000), "r99")
		h.assertStartsOn([]string{"r99"}, 1, 2*time.Second, answer, 100)
	})
	t.Run("after a refusal by all", func(t *testing.T) {
		h, answer := newPolicyHarness(t, 4, lasting(1, 1000))
		var named []string
		for range 12 {
			h.pollAll(4)
			assertStarts(t, h.starts(), 0)
			named = append(named, answer()...)
			h.advance(requestRetryAfter)
		}
		for _, id := range []string{"r0", "r1", "r2", "r3"} {
			if n := strings.Count(strings.Join(named, " "), id); n < 2 {
				t.Errorf("%s was named in %d requests, want it to be named again", id, n)
			}
		}
	})
	t.Run("gang that finds room on few permitted runners", func(t *testing.T) {
		gang := oneCore(4)
		gang.Gang, gang.MilliCores, gang.MaxPerRunner = true, 8000, 1
		allowed := []string{"r0", "r6", "r7", "r8", "r9"}
		h, answer := newPolicyHarness(t, 40, gang, allowed...)
		h.assertStartsOn(allowed, 4, 2*time.Second, answer, 40)
	})
}

// Guards against a step that waits until its permit expires, for a runner that is lost.
func TestPermitsAreRequestedOnceNoPermittedRunnerIsEligible(t *testing.T) {
	h, answer := newPolicyHarness(t, 8, lasting(1, 1000), "r0", "r7")
	h.pollAll(8)
	assertStarts(t, h.starts(), 0)
	answer()
	first := h.starts()
	assertStarts(t, first, 1)
	h.reported[first[0].Runner] = nil
	h.poll(first[0].Runner, End{Task: first[0].Task, Run: first[0].Run, Kind: Failure})
	h.table.runners["r0"].pausedUntil = h.now.Add(time.Hour)
	h.advance(2 * blockedPause)
	h.assertStartsOn([]string{"r7"}, 1, 3*requestRetryAfter, answer, 8)
}

// An adviser that does not answer has refused nothing.
func TestUnansweredRequestForPermitsIsRepeated(t *testing.T) {
	h, request := newPermitHarness(t)
	h.table.PermitsFailed(request, h.now)
	h.advance(requestRetryAfter)
	h.pollAll(3)
	assertStarts(t, h.starts(), 0)
	if requests := h.table.PermitRequests(); len(requests) != 1 || !slices.Equal(requests[0].Runners, request.Runners) {
		t.Errorf("requests %+v, want %+v again", requests, request)
	}
}
