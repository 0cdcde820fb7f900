package tails

import (
	"slices"
	"testing"
	"time"
)

func TestQueueServesTheEarliestDeadlineFirst(t *testing.T) {
	q := newQueue(1)
	for number, deadline := range []time.Duration{3, 1, 2, 1} {
		q.push(entry{deadline: deadline, number: number})
	}
	var order []int
	for number, _, ok := q.pop(); ok; number, _, ok = q.pop() {
		order = append(order, number)
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("order = %v, want %v", order, want)
	}
}

func TestQueueFillsIncludedRunnersEvenly(t *testing.T) {
	q := newQueue(3)
	q.excluded[1] = true
	for number := range 3 * slotsPerRunner {
		q.push(entry{number: number})
	}
	for range slotsPerRunner {
		q.pop()
	}
	if want := []int{slotsPerRunner / 2, 0, slotsPerRunner / 2}; !slices.Equal(q.inUse, want) {
		t.Errorf("in use = %v, want %v", q.inUse, want)
	}
	for range slotsPerRunner {
		q.pop()
	}
	if _, _, ok := q.pop(); ok {
		t.Error("pop returned more slots than the runners that are not excluded have")
	}
	q.release(2)
	if _, runner, ok := q.pop(); !ok || runner != 2 {
		t.Errorf("pop = runner %d, %t, want runner 2, whose slot was released", runner, ok)
	}
}
