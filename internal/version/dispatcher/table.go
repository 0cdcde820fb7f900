// Package dispatcher decides where and when the tasks of submissions run. It
// holds what an owner knows of submissions and runners, takes events with the
// time at which they happened, and gives orders and records to be written. It
// does no input or output.
package dispatcher

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Limits are the platform's bounds that decisions depend on.
type Limits struct {
	// LeaseSpan is how far a lease reaches when it is renewed.
	LeaseSpan time.Duration
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// HarmAfter is how long a task may be over its tail target.
	HarmAfter time.Duration
	// CrossRackSlowdown is the factor by which tasks away from their data, or
	// from their gang, take longer.
	CrossRackSlowdown float64
}

// clockDrift is the share by which a runner's clock may be slow.
const clockDrift = 0.02

// lapseMargin is added to the time at which a lease must have lapsed.
const lapseMargin = 150 * time.Millisecond

// A Queue is how the configuration treats submissions of one kind.
type Queue struct {
	Name        string
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	// NeedsPermits says that an outside service decides on which runners a step
	// may run.
	NeedsPermits bool
}

// runsPerGeneration separates the run numbers of successive owners: an owner
// of generation g numbers its runs from g*runsPerGeneration+1.
const runsPerGeneration = 1000

// A Table is the state of one owner. It is not safe for concurrent use.
type Table struct {
	limits     Limits
	fence      int64
	generation int64
	ownedSince time.Time
	// formerEnd is the time up to which a former owner may have renewed leases.
	formerEnd time.Time
	inherited bool
	// vouched are the runners of which the former owner has told that no stop
	// was under way at its end.
	vouched map[string]bool
	// confirmedAt is the latest time at which there was no successor.
	confirmedAt time.Time
	rec         recorder.Recorder

	queues  map[string]Queue
	runners map[string]*runner
	subs    map[string]*submission
	// active are the submissions in subs that have not ended, and some that
	// have: those are dropped when the list is used.
	active    []*submission
	evacuated map[string]bool
	disturbed disturbance

	// noRoom holds, for the present pass, the sizes that found no runner.
	noRoom map[shape]submitter.Resources

	orders    []Order
	questions []PermitRequest
	dirty     []*submission
	// recheck asks for a placement pass.
	recheck bool
	// finals are the submissions that have ended, oldest first.
	finals []final
}

// A final is a submission that has ended.
type final struct {
	id string
	at time.Time
}

// New returns the table of an owner that holds a fencing token. A generation of
// zero says that there was no owner before.
func New(limits Limits, fence, generation int64, rec recorder.Recorder, now time.Time) *Table {
	return &Table{
		limits:      limits,
		fence:       fence,
		generation:  generation,
		ownedSince:  now,
		formerEnd:   now,
		confirmedAt: now,
		inherited:   generation > 0,
		rec:         rec,
		queues:      make(map[string]Queue),
		runners:     make(map[string]*runner),
		subs:        make(map[string]*submission),
		evacuated:   make(map[string]bool),
		disturbed:   newDisturbance(),
		noRoom:      make(map[shape]submitter.Resources),
	}
}

// ConfirmOwnership takes note that there was no successor of this owner at a time.
func (t *Table) ConfirmOwnership(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// SetQueues replaces the configured queues.
func (t *Table) SetQueues(queues []Queue) {
	t.queues = make(map[string]Queue, len(queues))
	for _, q := range queues {
		t.queues[q.Name] = q
	}
	for _, s := range t.subs {
		if q, ok := t.queues[s.sub.Queue]; ok {
			s.queue = q
		}
	}
	t.recheck = true
}

// SetEvacuated replaces the set of data centres that get no new work.
func (t *Table) SetEvacuated(dataCentres map[string]bool) {
	t.evacuated = dataCentres
	t.recheck = true
}

// Load returns what the tasks of the part take or wait for.
func (t *Table) Load() (load partitioner.Load) {
	for _, r := range t.runners {
		if r.listed && !r.info.Draining && !t.evacuated[r.info.DataCentre] {
			load.Capacity += r.info.Capacity.MilliCores
			load.Reserved += r.used.MilliCores
			load.Filling += r.fills
		}
	}
	for _, s := range t.unfinished() {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				waiting := int64(st.wait) * st.spec.MilliCores
				switch {
				case !st.ready:
				case st.spec.Fills:
					load.Filling += waiting
				default:
					load.Reserved += waiting
				}
			}
		}
	}
	return load
}

// A Kind tells what an order asks of a runner.
type Kind int

// Kinds of orders.
const (
	Start Kind = iota
	Stop
	Pace
)

// String returns the kind as it appears in metrics.
func (k Kind) String() string { return [...]string{"start", "stop", "pace"}[k] }

// An Order is a call that the owner makes at a runner.
type Order struct {
	Kind       Kind
	Runner     string
	Lifetime   int64
	Task       submitter.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string // of a permit
	// Until is the time on the runner's clock, in milliseconds, up to which
	// the lease reaches.
	Until int64
	// Percent is the share of its speed that a paced task keeps.
	Percent int
}

// Orders returns the orders decided since the last call.
func (t *Table) Orders() []Order {
	orders := t.orders
	t.orders = nil
	return orders
}
