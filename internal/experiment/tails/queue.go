package tails

import (
	"container/heap"
	"time"
)

// An entry is a request that waits for a slot.
type entry struct {
	deadline time.Duration
	number   int
}

// entries is a heap that is ordered by the deadline, the earliest first.
type entries []entry

var _ heap.Interface = (*entries)(nil)

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries) Less(i, j int) bool {
	return e[i].deadline < e[j].deadline || e[i].deadline == e[j].deadline && e[i].number < e[j].number
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// A queue assigns the slots of runners to waiting requests. It serves the
// request with the earliest deadline first, on the runner with the fewest slots
// in use.
type queue struct {
	waiting entries
	// inUse is the number of slots in use of each runner.
	inUse []int
	// excluded marks the runners that get no requests.
	excluded []bool
}

// newQueue returns an empty queue in front of a number of runners.
func newQueue(runners int) *queue {
	return &queue{inUse: make([]int, runners), excluded: make([]bool, runners)}
}

// push adds a request to the queue.
func (q *queue) push(e entry) { heap.Push(&q.waiting, e) }

// pop removes the first request and takes a slot for it. It returns false if no
// request waits or no slot is free.
func (q *queue) pop() (number, runner int, ok bool) {
	runner = q.leastLoaded()
	if len(q.waiting) == 0 || runner < 0 {
		return 0, 0, false
	}
	q.inUse[runner]++
	return heap.Pop(&q.waiting).(entry).number, runner, true
}

// release frees a slot of a runner.
func (q *queue) release(runner int) { q.inUse[runner]-- }

// leastLoaded returns the runner with the fewest slots in use, among the runners that
// are not excluded and have a free slot, or -1 if there is no such runner.
func (q *queue) leastLoaded() int {
	best := -1
	for runner, used := range q.inUse {
		if q.excluded[runner] || used == slotsPerRunner {
			continue
		}
		if best < 0 || used < q.inUse[best] {
			best = runner
		}
	}
	return best
}
