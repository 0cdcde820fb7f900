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

// rank orders tasks by importance: those that must keep running, then urgent
// ones, then the rest.
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

// byRank returns the entries of a group, the most important first.
func byRank(group map[string]*entry) []*entry {
	list := sorted(group)
	slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(a.rank(), b.rank()) })
	return list
}

// hasRoomToStart reports whether the worker has room for the task beside
// everything that may be running there.
func (s *Sharder) hasRoomToStart(w *worker, e *entry, now time.Time) bool {
	used := s.size(e, now)
	for _, other := range s.table.byWorker[w.name] {
		if other != e && other.sent {
			used = used.Plus(s.committed(other, now))
		}
	}
	return used.Plus(w.orphanUse()).Fits(w.capacity())
}

// size returns the larger of a task's declared and learned use.
func (s *Sharder) size(e *entry, now time.Time) placer.Resources {
	return s.sizes.Size(e.task.ID, e.task.Intent, e.task.Declared, now)
}

// committed returns what a task may use of its worker. The processors that it
// yields to others are subtracted once the worker withholds them.
func (s *Sharder) committed(e *entry, now time.Time) placer.Resources {
	resident := placer.Resident{Size: s.size(e, now), Declared: e.task.Declared, Throttle: e.effectiveRoomThrottle()}
	return resident.Committed()
}

// effectiveRoomThrottle returns the percentage of a task's processors that the
// worker withholds to make room for others.
func (e *entry) effectiveRoomThrottle() int { return max(min(e.throttle, e.roomThrottle), 0) }

// orphanUse returns what the orphaned runs at the worker may use.
func (w *worker) orphanUse() placer.Resources {
	var used placer.Resources
	for _, orphan := range w.orphans {
		used = used.Plus(placer.Resources(orphan.run.Resources))
	}
	return used
}
