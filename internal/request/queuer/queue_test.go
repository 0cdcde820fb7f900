package queuer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestQueueOrder(t *testing.T) {
	push := func(t *testing.T, q *Queue[string], name, caller string, slack time.Duration, cost int) {
		t.Helper()
		item := Item[string]{Value: name, Caller: caller, Deadline: start.Add(slack), MissCost: cost}
		if _, _, err := q.Push(item, 100*time.Millisecond, start); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("earlier deadlines first", func(t *testing.T) {
		q := New[string](10)
		push(t, q, "late", "a", 2*time.Second, 0)
		push(t, q, "soon", "b", time.Second, 0)
		assertOrder(t, q, "soon", "late")
	})
	t.Run("higher miss costs first", func(t *testing.T) {
		q := New[string](10)
		push(t, q, "cheap", "a", time.Second, 0)
		push(t, q, "dear", "b", 1500*time.Millisecond, 100)
		assertOrder(t, q, "dear", "cheap")
	})
	t.Run("one caller's items don't delay another caller's first item", func(t *testing.T) {
		q := New[string](10)
		push(t, q, "a1", "a", time.Second, 0)
		push(t, q, "a2", "a", time.Second, 0)
		push(t, q, "a3", "a", time.Second, 0)
		push(t, q, "b1", "b", time.Second, 0)
		assertOrder(t, q, "a1", "b1", "a2", "a3")
	})
	t.Run("a full queue displaces the last entry or refuses the new item", func(t *testing.T) {
		q := New[string](1)
		push(t, q, "late", "a", 2*time.Second, 0)
		_, displaced, err := q.Push(Item[string]{Value: "soon", Caller: "b", Deadline: start.Add(time.Second)}, 0, start)
		if err != nil || displaced == nil || displaced.Item.Value != "late" {
			t.Errorf("displaced %v, %v", displaced, err)
		}
		_, _, err = q.Push(Item[string]{Caller: "c", Deadline: start.Add(time.Minute)}, 0, start)
		if !errors.Is(err, ErrFull) {
			t.Errorf("error = %v, want ErrFull", err)
		}
	})
}

func assertOrder(t *testing.T, q *Queue[string], want ...string) {
	t.Helper()
	for _, name := range want {
		entry := q.First()
		if entry == nil || entry.Item.Value != name {
			t.Fatalf("first = %v, want %s", entry, name)
		}
		q.Remove(entry)
	}
}

// Guards against starvation: one caller has up to 200 requests with a high miss
// cost in the queue and adds another for each one served. The request of a
// second caller must still be served within a bounded number of turns.
func TestQueueServesEveryCallerInBoundedTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](1000)
		now := start
		const gap = 10 * time.Millisecond
		flood := rapid.IntRange(1, 200).Draw(t, "flood")
		cost := rapid.IntRange(0, 1000).Draw(t, "cost")
		for i := range flood {
			_, _, _ = q.Push(Item[string]{Value: fmt.Sprint(i), Caller: "flood", Deadline: now.Add(time.Second), MissCost: cost}, gap, now)
		}
		_, _, _ = q.Push(Item[string]{Value: "quiet", Caller: "quiet", Deadline: now.Add(time.Second)}, gap, now)
		for turn := 0; ; turn++ {
			first := q.First()
			if first.Item.Value == "quiet" {
				return
			}
			if turn > int(time.Second/gap)+1 {
				t.Fatalf("the quiet caller's request is still queued after %d turns", turn)
			}
			q.Remove(first)
			now = now.Add(gap)
			_, _, _ = q.Push(Item[string]{Value: "more", Caller: "flood", Deadline: now.Add(time.Second), MissCost: cost}, gap, now)
		}
	})
}

func TestQueueStaysBoundedAndOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 8).Draw(t, "capacity")
		q := New[int](capacity)
		var entries []*Entry[int]
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * time.Millisecond)
			if len(entries) > 0 && rapid.Bool().Draw(t, "remove") {
				q.Remove(entries[rapid.IntRange(0, len(entries)-1).Draw(t, "which")])
			}
			entry, _, err := q.Push(Item[int]{
				Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
				Deadline: now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "slack")) * time.Millisecond),
				MissCost: rapid.IntRange(0, 200).Draw(t, "cost"),
			}, time.Millisecond, now)
			if err == nil {
				entries = append(entries, entry)
			}
			if q.Len() > capacity {
				t.Fatalf("%d items in a queue of %d", q.Len(), capacity)
			}
		}
		var last time.Time
		for entry := q.First(); entry != nil; entry = q.First() {
			if entry.rank.Before(last) {
				t.Fatal("served out of order")
			}
			last = entry.rank
			q.Remove(entry)
		}
		if q.Callers() != 0 {
			t.Fatalf("an empty queue reports %d callers", q.Callers())
		}
	})
}
