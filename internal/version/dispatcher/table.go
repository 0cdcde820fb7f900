// Package dispatcher decides when and on which runners the tasks of submissions
// run. It keeps the state of submissions and runners for the owner of a partition,
// and does no input or output: the caller passes in events with the times at which
// they happened, carries out the orders and writes the records that a Table returns.
package dispatcher

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Limits are the bounds of the platform that decisions depend on.
type Limits struct {
	// LeaseDuration is how far beyond the current time a lease is granted or renewed,
	// at most MaxLease.
	LeaseDuration time.Duration
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a runner takes to stop a run.
	StopTimeout time.Duration
	// HarmAfter is how long the tail latency of a serving task may exceed its target
	// at a time.
	HarmAfter time.Duration
	// CrossRackSlowdown is the factor by which a task takes longer in another rack
	// than its data or the other tasks of its step.
	CrossRackSlowdown float64
}

// clockDrift is the largest fraction by which a runner's clock may run slow.
const clockDrift = 0.02

// lapseMargin is added to the computed end of a lease before the lease counts as
// lapsed.
const lapseMargin = 150 * time.Millisecond

// runsPerGeneration separates the run numbers of successive owners: the owner of
// generation g, which had g owners before it, numbers the runs of each task from
// g*runsPerGeneration+1. It is more than the starts of a task that one owner orders: those of
// half a day, at the rate of placement passes.
const runsPerGeneration = 1_000_000

// A Table is the state of one owner. It is not safe for concurrent use.
type Table struct {
	limits Limits
	fence  int64
	// maxToken is the highest fencing token that this owner may use, firstToken that of
	// runners that it does not know yet. restarted holds the runners with a new token.
	maxToken, firstToken int64
	restarted            []string

	generation int64
	ownedSince time.Time
	// formerOwnerEnd is the time up to which a former owner may have renewed
	// leases.
	formerOwnerEnd time.Time
	// earlierOwnersEnd is the time up to which an owner before the former one may have
	// renewed leases, even if the former one has ended.
	earlierOwnersEnd time.Time
	hasFormerOwner   bool
	// formerLapses is what the former owner has reported by Lapses; nil if it has not.
	formerLapses map[string]time.Time
	// lastAwaited names the runners that were awaited at the last tick. It is empty once
	// all runs are known.
	lastAwaited string
	// expectsOthers says that the former owner may have used runners that are not in
	// the table.
	expectsOthers bool
	// isRosterKnown says that the former owner's roster was read.
	isRosterKnown bool
	// settledByFormer holds the runners on which, as the former owner has reported,
	// no stop was in flight when it ended.
	settledByFormer map[string]bool
	// ownerConfirmedAt is the latest time at which this owner is known to have had
	// no successor.
	ownerConfirmedAt time.Time
	authority        authority
	// formerRoster is the stored roster that this owner has found, or nil; quorumSince is
	// when takeoverQuorum of it had accepted this owner's token, or zero.
	formerRoster voters
	quorumSince  time.Time
	rec          recorder.Recorder

	// config is not known until the first Configure. Until then, what runs is kept, and
	// nothing is started or failed.
	config  holder.Optional[Configuration]
	runners map[string]*runner     // by ID
	subs    map[string]*submission // by ID
	// active holds the submissions in subs that have not ended, and those that have
	// ended since unfinished last removed them.
	active       []*submission
	interference interferenceModel

	// noRoom maps shapes to the sizes of tasks of the shape for which no runner had room in
	// the current placement pass, or among the moves of the current tick. None of them is
	// larger than another one.
	noRoom map[shape][]submitter.Resources

	// passes is the number of placement passes, and pass the number of the current one, or zero.
	passes, pass int

	// reserved holds the runners with reserved room, and kept the late steps for which some
	// is reserved, as of the last tick.
	reserved []*runner
	kept     []*stepState
	// keptForLong holds the long-running steps for which some is kept, other than for moves, and
	// keptRooms what was recorded of all.
	keptForLong []*stepState
	keptRooms   []*keptRoom
	// heldRoom is the turn of the long-running step for which room was held last.
	heldRoom roomTurn
	// turn is the step of which one task is being started in its turn, or nil; background is
	// the step if that task runs in the background. turnRuns is the number of occurrences that
	// run since their turn, other than in the background, and lackedAt when work that was on
	// time last found no room.
	turn, background *stepState
	turnRuns         int
	// owedTurns is the number of steps that were owed a turn in the last placement pass.
	owedTurns int
	lackedAt  time.Time

	// plans holds the room that is kept from new long-running tasks, by service, as of the
	// last tick.
	plans map[string]*roomPlan

	moves []move // under way

	// held maps runners to the suspects that are to start there next.
	held     map[*runner]suspect
	isolated int // number of runners with suspects on probation
	// lossTimes is when runners were lost recently, otherLossTimes when runners were lost
	// without a task that is known for such losses.
	lossTimes, otherLossTimes []time.Time
	// sharedLosses holds, for each loss of a runner that tasks of several submissions may
	// have caused, the runs that are not cleared yet.
	sharedLosses [][]*run

	orders []Order // decided since the last call of Orders
	// queuedStarts is the number of starts that are decided and not sent yet.
	queuedStarts int
	// queuedBackground is the part of them in the background.
	queuedBackground int
	// unpaced holds the background runs whose pace is not confirmed yet, and others.
	unpaced []*run
	// backgroundMovedAt is when a background run was last stopped to run elsewhere.
	backgroundMovedAt time.Time
	// starts is the number of starts that were decided.
	starts int
	// isPlacementDeferred says that a placement pass ended early as too many starts were
	// queued.
	isPlacementDeferred bool

	permitRequests []PermitRequest // decided since the last call of PermitRequests
	dirty          []*submission   // submissions with unsaved progress, longest waiting first
	// placementDue says that the next Schedule has to run a placement pass.
	placementDue bool
	// evaluations is how many times the current placement pass has asked whether a task may
	// start on a runner; roundSince is when the first of several passes began that try all
	// steps together, or zero.
	evaluations int
	roundSince  time.Time
	// longEndedAt is when a long-running run last ended.
	longEndedAt time.Time
	// earlyCancels holds when submissions were cancelled that are not in the table yet.
	earlyCancels map[string]time.Time
	// moved holds the submissions that were handed to other parts recently.
	moved map[string]departure
	// finished holds the submissions that have ended, oldest first.
	finished []finishedSubmission
}

