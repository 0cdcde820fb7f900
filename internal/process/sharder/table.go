package sharder

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

// An entry is one task with the state that its owner keeps in memory only.
type entry struct {
	// task is the state as decided. durable is the state in the journal, if
	// isJournaled is true.
	task        lifecycler.Task
	durable     lifecycler.Task
	isJournaled bool
	// isImplied is true if the task follows from a shard intent in the journal,
	// so that the journal needs no full record of the task.
	isImplied bool
	// busy is true while a command about the task is in flight.
	busy bool
	// lastCommandSequence is the table's sequence number at the last change of
	// busy. A report requested before that change is too old to show the task's
	// state.
	lastCommandSequence uint64
	// sent is true once the start may have reached the worker.
	sent bool
	// replayed is true for a run that an earlier owner assigned, until the
	// worker has reported under this epoch.
	replayed bool
	// leaseUntil is the time after which the run's lease has provably lapsed,
	// with clock drift and late delivery allowed for.
	leaseUntil time.Time
	// runningSince is the time since which the run is known to be running.
	runningSince time.Time
	// checkpointedAt is the time of the last checkpoint.
	checkpointedAt time.Time
	// countedAsSuccess is true once the ledger counts the run, which still goes
	// on, as a success of its worker.
	countedAsSuccess bool
	// throttle is the percentage of processors that the worker withholds, or
	// unknownThrottle.
	throttle int
	// unthrottledAt is the time at which the worker last answered that it no
	// longer withholds any processors.
	unthrottledAt time.Time
	// serviceThrottle is the percentage of processors to withhold to protect
	// services, and roomThrottle the percentage to withhold to make room for
	// other tasks.
	serviceThrottle int
	roomThrottle    int
	removal         *removal
	reservation     *reservation
	// notBefore delays the next placement or command after a failure. failures
	// counts the task's failed runs; each doubles the back-off delay, up to
	// maxRestartBackoff.
	notBefore time.Time
	failures  int
	// attempts counts the starts of the current run that were not answered.
	attempts int
	// roomBy is the time by which the worker must have room for the assigned
	// task. It is zero until the worker has been found to lack room.
	roomBy time.Time
	// unplaceableSince is the time since which the policy has found that no
	// worker can hold the task.
	unplaceableSince time.Time
	// waitingSince is the time since which the task waits in this shard.
	waitingSince time.Time
	// lostWorker is the worker at which the last run may have finished without
	// this owner learning of it, or empty if there is no such worker. lostSince
	// is the time at which this owner noticed that the run's lease had lapsed,
	// not the end of that lease.
	lostWorker string
	lostSince  time.Time
}

// A removal is the state of removing a task from its worker.
type removal struct {
	// target is the data centre to which the task moves. If it is empty, the
	// task stays in the shard.
	target string
	// checkpointBy is the time after which the task is stopped without a new
	// checkpoint.
	checkpointBy time.Time
	// stopped is true once the worker has answered the stop.
	stopped bool
}

// A reservation keeps a worker for a task until other tasks have made room
// there.
type reservation struct {
	worker string
	until  time.Time
}

// isDurable reports whether the task's state is durable.
func (e *entry) isDurable() bool { return e.isJournaled && e.durable.SameProgress(e.task) }

// A table holds the entries of a shard, with indexes by intent, worker and
// state.
type table struct {
	entries map[string]*entry
	intents map[string]*kumquatv1.ShardIntent
	// byIntent holds the entries of each intent, by task id.
	byIntent map[string]map[string]*entry
	// byWorker holds the entries assigned to each worker, by task id.
	byWorker map[string]map[string]*entry
	// pending holds the entries in state pending, by task id.
	pending map[string]*entry
	// moving holds the moved tasks that their new shard has not confirmed.
	moving map[string]*entry
	// dirty holds the entries whose state is to be journaled, by task id.
	dirty map[string]*entry
	// counts is the number of entries in each state.
	counts map[kumquatv1.TaskState]int
	// sequence counts the starts and ends of commands. A report is ordered
	// against them by its value when the report was requested.
	sequence uint64
}

func newTable() *table {
	return &table{
		entries:  make(map[string]*entry),
		intents:  make(map[string]*kumquatv1.ShardIntent),
		byIntent: make(map[string]map[string]*entry),
		byWorker: make(map[string]map[string]*entry),
		pending:  make(map[string]*entry),
		moving:   make(map[string]*entry),
		dirty:    make(map[string]*entry),
		counts:   make(map[kumquatv1.TaskState]int),
	}
}

// add adds an entry.
func (t *table) add(e *entry) {
	t.remove(e.task.ID)
	t.entries[e.task.ID] = e
	addToIndex(t.byIntent, e.task.Intent, e)
	t.index(e)
}

// remove drops an entry.
func (t *table) remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	t.unindex(e)
	removeFromIndex(t.byIntent, e.task.Intent, id)
	delete(t.entries, id)
	delete(t.dirty, id)
}

// set sets a new state of an entry's task and marks it to be journaled.
func (t *table) set(e *entry, next lifecycler.Task) {
	if e.task.SameProgress(next) {
		return
	}
	t.unindex(e)
	endsRun := e.task.Run != next.Run || e.task.Worker != next.Worker || !next.Assigned()
	e.task = next
	if endsRun {
		e.clearRun()
	}
	t.index(e)
	t.dirty[next.ID] = e
}

// clearRun resets what concerns a run that is over.
func (e *entry) clearRun() {
	e.sent, e.replayed, e.countedAsSuccess = false, false, false
	e.leaseUntil, e.runningSince, e.checkpointedAt = time.Time{}, time.Time{}, time.Time{}
	e.waitingSince = time.Time{}
	e.roomBy = time.Time{}
	e.unthrottledAt = time.Time{}
	e.throttle, e.serviceThrottle, e.roomThrottle, e.attempts = 0, 0, 0, 0
	e.removal, e.reservation = nil, nil
}

func (t *table) index(e *entry) {
	t.counts[e.task.State]++
	switch {
	case e.task.State == kumquatv1.TaskState_TASK_STATE_PENDING:
		t.pending[e.task.ID] = e
	case e.task.Assigned():
		addToIndex(t.byWorker, e.task.Worker, e)
	case e.task.IsMoveUnconfirmed():
		t.moving[e.task.ID] = e
	}
}

func (t *table) unindex(e *entry) {
	t.counts[e.task.State]--
	delete(t.pending, e.task.ID)
	delete(t.moving, e.task.ID)
	removeFromIndex(t.byWorker, e.task.Worker, e.task.ID)
}

// begin marks a command about a task as in flight.
func (t *table) begin(e *entry) {
	t.sequence++
	e.busy = true
	e.lastCommandSequence = t.sequence
}

// end marks the command about a task as answered or given up.
func (t *table) end(e *entry) {
	t.sequence++
	e.busy = false
	e.lastCommandSequence = t.sequence
}

func addToIndex(index map[string]map[string]*entry, key string, e *entry) {
	group, ok := index[key]
	if !ok {
		group = make(map[string]*entry)
		index[key] = group
	}
	group[e.task.ID] = e
}

func removeFromIndex(index map[string]map[string]*entry, key, id string) {
	group, ok := index[key]
	if !ok {
		return
	}
	delete(group, id)
	if len(group) == 0 {
		delete(index, key)
	}
}
