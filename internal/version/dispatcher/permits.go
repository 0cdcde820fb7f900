package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Limits of requests for permits.
const (
	// maxPerRequest bounds the runners in one request, because each of them makes
	// the answer take longer.
	maxPerRequest = 30
	// requestedPerTask is the number of runners that a request names for each
	// waiting task. It is more than one because only some of them are permitted.
	requestedPerTask = 3
	// requestRetryAfter is the pause after a request whose answer held no usable
	// permits.
	requestRetryAfter = time.Second
	// permitMargin is subtracted from the validity of a permit, because a start
	// takes time to reach its runner.
	permitMargin = 500 * time.Millisecond
)

// A Permit allows the tasks of one step to run on one runner.
type Permit struct {
	Runner string
	// Ticket is passed to the runner with each start under this permit.
	Ticket string
}

// A PermitRequest asks an external service on which of the given runners a step may
// run.
type PermitRequest struct {
	// Step names the step; its task index is not used.
	Step    submitter.TaskID
	Runners []string
}

// A permit is the state of a Permit that was received for a step. It is valid for one
// incarnation of its runner, until a point in time.
type permit struct {
	ticket   string
	lifetime int64
	until    time.Time
}

// PermitRequests returns the requests for permits that were decided since the last
// call.
func (t *Table) PermitRequests() []PermitRequest {
	requests := t.permitRequests
	t.permitRequests = nil
	return requests
}

// awaitsPermits reports whether a step has to wait for permits because none of its
// permits is valid, and requests new ones if no request is in flight.
func (t *Table) awaitsPermits(st *stepState, now time.Time) bool {
	if !st.s.needsPermits() {
		return false
	}
	for _, p := range st.permits {
		if now.Before(p.until) {
			return false
		}
	}
	if st.requestPending || now.Before(st.requestAfter) {
		return true
	}
	var eligible []*runner
	probe := t.anyWaiting(st, now)
	for _, r := range t.runners {
		if t.isEligible(r, st, probe, now) {
			eligible = append(eligible, r)
		}
	}
	if len(eligible) == 0 {
		return true
	}
	slices.SortFunc(eligible, func(a, b *runner) int {
		return cmp.Or(cmp.Compare(t.score(b, st, now), t.score(a, st, now)), cmp.Compare(a.info.ID, b.info.ID))
	})
	request := PermitRequest{Step: st.taskID(0)}
	for _, r := range eligible[:min(len(eligible), maxPerRequest, requestedPerTask*st.waiting)] {
		request.Runners = append(request.Runners, r.info.ID)
	}
	st.requestPending = true
	t.permitRequests = append(t.permitRequests, request)
	return true
}

// ApplyPermits applies the answer to a request: the permits and how long they are
// valid. If the answer holds no usable permits, another request is made later, for
// the runners that are eligible then.
func (t *Table) ApplyPermits(step submitter.TaskID, permits []Permit, valid time.Duration, now time.Time) {
	s, ok := t.subs[step.Submission]
	if !ok {
		return
	}
	st := t.step(s, step)
	if st == nil {
		return
	}
	st.requestPending = false
	t.placementDue = true
	if len(permits) == 0 || valid <= permitMargin {
		st.requestAfter = now.Add(requestRetryAfter)
		return
	}
	st.permits = make(map[string]permit, len(permits))
	for _, p := range permits {
		if r, ok := t.runners[p.Runner]; ok {
			st.permits[p.Runner] = permit{ticket: p.Ticket, lifetime: r.info.Lifetime, until: now.Add(valid - permitMargin)}
		}
	}
}

// isPermitted reports whether a step needs no permit or has a valid one for a
// runner.
func (st *stepState) isPermitted(r *runner, now time.Time) bool {
	if !st.s.needsPermits() {
		return true
	}
	p, ok := st.permits[r.info.ID]
	return ok && p.lifetime == r.info.Lifetime && now.Before(p.until)
}
