package dispatcher

import (
	"cmp"
	"maps"
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
	// maxRefusals bounds the doublings of requestedPerTask: requests name twice as many
	// runners after each answer without a permit, until each runner was named once.
	maxRefusals = 4
	// requestRetryAfter is the pause after a request that was not answered in time, and
	// until a runner that was refused is named again.
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

// A permitAnswer is the last answer about one runner to a request of a step.
type permitAnswer struct {
	lifetime  int64 // incarnation of the runner that the answer is about
	isGranted bool
	at        time.Time
}

// awaitsPermits reports whether a step has to wait for permits because none of its
// permits is valid. It requests new ones if no valid permit is for a runner that may get a
// task of the step now.
func (t *Table) awaitsPermits(st *stepState, now time.Time) bool {
	if !st.s.needsPermits() {
		return false
	}
	isValid, isUsable := false, false
	probe := t.anyWaiting(st, now)
	for id := range st.permits {
		if r, ok := t.runners[id]; ok && st.isPermitted(r, now) {
			isValid = true
			isUsable = isUsable || t.isEligible(r, st, probe, now)
		}
	}
	if !isUsable {
		t.requestPermits(st, now)
	}
	return !isValid
}

// requestPermits requests permits for a step on runners that may get one of its tasks now
// and for which it has none, unless a request is in flight.
//
// Load: steps that only few runners may run, which lose these runners. A request that
// names the same runners each time would never find others.
func (t *Table) requestPermits(st *stepState, now time.Time) {
	if st.requestPending || now.Before(st.requestAfter) {
		return
	}
	var eligible []*runner
	probe := t.anyWaiting(st, now)
	for _, r := range t.runners {
		if !st.isPermitted(r, now) && now.Sub(st.refusedAt(r)) >= requestRetryAfter && t.isEligible(r, st, probe, now) {
			eligible = append(eligible, r)
		}
	}
	if len(eligible) == 0 {
		return
	}
	slices.SortFunc(eligible, func(a, b *runner) int {
		return cmp.Or(
			cmp.Compare(st.permitRank(a), st.permitRank(b)),
			st.refusedAt(a).Compare(st.refusedAt(b)),
			cmp.Compare(t.score(b, st, now), t.score(a, st, now)),
			cmp.Compare(a.info.ID, b.info.ID),
		)
	})
	most := requestedPerTask * st.waiting
	if st.permitRank(eligible[0]) != rankRefused {
		most <<= min(st.refusals, maxRefusals)
	}
	request := PermitRequest{Step: st.taskID(0)}
	for _, r := range eligible[:min(len(eligible), maxPerRequest, most)] {
		request.Runners = append(request.Runners, r.info.ID)
	}
	st.requestPending = true
	t.permitRequests = append(t.permitRequests, request)
}

// Ranks of runners in requests for permits, from the first to the last to be named.
const (
	rankGranted = iota // a permit has expired
	rankUnasked
	rankRefused
)

// permitRank ranks a runner in a request of a step.
func (st *stepState) permitRank(r *runner) int {
	switch answer, ok := st.answers[r.info.ID]; {
	case !ok || answer.lifetime != r.info.Lifetime:
		return rankUnasked
	case answer.isGranted:
		return rankGranted
	default:
		return rankRefused
	}
}

// isRefused reports whether a step needs a permit for a runner and was refused it.
func (st *stepState) isRefused(r *runner) bool {
	return st.s.needsPermits() && st.permitRank(r) == rankRefused
}

// refusedAt returns when a permit for a runner was last refused, or zero if the last
// answer was not a refusal.
func (st *stepState) refusedAt(r *runner) (at time.Time) {
	if st.permitRank(r) == rankRefused {
		at = st.answers[r.info.ID].at
	}
	return at
}

// ApplyPermits applies the answer to a request: the permits and how long they are
// valid. The runners for which it holds none are named again after all others.
func (t *Table) ApplyPermits(request PermitRequest, permits []Permit, valid time.Duration, now time.Time) {
	st := t.endRequest(request, now)
	if st == nil {
		return
	}
	if st.answers == nil {
		st.answers, st.permits = make(map[string]permitAnswer), make(map[string]permit)
	}
	for _, id := range request.Runners {
		if r, ok := t.runners[id]; ok {
			st.answers[id] = permitAnswer{lifetime: r.info.Lifetime, at: now}
		}
	}
	for _, p := range permits {
		r, ok := t.runners[p.Runner]
		if !ok {
			continue
		}
		st.answers[p.Runner] = permitAnswer{lifetime: r.info.Lifetime, isGranted: true, at: now}
		if valid > permitMargin {
			st.permits[p.Runner] = permit{ticket: p.Ticket, lifetime: r.info.Lifetime, until: now.Add(valid - permitMargin)}
		}
	}
	st.refusals++
	if len(permits) > 0 {
		st.refusals = 0
	}
	if valid <= permitMargin {
		st.requestAfter = now.Add(requestRetryAfter)
	}
}

// PermitsFailed records that a request for permits was not answered.
func (t *Table) PermitsFailed(request PermitRequest, now time.Time) {
	if st := t.endRequest(request, now); st != nil {
		st.requestAfter = now.Add(requestRetryAfter)
	}
}

// endRequest ends a request for permits and returns its step, or nil if the step is not in
// the table any more.
func (t *Table) endRequest(request PermitRequest, now time.Time) *stepState {
	s, ok := t.subs[request.Step.Submission]
	if !ok {
		return nil
	}
	st := t.step(s, request.Step)
	if st == nil {
		return nil
	}
	st.requestPending = false
	t.placementDue = true
	maps.DeleteFunc(st.permits, func(_ string, p permit) bool { return !now.Before(p.until) })
	return st
}

// refusePermit records that a runner does not accept the permit of a step. A new permit
// may be requested at once, and is if there are no other runners to ask for.
func (st *stepState) refusePermit(r *runner) {
	if st.answers != nil {
		st.answers[r.info.ID] = permitAnswer{lifetime: r.info.Lifetime}
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
