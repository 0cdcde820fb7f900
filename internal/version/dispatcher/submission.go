package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// finalRetention is how long an ended submission is kept in memory and its records
// in the store.
const finalRetention = 150 * time.Second

// A submission is the owner's state of one accepted submission.
type submission struct {
	sub *submitter.Submission
	// queue is not known if neither the configuration nor the submission has it. Until
	// it is, what runs is kept, and nothing is started or failed.
	queue holder.Optional[submitter.Queue]
	// servedBy and hasPermits are what placement asks most often of queue: its service, if
	// isServed says that it is known, and whether an external service decides where its
	// tasks run.
	servedBy             string
	isServed, hasPermits bool
	// state is the current state. durableState becomes final only once that final
	// state is durable.
	state, durableState submitter.State
	hasStarted          bool // a run is known to have begun, under this owner or a former one
	cancelled           bool
	occs                []*occurrence // the occurrences that have been set up and are not done, in their order
	opened              int           // number of occurrences that have been set up
	remaining           int           // occurrences not done yet
	// doneBefore is the number of the occurrence after the last one that is done, and openBytes
	// a bound on the size of the stored progress of occs, without failures and crashes.
	doneBefore, openBytes int
	// objective is the time after an occurrence is due within which it earns its full
	// value.
	objective time.Duration
	addedAt   time.Time

	// version counts the changes of the progress, savedVersion is the newest
	// durable version.
	version, savedVersion int64
	isDirty               bool // Table.dirty contains the submission
	// isMoving says that the submission is being handed to another part, and nothing of it
	// starts here. That may be tried again from moveAfter on.
	isMoving  bool
	moveAfter time.Time
}

// A stepState is the state of one step in one occurrence.
type stepState struct {
	s            *submission
	occ          *occurrence
	index        int
	spec         *submitter.Step
	tasks        []task
	remaining    int            // tasks not done yet
	waiting      int            // tasks not done yet that have no run
	crashed      int            // tasks with crashes
	ready        bool           // all steps that this one depends on are done
	ranBefore    bool           // a former owner has started tasks
	hasBegun     bool           // a run of a long-running step is known to have begun
	runsByRunner map[string]int // number of runs by runner; nil without a limit per runner
	// reservedTasks is the number of tasks for which room is reserved.
	reservedTasks int
	// isHeldFor says that room is held for a long-running task that has never run.
	isHeldFor bool
	// gangCheckpoint is the newest checkpoint of any member of a gang.
	gangCheckpoint string
	// blockedAt is when the step last found no runner with room.
	blockedAt time.Time
	// nextTask is the task with which the next attempt goes on after a placement pass that
	// ended early.
	nextTask int
	// waitingSince is when a step was first seen waiting, or zero if it does not wait;
	// warnedAt is when that was last recorded, and attempts what was tried meanwhile.
	waitingSince time.Time
	warnedAt     time.Time
	attempts     attempts
	// keptRecordedAt is when it was last recorded that room is kept for the step.
	keptRecordedAt time.Time
	// consolidateAfter is when room may be sought again by moving tasks of other steps.
	consolidateAfter time.Time
	// permits holds the received permits by runner. requestPending says that a
	// request for permits is in flight, and the next request may be made from
	// requestAfter on.
	permits map[string]permit
	// answers holds the last answers to requests for permits by runner; refusals is the
	// number of requests in a row that were answered without a permit.
	answers        map[string]permitAnswer
	refusals       int
	requestPending bool
	requestAfter   time.Time
	// peak is the highest recent load of a serving step, which decays over time.
	// lastLoad is the newest load. Both were updated at peakAt.
	peak     float64
	lastLoad float64
	peakAt   time.Time
}

// A task is one unit of work of a step.
type task struct {
	done     bool
	nextRun  int64 // the lowest number that the next run may have
	failures submitter.Failures
	// crashes holds the losses of runners in a row that the task may have caused, oldest
	// first. The last one was recorded at suspectedSince, in version crashVersion of the
	// submission's progress.
	crashes        []submitter.Crash
	suspectedSince time.Time
	crashVersion   int64
	checkpoint     string
	runs           []*run
	avoid          string    // the runner on which the task last failed or made no progress
	avoidedAt      time.Time // when that was
	endedAt        time.Time // when a run of the task last ended
	// isTracked is true once this owner has started a run of the task, or has taken one
	// over: from then on it knows every run of the task.
	isTracked bool
}

// A phase is a state in the life cycle of a run.
type phase int

const (
	starting phase = iota // start ordered, not confirmed
	running               // confirmed by the runner
	stopping              // stop ordered
)

