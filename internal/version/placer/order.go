package placer

import (
	"container/heap"
	"slices"
)

// batchRank is the rank of batch tasks, which may wait.
const batchRank = 2

// rank orders tasks by importance; lower ranks are placed first.
func rank(task *Task) int {
	switch {
	case task.LatencyCritical:
		return 0
	case task.Urgent:
		return 1
	default:
		return batchRank
	}
}

// compareTasks orders the tasks of one team: by rank, then by deadline with
// tasks without a deadline last, then by the time of submission.
func compareTasks(a, b *Task) int {
	if d := rank(a) - rank(b); d != 0 {
		return d
	}
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		if b.Deadline.IsZero() {
			return -1
		}
		return 1
	}
	if d := a.Deadline.Compare(b.Deadline); d != 0 {
		return d
	}
	return a.Submitted.Compare(b.Submitted)
}

// A teamQueue holds the waiting tasks of one team and the resources that the
// team uses.
type teamQueue struct {
	team   string
	weight int
	used   Resources
	// capacity is the total capacity of all workers.
	capacity Resources
	tasks    []*Task
}

// dominantShare returns the team's dominant share: the largest fraction that it
// uses of the capacity of any resource, divided by the team's weight.
func (s *teamQueue) dominantShare() float64 {
	largest := fraction(s.used.MilliCores, s.capacity.MilliCores)
	largest = max(largest, fraction(s.used.MemoryBytes, s.capacity.MemoryBytes))
	largest = max(largest, fraction(s.used.Accelerators, s.capacity.Accelerators))
	return largest / float64(max(s.weight, 1))
}

func fraction(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// A teamHeap has at its top the team whose next task is placed first: the one
// with the lowest rank, then the smallest dominant share, then the first by
// name.
type teamHeap []*teamQueue

var _ heap.Interface = (*teamHeap)(nil)

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	if d := rank(h[i].tasks[0]) - rank(h[j].tasks[0]); d != 0 {
		return d < 0
	}
	if a, b := h[i].dominantShare(), h[j].dominantShare(); a != b {
		return a < b
	}
	return h[i].team < h[j].team
}

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	top := (*h)[last]
	*h = (*h)[:last]
	return top
}

// A fairQueue yields tasks in the order in which they are placed. Tasks of
// equal rank are shared out between teams by dominant resource fairness.
type fairQueue struct {
	teams teamHeap
}

// newFairQueue returns a queue of the tasks.
func newFairQueue(snapshot *Snapshot, tasks []Task) *fairQueue {
	var capacity Resources
	for i := range snapshot.Workers {
		capacity = capacity.Plus(snapshot.Workers[i].Capacity)
	}
	byTeam := make(map[string]*teamQueue)
	q := &fairQueue{}
	for i := range tasks {
		task := &tasks[i]
		s, ok := byTeam[task.Team]
		if !ok {
			quota := snapshot.Quotas[task.Team]
			s = &teamQueue{team: task.Team, weight: quota.Weight, used: quota.Used, capacity: capacity}
			byTeam[task.Team] = s
			q.teams = append(q.teams, s)
		}
		s.tasks = append(s.tasks, task)
	}
	for _, s := range q.teams {
		slices.SortStableFunc(s.tasks, compareTasks)
	}
	heap.Init(&q.teams)
	return q
}

// placeNext takes the next task from the queue and calls place with it, which
// reports whether the task was placed. A placed task is charged to its team. It
// returns false if the queue is empty.
func (q *fairQueue) placeNext(place func(*Task) bool) bool {
	if len(q.teams) == 0 {
		return false
	}
	s := q.teams[0]
	task := s.tasks[0]
	s.tasks = s.tasks[1:]
	if place(task) {
		s.used = s.used.Plus(task.Size)
	}
	if len(s.tasks) == 0 {
		heap.Pop(&q.teams)
	} else {
		heap.Fix(&q.teams, 0)
	}
	return true
}
