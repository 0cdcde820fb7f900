package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// finalRetention is how long the owner keeps ended submissions in memory and
// their records in the store after their end.
const finalRetention = 150 * time.Second

// A submission is accepted work in the table.
type submission struct {
	sub   *submitter.Submission
	queue Queue
	// state is the state of the submission; shown is what is durable of it.
	state, shown submitter.State
	began        bool
	cancelled    bool
	occs         []*occurrence
	opened       int // occurrences whose steps have been set up
	left         int // occurrences not done yet
	objective    time.Duration
	addedAt      time.Time

	// version counts changes of the progress, saved is the durable version.
	version, saved int64
	isDirty        bool
}

// An occurrence is one round of a submission's steps.
type occurrence struct {
	index int
	dueAt time.Time
	steps []*stepState
	left  int // steps not done yet
}

// A stepState is one step of one occurrence.
type stepState struct {
	s      *submission
	occ    *occurrence
	index  int
	spec   *submitter.Step
	tasks  []task
	left   int // tasks not done yet
	wait   int // tasks without a run
	ready  bool
	byHost map[string]int // runs by runner, for steps with a cap
	// blockedAt is when the step last found no room.
	blockedAt time.Time
	// permits are those given by runner; asking says that a question is under
	// way, and askAfter when the next one may be asked.
	permits  map[string]permit
	asking   bool
	askAfter time.Time
	// peak is the highest recent load of a step that serves.
	peak     float64
	lastLoad float64
	peakAt   time.Time
}

// A task is one unit of work.
type task struct {
	done       bool
	nextRun    int64
	failures   []int64
	checkpoint string
	runs       []*run
	avoid      string // the runner on which it failed last
	endedAt    time.Time
}

// A phase is how far a run has come.
type phase int

const (
	starting phase = iota // ordered, not confirmed
	running               // confirmed by the runner
	stopping              // a stop has been ordered
)

// A run is one start of a task on a runner.
type run struct {
	st        *stepState
	index     int
	number    int64
	runner    *runner
	phase     phase
	startedAt time.Time
	confirmed time.Time
	percent   int
	movedAt   time.Time // when percent last changed
	measure   float64
	hasRow    bool
	// share is the share of a service's capacity that its tail says is taken.
	share    float64
	pressure float64 // expected of what fills beside it
	sharedAt time.Time
	pace     int
	// overSince is when a serving task's tail was first seen over its target.
	overSince time.Time
	// orderedAt is when a stop was ordered last, stoppedAt when one was carried
	// out first.
	orderedAt time.Time
	stoppedAt time.Time
	// known says that the run was confirmed, or that a stop was carried out:
	// from then on the runner's list tells whether it runs.
	known bool
}

func (x *run) task() *task { return &x.st.tasks[x.index] }

func (x *run) id() submitter.TaskID { return x.st.taskID(x.index) }

func (st *stepState) taskID(index int) submitter.TaskID {
	return submitter.TaskID{Submission: st.s.sub.ID, Occurrence: st.occ.index, Step: st.index, Index: index}
}

// Add takes a submission into the table with what is durable of its run, unless
// it is known.
func (t *Table) Add(sub *submitter.Submission, progress *submitter.Progress, now time.Time) {
	if _, ok := t.subs[sub.ID]; ok || sub.Owner > t.fence {
		return // known, or handed to a successor of this owner
	}
	s := &submission{sub: sub, state: submitter.Queued, shown: submitter.Queued, left: sub.Occurrences(), addedAt: now}
	s.queue = t.queues[sub.Queue]
	s.objective = objective(s)
	t.subs[sub.ID] = s
	if progress != nil {
		t.restore(s, progress, now)
	}
	if !s.state.IsFinal() {
		t.active = append(t.active, s)
		t.open(s, now)
		t.claimEnds(s, now)
		t.settle(s, now)
	}
	t.recheck = true
}

// unfinished returns the submissions that have not ended.
func (t *Table) unfinished() []*submission {
	t.active = slices.DeleteFunc(t.active, func(s *submission) bool { return s.state.IsFinal() })
	return t.active
}

// objective estimates the time within which a submission earns in full.
func objective(s *submission) time.Duration {
	chain := make([]time.Duration, len(s.sub.Steps))
	var longest time.Duration
	for i := range s.sub.Steps {
		for _, earlier := range s.sub.Steps[i].After {
			chain[i] = max(chain[i], chain[earlier])
		}
		chain[i] += s.sub.Steps[i].Estimate
		longest = max(longest, chain[i])
	}
	return time.Duration(float64(longest)*max(1, s.queue.Stretch)) + s.queue.Target
}