// A run is one start of a task on a runner.
type run struct {
	st        *stepState
	index     int
	number    int64
	runner    *runner
	phase     phase
	isQueued  bool // the start is decided and not sent yet
	startedAt time.Time
	// idleBefore is how long nothing of the occurrence had run when this run was placed, or
	// zero if something ran.
	idleBefore   time.Duration
	confirmedAt  time.Time
	unansweredAt time.Time // when the start counted as unanswered, or zero
	percent      int       // reported progress; 100 means ready for a long-running task
	progressedAt time.Time // when percent last changed
	measure      float64   // see RunStatus.Measure
	hasStatus    bool      // the runner has reported a status of the run
	// utilisation is the share of a service's capacity in use, inferred from its
	// tail latency.
	utilisation   float64
	pressure      float64 // the share that best-effort tasks on the runner are expected to take
	utilisationAt time.Time
	pace          int // the wanted pace, in percent of full speed
	// confirmedPace is the pace that the runner has confirmed, or unknownPace;
	// isPaceOrdered says that an order is under way.
	confirmedPace int
	isPaceOrdered bool
	slowSince     time.Time // when the pace was first at most slowPace, or zero
	// overSince is when the tail latency of a serving task was first seen above its
	// target, or zero if it is not above.
	overSince time.Time
	// stopOrderedAt is when a stop was last ordered, stoppedAt when the runner
	// first confirmed one.
	stopOrderedAt time.Time
	isStopQueued  bool // the stop is decided and not sent yet
	stoppedAt     time.Time
	// isLocated says that the runner's current incarnation is known to have begun the run: it
	// has answered the start, or has listed the run.
	isLocated bool
	// isCarriedOver says that the runner was restarted after the start was ordered, and
	// that no report of the new process has listed the run.
	isCarriedOver bool
	isTurn        bool // the task was started in its turn, other than in the background
	isSlow        bool // it runs in the background
	// onProbation says that the run may be the cause if its runner is lost; isSuspect
	// that the runner is kept free of others meanwhile.
	onProbation, isSuspect bool
}

func (x *run) task() *task { return &x.st.tasks[x.index] }

func (x *run) id() submitter.TaskID { return x.st.taskID(x.index) }

func (st *stepState) taskID(index int) submitter.TaskID {
	return submitter.TaskID{Submission: st.s.sub.ID, Occurrence: st.occ.index, Step: st.index, Index: index}
}

// noteCheckpoint notes the checkpoint that a runner has reported for a task, or none if it
// is empty.
func (st *stepState) noteCheckpoint(k *task, checkpoint string) {
	if checkpoint != "" && checkpoint != k.checkpoint {
		k.checkpoint, st.gangCheckpoint = checkpoint, checkpoint
	}
}

// checkpoint returns the checkpoint from which a task resumes, or an empty string. All
// members of a gang resume from the same one.
func (st *stepState) checkpoint(k *task) string {
	if st.spec.Gang {
		return st.gangCheckpoint
	}
	return k.checkpoint
}

// Add adds a submission with its durable progress, which is nil if there is none. A
// submission that is already in the table is left as it is, and one that was first
// passed to a successor of this owner is ignored.
func (t *Table) Add(sub *submitter.Submission, progress *submitter.Progress, now time.Time) {
	if _, ok := t.subs[sub.ID]; ok || sub.Owner > t.fence || t.hasLeft(sub) {
		return
	}
	progress = sub.Current(progress)
	s := &submission{sub: sub, state: submitter.Queued, durableState: submitter.Queued, remaining: sub.Occurrences(), addedAt: now}
	t.subs[sub.ID] = s
	if progress != nil {
		t.restore(s, progress, now)
	}
	t.applyQueue(s, now)
	if !s.state.IsFinal() {
		t.active = append(t.active, s)
		t.openDue(s, now)
		t.claimEnds(s, now)
		t.completeIfDone(s, now)
	}
	if _, cancelled := t.earlyCancels[sub.ID]; cancelled {
		delete(t.earlyCancels, sub.ID)
		t.Cancel(sub.ID, now)
	}
	t.placementDue = true
}

// applyQueue sets what follows from a submission's queue: its objective, and whether
// one of its tasks has no attempts left.
func (t *Table) applyQueue(s *submission, now time.Time) {
	s.queue = t.queueOf(s.sub)
	queue, ok := s.queue.Get()
	s.servedBy, s.isServed, s.hasPermits = queue.Service, ok, queue.NeedsPermits
	if !ok || s.state.IsFinal() {
		return
	}
	s.objective = objective(s, queue)
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			for i := range st.tasks {
				t.failIfExhausted(s, &st.tasks[i], now)
			}
		}
	}
}

