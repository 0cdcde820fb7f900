package placer

import (
	"container/heap"
	"slices"
)

// batchRank is the rank of tasks that may wait.
const batchRank = 2

// rank orders tasks of different importance; lower is placed first.
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

// compare orders tasks of one team.
func compare(a, b *Task) int {
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

// A share is one team's waiting tasks and its use so far.
type share struct {
	team     string
	weight   int
	used     Resources
	capacity Resources
	tasks    []*Task
}

// dominant returns the team's largest fraction of any resource by its weight.
func (s *share) dominant() float64 {
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

// A shareHeap yields the team whose next task comes first: the better rank,
// then the smaller dominant share, then the name.
type shareHeap []*share

var _ heap.Interface = (*shareHeap)(nil)

// Len implements heap.Interface.
func (h shareHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h shareHeap) Less(i, j int) bool {
	if d := rank(h[i].tasks[0]) - rank(h[j].tasks[0]); d != 0 {
		return d < 0
	}
	if a, b := h[i].dominant(), h[j].dominant(); a != b {
		return a < b
	}
	return h[i].team < h[j].team
}

// Swap implements heap.Interface.
func (h shareHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *shareHeap) Push(x any) { *h = append(*h, x.(*share)) }

// Pop implements heap.Interface.
func (h *shareHeap) Pop() any {
	last := len(*h) - 1
	top := (*h)[last]
	*h = (*h)[:last]
	return top
}

// A lineup hands out tasks one by one, fairly between teams.
type lineup struct {
	teams shareHeap
}

// newLineup returns the order in which tasks are placed.
func newLineup(snapshot *Snapshot, tasks []Task) *lineup {
	var capacity Resources
	for i := range snapshot.Workers {
		capacity = capacity.Plus(snapshot.Workers[i].Capacity)
	}
	byTeam := make(map[string]*share)
	l := &lineup{}
	for i := range tasks {
		task := &tasks[i]
		s, ok := byTeam[task.Team]
		if !ok {
			quota := snapshot.Quotas[task.Team]
			s = &share{team: task.Team, weight: quota.Weight, used: quota.Used, capacity: capacity}
			byTeam[task.Team] = s
			l.teams = append(l.teams, s)
		}
		s.tasks = append(s.tasks, task)
	}
	for _, s := range l.teams {
		slices.SortStableFunc(s.tasks, compare)
	}
	heap.Init(&l.teams)
	return l
}

// next returns the task to place next, or nil. The team's share is charged
// by what the visitor reports as placed.
func (l *lineup) next(place func(*Task) bool) bool {
	if len(l.teams) == 0 {
		return false
	}
	s := l.teams[0]
	task := s.tasks[0]
	s.tasks = s.tasks[1:]
	if place(task) {
		s.used = s.used.Plus(task.Size)
	}
	if len(s.tasks) == 0 {
		heap.Pop(&l.teams)
	} else {
		heap.Fix(&l.teams, 0)
	}
	return true
}
