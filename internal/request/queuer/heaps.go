package queuer

import "container/heap"

// A firstHeap is a heap with the entry that is served first on top.
type firstHeap[T any] []*Entry[T]

// A lastHeap is a heap with the entry that is served last on top.
type lastHeap[T any] []*Entry[T]

var (
	_ heap.Interface = (*firstHeap[int])(nil)
	_ heap.Interface = (*lastHeap[int])(nil)
)

// isBefore reports whether a is served before b.
func isBefore[T any](a, b *Entry[T]) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}

// Len implements heap.Interface.
func (h firstHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h firstHeap[T]) Less(i, j int) bool { return isBefore(h[i], h[j]) }

// Swap implements heap.Interface.
func (h firstHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].first, h[j].first = i, j
}

// Push implements heap.Interface.
func (h *firstHeap[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.first = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *firstHeap[T]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return entry
}

// Len implements heap.Interface.
func (h lastHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lastHeap[T]) Less(i, j int) bool { return isBefore(h[j], h[i]) }

// Swap implements heap.Interface.
func (h lastHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].last, h[j].last = i, j
}

// Push implements heap.Interface.
func (h *lastHeap[T]) Push(x any) {
	entry := x.(*Entry[T])
	entry.last = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *lastHeap[T]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return entry
}
