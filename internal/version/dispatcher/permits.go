package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Figures of asking for permits.
const (
	// askedAtOnce bounds the runners in one question: answers take time for
	// each of them.
	askedAtOnce = 30
	// askedPerTask is the number of runners asked about for each waiting task,
	// as only some are permitted.
	askedPerTask = 3
	// askAgainAfter is the pause after a question that gave no runner.
	askAgainAfter = time.Second
	// permitReserve is kept of a permit's time for the way of a start.
	permitReserve = 500 * time.Millisecond
)

// A Permit lets the tasks of one step run on one runner.
type Permit struct {
	Runner string
	Ticket string
}

// A PermitRequest asks on which runners a step may run.
type PermitRequest struct {
	// Step names the step; its task index is not used.
	Step    submitter.TaskID
	Runners []string
}

// A permit is one that was given, for one lifetime of its runner.
type permit struct {
	ticket   string
	lifetime int64
	until    time.Time
}

// PermitRequests returns the questions for permits since the last call.
func (t *Table) PermitRequests() []PermitRequest {
	questions := t.questions
	t.questions = nil
	return questions
}

// awaitsPermits reports whether a step has to wait for permits, and sees to it
// that they are asked for.
func (t *Table) awaitsPermits(st *stepState, now time.Time) bool {
	if !st.s.queue.NeedsPermits {
		return false
	}
	for _, p := range st.permits {
		if now.Before(p.until) {
			return false
		}
	}
	if st.asking || now.Before(st.askAfter) {
		return true
	}
	var able []*runner
	probe := &task{}
	for _, r := range t.runners {
		if t.isAble(r, st, probe, now) {
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return true
	}
	slices.SortFunc(able, func(a, b *runner) int {
		return cmp.Or(cmp.Compare(t.score(b, st, now), t.score(a, st, now)), cmp.Compare(a.info.ID, b.info.ID))
	})
	question := PermitRequest{Step: st.taskID(0)}
	for _, r := range able[:min(len(able), askedAtOnce, askedPerTask*st.wait)] {
		question.Runners = append(question.Runners, r.info.ID)
	}
	st.asking = true
	t.questions = append(t.questions, question)
	return true
}

// ApplyPermits takes in the answer to a question; without permits the question is
// asked again later, about the runners that are able then.
func (t *Table) ApplyPermits(step submitter.TaskID, permits []Permit, valid time.Duration, now time.Time) {
	s, ok := t.subs[step.Submission]
	if !ok {
		return
	}
	st := t.step(s, step)
	if st == nil {
		return
	}
	st.asking = false
	t.recheck = true
	if len(permits) == 0 || valid <= permitReserve {
		st.askAfter = now.Add(askAgainAfter)
		return
	}
	st.permits = make(map[string]permit, len(permits))
	for _, p := range permits {
		if r, ok := t.runners[p.Runner]; ok {
			st.permits[p.Runner] = permit{ticket: p.Ticket, lifetime: r.info.Lifetime, until: now.Add(valid - permitReserve)}
		}
	}
}

// isPermitted reports whether a step may start on a runner now.
func (st *stepState) isPermitted(r *runner, now time.Time) bool {
	if !st.s.queue.NeedsPermits {
		return true
	}
	p, ok := st.permits[r.info.ID]
	return ok && p.lifetime == r.info.Lifetime && now.Before(p.until)
}