// restore applies what an earlier owner has noted.
func (t *Table) restore(s *submission, p *submitter.Progress, now time.Time) {
	if p.State.IsFinal() {
		s.state, s.shown = p.State, p.State
		t.finals = append(t.finals, final{s.sub.ID, now})
		return
	}
	for i := range p.Steps {
		noted := &p.Steps[i]
		if noted.Occurrence >= s.sub.Occurrences() || noted.Step >= len(s.sub.Steps) {
			continue
		}
		for s.opened <= noted.Occurrence {
			t.openNext(s)
		}
		st := s.occs[noted.Occurrence].steps[noted.Step]
		for k := range st.tasks {
			st.tasks[k].failures = noted.Failures[k]
			if noted.IsDone(k) {
				t.markDone(st, k)
			}
		}
		s.began = true
		s.state = submitter.Running
	}
}

// open sets up the occurrences that are due.
func (t *Table) open(s *submission, now time.Time) {
	for s.opened < s.sub.Occurrences() && (s.sub.Schedule == nil || !s.sub.DueAt(s.opened).After(now)) {
		t.openNext(s)
	}
}

func (t *Table) openNext(s *submission) {
	occ := &occurrence{index: s.opened, dueAt: s.sub.DueAt(s.opened), left: len(s.sub.Steps)}
	if s.sub.Schedule == nil && occ.dueAt.After(s.addedAt) {
		occ.dueAt = s.addedAt // the daemon that accepted it has a fast clock
	}
	for i := range s.sub.Steps {
		spec := &s.sub.Steps[i]
		st := &stepState{s: s, occ: occ, index: i, spec: spec, tasks: make([]task, spec.Count), left: spec.Count, wait: spec.Count}
		if spec.MaxPerRunner > 0 {
			st.byHost = make(map[string]int)
		}
		occ.steps = append(occ.steps, st)
	}
	s.occs = append(s.occs, occ)
	s.opened++
	occ.refresh()
}

// refresh marks the steps whose predecessors are done.
func (o *occurrence) refresh() {
	for _, st := range o.steps {
		st.ready = true
		for _, earlier := range st.spec.After {
			if o.steps[earlier].left > 0 {
				st.ready = false
			}
		}
	}
}

// markDone notes that a task is done.
func (t *Table) markDone(st *stepState, index int) {
	k := &st.tasks[index]
	if k.done {
		return
	}
	k.done = true
	if len(k.runs) == 0 {
		st.wait--
	}
	st.left--
	if st.left == 0 {
		st.occ.left--
		if st.occ.left == 0 {
			st.s.left--
		}
		st.occ.refresh()
	}
	t.recheck = true
}

// Cancel takes note of a durable cancellation.
func (t *Table) Cancel(id string, now time.Time) {
	s, ok := t.subs[id]
	if !ok || s.state.IsFinal() {
		return
	}
	s.cancelled = true
	t.finish(s, submitter.Cancelled, now)
}

// finish gives a submission its final state and stops what still runs.
func (t *Table) finish(s *submission, state submitter.State, now time.Time) {
	s.state = state
	if state == submitter.Cancelled {
		s.shown = state // the cancellation itself is durable
	}
	t.record(now, EventFinished, s, "", "state", string(state))
	t.finals = append(t.finals, final{s.sub.ID, now})
	t.touch(s)
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			for i := range st.tasks {
				for _, r := range st.tasks[i].runs {
					t.stop(r, now, "submission "+string(state))
				}
			}
		}
	}
}

// settle gives a submission its final state once all is done.
func (t *Table) settle(s *submission, now time.Time) {
	if s.left == 0 && !s.state.IsFinal() {
		t.finish(s, submitter.Complete, now)
	}
}

// State returns what is durable of a submission's state.
func (t *Table) State(id string) (state submitter.State, known bool) {
	s, ok := t.subs[id]
	if !ok {
		return "", false
	}
	if s.shown.IsFinal() {
		return s.shown, true
	}
	if s.began {
		return submitter.Running, true
	}
	return submitter.Queued, true
}

// Pending counts a queue's submissions that have not begun.
func (t *Table) Pending(queue string) int {
	n := 0
	for _, s := range t.unfinished() {
		if s.sub.Queue == queue && !s.began {
			n++
		}
	}
	return n
}