// A finishedSubmission is a submission that has ended.
type finishedSubmission struct {
	id string
	at time.Time // when it ended, or was added if it ended under a former owner
}

// New returns the table of an owner that holds a fencing token. The generation is the
// number of owners that the partition had before. The table has no configuration yet.
func New(limits Limits, fence, generation int64, rec recorder.Recorder, now time.Time) *Table {
	return &Table{
		limits:           limits,
		fence:            fence,
		maxToken:         fence,
		firstToken:       fence,
		generation:       generation,
		ownedSince:       now,
		formerOwnerEnd:   now,
		ownerConfirmedAt: now,
		authority:        authority{confirmedAt: now},
		hasFormerOwner:   generation > 0,
		lackedAt:         now, // former owners may have lacked room
		rec:              rec,
		runners:          make(map[string]*runner),
		subs:             make(map[string]*submission),
		interference:     newInterferenceModel(),
		noRoom:           make(map[shape][]submitter.Resources),
		plans:            make(map[string]*roomPlan),
		earlyCancels:     make(map[string]time.Time),
		moved:            make(map[string]departure),
		held:             make(map[*runner]suspect),
	}
}

// ConfirmOwnership records that this owner had no successor at the given time.
func (t *Table) ConfirmOwnership(at time.Time) {
	if at.After(t.ownerConfirmedAt) {
		t.ownerConfirmedAt = at
	}
}

// Configure applies a version of the configuration to new submissions and to all that
// are in the table.
func (t *Table) Configure(config Configuration, now time.Time) {
	t.config = holder.Known(config)
	for _, s := range t.unfinished() {
		t.applyQueue(s, now)
	}
	t.placementDue = true
}

// Load returns the processor capacity of the usable runners, and the processors
// requested by the tasks on these runners, by the tasks that wait to start, and by the
// long-running tasks on runners that leave, which will need room elsewhere.
func (t *Table) Load() (load partitioner.Load) {
	for _, r := range t.runners {
		switch {
		case t.isUsable(r):
			load.Capacity += r.info.Capacity.MilliCores
			load.Reserved += r.used.MilliCores
			load.LongRunning += r.usedForLong.MilliCores
			load.Filling += r.bestEffort.milliCores
		case r.info.Draining, !r.isRegistered:
			load.Reserved += r.usedForLong.MilliCores
			load.LongRunning += r.usedForLong.MilliCores
		}
	}
	for _, s := range t.unfinished() {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				waiting := int64(st.waiting) * st.spec.MilliCores
				switch {
				case !st.ready:
				case st.spec.Fills:
					load.Filling += waiting
				default:
					load.Reserved += waiting
					if st.spec.LongRunning {
						load.LongRunning += waiting
					}
				}
			}
		}
	}
	return load
}

// A Kind says what an order asks of a runner.
type Kind int

// Kinds of orders.
const (
	Start Kind = iota
	Stop
	Pace
)

// String returns the kind as it appears in metrics.
func (k Kind) String() string { return [...]string{"start", "stop", "pace"}[k] }

// An Order is a call that the owner makes to a runner.
type Order struct {
	Kind       Kind
	Runner     string
	Lifetime   int64 // incarnation of the runner that the order is for
	Token      int64 // fencing token of that incarnation
	Task       submitter.TaskID
	Run        int64
	Spec       string // spec of the submission
	Checkpoint string // checkpoint from which the task resumes, or empty
	Ticket     string // ticket of the permit, if the queue needs permits
	// Until is the end of the lease, in milliseconds on the runner's clock.
	Until int64
	// isUnknown says that the run to stop is not in the table.
	isUnknown bool
	// clock is the least reading, in ms, of the clock of that incarnation in an answer, or zero.
	clock int64
	// Percent is the pace that a paced task gets, in percent of its full speed.
	Percent int
}

// Orders returns the orders decided since the last call.
func (t *Table) Orders() []Order {
	orders := t.orders
	t.orders = nil
	return orders
}

// newOrder returns an order about a run, for the runner's current incarnation.
func newOrder(kind Kind, r *runner, key runKey) Order {
	return Order{Kind: kind, Runner: r.info.ID, Lifetime: r.info.Lifetime, Token: r.token, Task: key.task, Run: key.run}
}
