package sharder

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// batchRank is the rank of tasks that may wait.
const batchRank = 2

// rank orders tasks: what must keep running, then urgent, then the rest.
func (e *entry) rank() int {
	switch e.task.Kind {
	case kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING:
		return 0
	case kumquatv1.TaskKind_TASK_KIND_RUN_NOW:
		return 1
	default:
		return batchRank
	}
}

// byRank returns the entries of a group, important ones first.
func byRank(group map[string]*entry) []*entry {
	list := sorted(group)
	slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(a.rank(), b.rank()) })
	return list
}

// roomToStart reports whether the worker holds the task besides everything
// that may run there.
func (s *Sharder) roomToStart(w *worker, e *entry, now time.Time) bool {
	used := s.size(e, now)
	for _, other := range s.table.byWorker[w.name] {
		if other != e && other.sent {
			used = used.Plus(s.committed(other, now))
		}
	}
	return used.Plus(w.strayUse()).Fits(w.capacity())
}

// size returns the larger of a task's declared and learned use.
func (s *Sharder) size(e *entry, now time.Time) placer.Resources {
	return s.sizes.Size(e.task.ID, e.task.Intent, e.task.Declared, now)
}

// committed returns what a task may use of its worker. What it yields to others
// counts once the worker withholds it.
func (s *Sharder) committed(e *entry, now time.Time) placer.Resources {
	resident := placer.Resident{Size: s.size(e, now), Declared: e.task.Declared, Throttle: e.yields()}
	return resident.Committed()
}

// yields returns the percentage of its processors that the worker withholds from
// a task so that others have room.
func (e *entry) yields() int { return max(min(e.throttle, e.yielded), 0) }

// strayUse returns what runs outside the table may use.
func (w *worker) strayUse() placer.Resources {
	var used placer.Resources
	for _, stray := range w.strays {
		used = used.Plus(placer.Resources(stray.run.Resources))
	}
	return used
}