// failIfExhausted fails a submission if one of its tasks has no attempts left.
func (t *Table) failIfExhausted(s *submission, k *task, now time.Time) {
	queue, ok := s.queue.Get()
	if ok && !k.done && !s.state.IsFinal() && k.failures.Count() >= max(1, queue.MaxAttempts) {
		t.finish(s, submitter.Failed, now)
	}
}

// service returns the service whose runners take the tasks of a submission, or "" if
// its queue is not known.
func (s *submission) service() string { return s.servedBy }

// isServedBy reports whether a submission's queue is known and its tasks run on the
// runners of a service.
func (s *submission) isServedBy(service string) bool { return s.isServed && s.servedBy == service }

// needsPermits reports whether an external service decides where the tasks of a
// submission run.
func (s *submission) needsPermits() bool { return s.hasPermits }

// unfinished removes ended submissions from the list of active ones and returns it.
func (t *Table) unfinished() []*submission {
	t.active = slices.DeleteFunc(t.active, func(s *submission) bool { return s.state.IsFinal() })
	return t.active
}

// objective estimates the time within which a submission earns its full value: its
// longest chain of steps times the queue's stretch factor, plus the queue's target.
func objective(s *submission, queue submitter.Queue) time.Duration {
	longest := longestChain(s.sub.Steps, func(int) bool { return false })
	return time.Duration(float64(longest)*max(1, queue.Stretch)) + queue.Target
}

// longestChain estimates the time that the longest chain of those steps takes that are
// not done, if nothing waits.
func longestChain(steps []submitter.Step, isDone func(step int) bool) (longest time.Duration) {
	ends := make([]time.Duration, len(steps))
	for i := range steps {
		for _, predecessor := range steps[i].After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		if !isDone(i) {
			ends[i] += steps[i].Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// markStarted notes that a run of the submission is known to have begun: a runner has
// accepted its start, or has listed the run or its end.
func (s *submission) markStarted() {
	s.hasStarted = true
	if s.state == submitter.Queued {
		s.state = submitter.Running
	}
}

// earlyCancelRetention is how long the cancellation of an unknown submission is kept: by
// then the submission is found in the store.
const earlyCancelRetention = 30 * time.Second

// Cancel cancels a submission whose cancellation is already durable. The submission may
// reach the table later than its cancellation.
func (t *Table) Cancel(id string, now time.Time) {
	s, ok := t.subs[id]
	if !ok {
		t.earlyCancels[id] = now
		return
	}
	if s.state.IsFinal() {
		return
	}
	s.cancelled = true
	t.finish(s, submitter.Cancelled, now)
}

// finish gives a submission its final state and stops its remaining runs.
func (t *Table) finish(s *submission, state submitter.State, now time.Time) {
	s.state = state
	if state == submitter.Cancelled {
		s.durableState = state // a cancellation is already durable
	}
	t.record(now, EventFinished, s, "", "state", string(state))
	t.finished = append(t.finished, finishedSubmission{s.sub.ID, now})
	t.markDirty(s)
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			for i := range st.tasks {
				for _, x := range st.tasks[i].runs {
					t.stop(x, now, "submission "+string(state))
				}
			}
		}
	}
}

// completeIfDone completes a submission whose occurrences are all done.
func (t *Table) completeIfDone(s *submission, now time.Time) {
	if s.remaining == 0 && !s.state.IsFinal() {
		t.finish(s, submitter.Complete, now)
	}
}

// State returns the state of a submission. A final state is returned only once it
// is durable.
func (t *Table) State(id string) (state submitter.State, known bool) {
	s, ok := t.subs[id]
	if !ok {
		return "", false
	}
	if s.durableState.IsFinal() {
		return s.durableState, true
	}
	if s.hasStarted {
		return submitter.Running, true
	}
	return submitter.Queued, true
}

// Pending returns the number of a queue's unfinished submissions of which no run is known
// to have begun.
func (t *Table) Pending(queue string) int {
	n := 0
	for _, s := range t.unfinished() {
		if s.sub.Queue == queue && !s.hasStarted {
			n++
		}
	}
	return n
}

// remainingWork estimates the work that is left of a submission's open occurrences, in
// milliCores times seconds.
func (s *submission) remainingWork() (sum float64) {
	for _, occ := range s.occs {
		for _, st := range occ.steps {
			sum += float64(st.remaining) * st.spec.Estimate.Seconds() * float64(st.spec.MilliCores)
		}
	}
	return sum
}
