package dispatcher

import (
	"math"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// owedRoom is the room that long-running tasks of a service will need which have run
// before: those that were interrupted and those on leaving runners.
type owedRoom struct {
	tasks int
	size  submitter.Resources // mean size of a task
	// spare is how many more tasks of this size fit on the runners than are owed room, apart
	// from the short tasks there. It is negative if there is not enough.
	spare int
}

// countOwed counts, by service, the room that is owed to long-running tasks.
//
// Load: dozens of runners that leave together and say so some seconds before, while new
// long-running tasks arrive. These would fill the other runners, and what ran on the leaving
// ones could not run again.
func (t *Table) countOwed(now time.Time) {
	clear(t.owed)
	for st, n := range t.owedTasks(now) {
		t.owe(st, t.placeable(st, n))
	}
	for _, owed := range t.owed {
		owed.size = dividedBy(owed.size, owed.tasks)
		owed.spare = -owed.tasks
	}
	for _, r := range t.runners {
		owed, ok := t.owed[r.info.Service]
		if ok && t.isUsable(r) && !now.Before(r.suspendedUntil) && now.Sub(r.answeredAt) <= staleAfter {
			owed.spare += owed.fitting(r.roomForLong())
		}
	}
}

// owedTasks returns, by step, the number of long-running tasks that were interrupted or run on
// leaving runners.
func (t *Table) owedTasks(now time.Time) map[*stepState]int {
	tasks := make(map[*stepState]int)
	allRunsKnown := t.knowsAllRuns(now)
	for _, s := range t.active {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if n := t.interrupted(st, allRunsKnown); n > 0 {
					tasks[st] += n
				}
			}
		}
	}
	for _, r := range t.runners {
		if !r.info.Draining {
			continue
		}
		for _, x := range r.runs {
			if x.st.spec.LongRunning && !x.st.s.state.IsFinal() {
				tasks[x.st]++
			}
		}
	}
	return tasks
}

// placeable returns how many more tasks of a step, up to a number, the usable runners may
// take if nothing else runs there.
func (t *Table) placeable(st *stepState, tasks int) (n int) {
	wanted := st.spec.Reserved()
	for _, r := range t.runners {
		if !t.isUsable(r) || !st.s.isServedBy(r.info.Service) || !st.hasLabel(r) || !wanted.Fits(r.info.Capacity) {
			continue
		}
		if st.runsByRunner == nil {
			return tasks
		}
		if n += max(0, st.spec.MaxPerRunner-st.runsByRunner[r.info.ID]); n >= tasks {
			return tasks
		}
	}
	return n
}

// owe adds tasks of a step to those that are owed room.
func (t *Table) owe(st *stepState, tasks int) {
	if tasks == 0 {
		return
	}
	service := st.s.service()
	owed, ok := t.owed[service]
	if !ok {
		owed = &owedRoom{}
		t.owed[service] = owed
	}
	owed.tasks += tasks
	for range tasks {
		owed.size = owed.size.Plus(st.spec.Reserved())
	}
}

func dividedBy(r submitter.Resources, n int) submitter.Resources {
	return submitter.Resources{MilliCores: r.MilliCores / int64(n), MemoryMB: r.MemoryMB / int64(n), GPUs: r.GPUs / int64(n)}
}

// fitting returns how many tasks fit into some room.
func (o *owedRoom) fitting(room submitter.Resources) int {
	n := int64(math.MaxInt32)
	for _, amount := range [][2]int64{{room.MilliCores, o.size.MilliCores}, {room.MemoryMB, o.size.MemoryMB}, {room.GPUs, o.size.GPUs}} {
		if amount[1] > 0 {
			n = min(n, max(0, amount[0])/amount[1])
		}
	}
	return int(n)
}

// takenBy returns how many fewer tasks fit on a runner once a task of a step runs there.
func (o *owedRoom) takenBy(st *stepState, r *runner) int {
	room := r.roomForLong()
	return o.fitting(room) - o.fitting(room.Minus(st.spec.Reserved()))
}

// isOwed reports whether a new long-running task may not start on a runner, as it would take
// room there that is owed to others.
func (t *Table) isOwed(r *runner, st *stepState, k *task) bool {
	owed, ok := t.owed[r.info.Service]
	return ok && t.isNew(st, k) && owed.takenBy(st, r) > max(0, owed.spare)
}

// takeSpare notes the start of a long-running task that is not owed room.
func (t *Table) takeSpare(r *runner, st *stepState, k *task) {
	if owed, ok := t.owed[r.info.Service]; ok && t.isNew(st, k) {
		owed.spare -= owed.takenBy(st, r)
	}
}
