package sharder

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

// An entry is one task with what the owner knows of it in memory only.
type entry struct {
	// task is the state as decided; durable is the state in the journal, if
	// known is true.
	task    lifecycler.Task
	durable lifecycler.Task
	known   bool
	// implied is true if a shard intent in the journal stands for the task.
	implied bool
	// busy is true while a command about the task is in flight.
	busy bool
	// touched is the table's sequence number at the last change of busy. A
	// report requested before it says nothing about the task.
	touched uint64
	// sent is true once the start may have reached the worker.
	sent bool
	// replayed is true for a run that an earlier owner assigned, until the
	// worker has reported under this epoch.
	replayed bool
	// leaseUntil is the time after which the run has provably lapsed, drift
	// and late delivery included.
	leaseUntil time.Time
	// runningSince is the time since which the run is known to run.
	runningSince time.Time
	// checkpointedAt is the time of the last checkpoint.
	checkpointedAt time.Time
	survived       bool
	// throttle is the percentage of processors that the worker withholds.
	throttle int
	// liftedAt is the time at which the worker last answered that it withholds
	// nothing any more.
	liftedAt time.Time
	// calmed is the percentage to withhold for the sake of services, and
	// yielded the one to withhold so that others have room.
	calmed      int
	yielded     int
	removal     *removal
	reservation *reservation
	// notBefore delays the next start after failures.
	notBefore time.Time
	failures  int
	// attempts counts the starts of the present run that were not answered.
	attempts int
	// roomBy is the time by which room for the task has to be made.
	roomBy time.Time
	// refusedSince is the time since which placement says that no worker can
	// hold the task.
	refusedSince time.Time
	// waitingSince is the time since which the task waits in this shard.
	waitingSince time.Time
	// lostAt is the worker at which the last run may have finished unseen, and
	// lostSince the time at which its lease had provably lapsed.
	lostAt    string
	lostSince time.Time
}

// A removal is the course of taking a task off its worker.
type removal struct {
	// target is the data centre that takes the task; empty keeps it.
	target string
	// checkpointBy is the time after which the task is stopped without a new
	// checkpoint.
	checkpointBy time.Time
	// stopped is true once the worker has answered the stop.
	stopped bool
}

// A reservation holds a worker for a task until others have made room there.
type reservation struct {
	worker string
	until  time.Time
}

// settled reports whether the task's state is durable.
func (e *entry) settled() bool { return e.known && e.durable.SameProgress(e.task) }

// A table holds the entries of a shard with indexes by what they wait for.
type table struct {
	entries map[string]*entry
	intents map[string]*kumquatv1.ShardIntent
	// byIntent holds the entries of an intent by task.
	byIntent map[string]map[string]*entry
	// byWorker holds the entries assigned to a worker by task.
	byWorker map[string]map[string]*entry
	pending  map[string]*entry
	// moving holds the moved tasks that their target has not confirmed.
	moving map[string]*entry
	dirty  map[string]*entry
	counts map[kumquatv1.TaskState]int
	// sequence orders commands and reports.
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
	put(t.byIntent, e.task.Intent, e)
	t.index(e)
}

// remove drops an entry.
func (t *table) remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	t.unindex(e)
	drop(t.byIntent, e.task.Intent, id)
	delete(t.entries, id)
	delete(t.dirty, id)
}

// set decides a new state of an entry's task, which has to become durable.
func (t *table) set(e *entry, next lifecycler.Task) {
	if e.task.SameProgress(next) {
		return
	}
	t.unindex(e)
	leaves := e.task.Run != next.Run || e.task.Worker != next.Worker || !next.Assigned()
	e.task = next
	if leaves {
		e.leaveWorker()
	}
	t.index(e)
	t.dirty[next.ID] = e
}

// leaveWorker forgets what concerns a run that is over.
func (e *entry) leaveWorker() {
	e.sent, e.replayed, e.survived = false, false, false
	e.leaseUntil, e.runningSince, e.checkpointedAt = time.Time{}, time.Time{}, time.Time{}
	e.waitingSince = time.Time{}
	e.roomBy = time.Time{}
	e.liftedAt = time.Time{}
	e.throttle, e.calmed, e.yielded, e.attempts = 0, 0, 0, 0
	e.removal, e.reservation = nil, nil
}

func (t *table) index(e *entry) {
	t.counts[e.task.State]++
	switch {
	case e.task.State == kumquatv1.TaskState_TASK_STATE_PENDING:
		t.pending[e.task.ID] = e
	case e.task.Assigned():
		put(t.byWorker, e.task.Worker, e)
	case e.task.IsMoveUnconfirmed():
		t.moving[e.task.ID] = e
	}
}

func (t *table) unindex(e *entry) {
	t.counts[e.task.State]--
	delete(t.pending, e.task.ID)
	delete(t.moving, e.task.ID)
	drop(t.byWorker, e.task.Worker, e.task.ID)
}

// begin marks a command about a task as in flight.
func (t *table) begin(e *entry) {
	t.sequence++
	e.busy = true
	e.touched = t.sequence
}

// end marks the command as answered or given up.
func (t *table) end(e *entry) {
	t.sequence++
	e.busy = false
	e.touched = t.sequence
}

func put(index map[string]map[string]*entry, key string, e *entry) {
	group, ok := index[key]
	if !ok {
		group = make(map[string]*entry)
		index[key] = group
	}
	group[e.task.ID] = e
}

func drop(index map[string]map[string]*entry, key, id string) {
	group, ok := index[key]
	if !ok {
		return
	}
	delete(group, id)
	if len(group) == 0 {
		delete(index, key)
	}
}
