// Package queuer implements the bounded queue of requests that wait for a slot. It
// orders them by deadline and by the cost of a missed deadline, and shares the
// service fairly among callers.
package queuer

import (
	"container/heap"
	"errors"
	"time"
)

// ErrFull reports that the queue is full and holds no item that ranks after the new one.
var ErrFull = errors.New("queue is full")

// halvingCost is the miss cost at which an item's time to its deadline counts half in
// the item's rank.
const halvingCost = 100

// An Item is a value to be queued.
type Item[T any] struct {
	Value T
	// Caller is the name of the caller that the item is charged to.
	Caller   string
	Deadline time.Time
	// MissCost is the cost of a missed deadline; costlier items are served earlier.
	MissCost int
}

// An Entry is an item in a queue.
type Entry[T any] struct {
	Item Item[T]
	// rank orders the entries; the earliest rank is served first.
	rank     time.Time
	sequence uint64 // orders entries of equal rank
	first    int    // index in the queue's firstHeap, -1 once removed
	last     int    // index in the queue's lastHeap
}

// A Queue is a bounded priority queue. It is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	sequence uint64 // of the last entry added
	first    firstHeap[T]
	last     lastHeap[T]
	callers  map[string]*callerState
}

// A callerState accounts for the items that one caller has in the queue.
type callerState struct {
	queued int
	// nextStart is the earliest fair start of the caller's next item.
	nextStart time.Time
}

// New returns an empty queue that holds up to capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, callers: make(map[string]*callerState)}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.first) }

// Callers returns the number of callers that have queued items.
func (q *Queue[T]) Callers() int { return len(q.callers) }

// SetCapacity changes the capacity. Items beyond a smaller capacity stay queued.
func (q *Queue[T]) SetCapacity(capacity int) { q.capacity = capacity }

// Rank returns the time by which an item is ordered: the item's fair start plus the time
// to its deadline, which is divided by a weight that grows with the miss cost. The fair
// start is when the item would be served if its caller got exactly its fair share of the
// service: now, or a gap after the fair start of the caller's previous item if that is
// later. Items can't starve, because the ranks of new items grow with time.
func (q *Queue[T]) Rank(item Item[T], now time.Time) time.Time {
	start := now
	if state := q.callers[item.Caller]; state != nil && state.nextStart.After(now) {
		start = state.nextStart
	}
	slack := max(0, item.Deadline.Sub(now))
	weight := 1 + float64(item.MissCost)/halvingCost
	return start.Add(time.Duration(float64(slack) / weight))
}

// Ahead returns the number of items that are served before a new item of the given rank.
func (q *Queue[T]) Ahead(rank time.Time) int {
	ahead := 0
	for _, entry := range q.first {
		if !entry.rank.After(rank) {
			ahead++
		}
	}
	return ahead
}

// Push adds an item. The gap is the time between two items of one caller that gets
// its fair share of the service. If the queue is full and the new item ranks
// before the last entry, that entry is removed and returned as displaced. If it
// doesn't, Push returns ErrFull.
func (q *Queue[T]) Push(item Item[T], gap time.Duration, now time.Time) (entry, displaced *Entry[T], err error) {
	rank := q.Rank(item, now)
	if q.Len() >= q.capacity {
		if q.Len() == 0 || !rank.Before(q.last[0].rank) {
			return nil, nil, ErrFull
		}
		displaced = q.last[0]
		q.Remove(displaced)
	}
	q.sequence++
	entry = &Entry[T]{Item: item, rank: rank, sequence: q.sequence}
	heap.Push(&q.first, entry)
	heap.Push(&q.last, entry)
	q.charge(item.Caller, gap, now)
	return entry, displaced, nil
}

// charge advances the fair start of a caller's next item by a gap.
func (q *Queue[T]) charge(caller string, gap time.Duration, now time.Time) {
	state := q.callers[caller]
	if state == nil {
		state = &callerState{nextStart: now}
		q.callers[caller] = state
	}
	if state.nextStart.Before(now) {
		state.nextStart = now
	}
	state.nextStart = state.nextStart.Add(gap)
	state.queued++
}

// First returns the entry that is served first, or nil if the queue is empty.
func (q *Queue[T]) First() *Entry[T] {
	if q.Len() == 0 {
		return nil
	}
	return q.first[0]
}

// Remove removes an entry. It has no effect on an entry that was already removed.
func (q *Queue[T]) Remove(entry *Entry[T]) {
	if entry.first < 0 {
		return
	}
	heap.Remove(&q.first, entry.first)
	heap.Remove(&q.last, entry.last)
	entry.first = -1
	state := q.callers[entry.Item.Caller]
	state.queued--
	if state.queued == 0 {
		delete(q.callers, entry.Item.Caller)
	}
}

// ExpectedWait returns the expected time until a slot is free for an item that has ahead
// items before it, given the number of slots and the mean service time. Without slots it
// returns the longest duration.
func ExpectedWait(ahead, slots int, mean time.Duration) time.Duration {
	if slots <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(ahead+1) / float64(slots) * float64(mean))
}
