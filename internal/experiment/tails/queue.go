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

// entries is a heap, the earliest deadline first.
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

// A queue hands the slots of runners to requests, the earliest deadline first,
// at the runner with the fewest slots in use.
type queue struct {
	waiting entries
	inUse   []int
	// closed marks runners that get nothing.
	closed []bool
}

// newQueue returns an empty queue before a number of runners.
func newQueue(runners int) *queue {
	return &queue{inUse: make([]int, runners), closed: make([]bool, runners)}
}

// push lets a request wait.
func (q *queue) push(e entry) { heap.Push(&q.waiting, e) }

// pop takes a slot for the first request.
func (q *queue) pop() (number, runner int, ok bool) {
	runner = q.leastLoaded()
	if len(q.waiting) == 0 || runner < 0 {
		return 0, 0, false
	}
	q.inUse[runner]++
	return heap.Pop(&q.waiting).(entry).number, runner, true
}

// release frees a slot.
func (q *queue) release(runner int) { q.inUse[runner]-- }

// leastLoaded returns the open runner with the fewest slots in use, or -1.
func (q *queue) leastLoaded() int {
	best := -1
	for runner, used := range q.inUse {
		if q.closed[runner] || used == slotsPerRunner {
			continue
		}
		if best < 0 || used < q.inUse[best] {
			best = runner
		}
	}
	return best
}
