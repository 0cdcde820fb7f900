// Package queuer holds requests that wait for a slot, in a bounded queue that
// is ordered by deadline and cost of a miss and is fair among callers.
package queuer

import (
	"container/heap"
	"errors"
	"time"
)

// ErrFull reports a queue in which every item goes before the new one.
var ErrFull = errors.New("queue is full")

// costScale is the cost of a miss that halves the time to a deadline.
const costScale = 100

// An Item is one value that waits.
type Item[T any] struct {
	Value T
	// Caller shares the queue fairly with other callers.
	Caller   string
	Deadline time.Time
	// MissCost weighs a missed deadline; larger is served first.
	MissCost int
}

// An Entry is an item in a queue.
type Entry[T any] struct {
	Item Item[T]
	// rank orders entries; the earliest is served first.
	rank     time.Time
	sequence uint64
	first    int // index in the heap of earliest entries, -1 if absent
	last     int // index in the heap of latest entries
}

// A Queue orders items. It is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	sequence uint64
	first    firstHeap[T]
	last     lastHeap[T]
	callers  map[string]*callerState
}

// A callerState is the share of the queue that one caller has.
type callerState struct {
	queued int
	// finish is the fair time after which the caller's next item starts.
	finish time.Time
}

// New returns an empty queue for a number of items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, callers: make(map[string]*callerState)}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.first) }

// Callers returns the number of callers that wait.
func (q *Queue[T]) Callers() int { return len(q.callers) }

// SetCapacity bounds the queue anew. Items beyond the bound stay.
func (q *Queue[T]) SetCapacity(capacity int) { q.capacity = capacity }

// Rank returns the time by which an item is ordered: its fair start, which
// moves on by a gap for each item that its caller has queued, plus its time to
// the deadline, which shrinks with the cost of a miss. No item waits for ever,
// because the ranks of newcomers grow with time.
func (q *Queue[T]) Rank(item Item[T], now time.Time) time.Time {
	start := now
	if state := q.callers[item.Caller]; state != nil && state.finish.After(now) {
		start = state.finish
	}
	slack := max(0, item.Deadline.Sub(now))
	weight := 1 + float64(item.MissCost)/costScale
	return start.Add(time.Duration(float64(slack) / weight))
}

// Ahead returns how many items go before an item of the rank.
func (q *Queue[T]) Ahead(rank time.Time) int {
	ahead := 0
	for _, entry := range q.first {
		if !entry.rank.After(rank) {
			ahead++
		}
	}
	return ahead
}

// Push adds an item. The gap is the time between two items of one caller at
// its fair share of the service. A full queue displaces its last entry, which
// is returned, if the new item goes before it; otherwise Push returns ErrFull.
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

// charge moves a caller's fair start on by a gap.
func (q *Queue[T]) charge(caller string, gap time.Duration, now time.Time) {
	state := q.callers[caller]
	if state == nil {
		state = &callerState{finish: now}
		q.callers[caller] = state
	}
	if state.finish.Before(now) {
		state.finish = now
	}
	state.finish = state.finish.Add(gap)
	state.queued++
}

// First returns the entry that is served first, or nil if the queue is empty.
func (q *Queue[T]) First() *Entry[T] {
	if q.Len() == 0 {
		return nil
	}
	return q.first[0]
}

// Remove takes an entry out of the queue. It has no effect on entries that
// have left.
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

// ExpectedWait returns the time until a slot is free for an item behind ahead
// others, when a number of slots serve items of a mean duration.
func ExpectedWait(ahead, slots int, mean time.Duration) time.Duration {
	if slots <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(ahead+1) / float64(slots) * float64(mean))
}
