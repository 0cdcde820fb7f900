package conductor

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Load: many starts wait when submissions are cancelled, or when best-effort tasks disturb a
// service. What runs has to stop or slow down in time.
func TestStopsAndPacesAreSentBeforeStarts(t *testing.T) {
	t.Parallel()
	var q orderQueue
	q.push([]dispatcher.Order{
		{Kind: dispatcher.Pace, Run: 1}, {Kind: dispatcher.Start, Run: 2}, {Kind: dispatcher.Start, Run: 3}, {Kind: dispatcher.Stop, Run: 4},
	}, 1, time.Now())
	var runs []int64
	for next, ok := q.pop(); ok; next, ok = q.pop() {
		runs = append(runs, next.Run)
	}
	if want := []int64{4, 1, 2, 3}; !slices.Equal(runs, want) {
		t.Errorf("sent in the order %v, want %v", runs, want)
	}
}

func TestSendersAreLimited(t *testing.T) {
	t.Parallel()
	var q orderQueue
	orders := make([]dispatcher.Order, 3)
	assertMissing := func(want int) {
		t.Helper()
		if got := q.push(orders, 4, time.Now()); got != want {
			t.Errorf("%d senders are missing, want %d", got, want)
		}
	}
	assertMissing(3)
	assertMissing(1)
	assertMissing(0)
	t.Run("an idle one ends and is replaced", func(t *testing.T) {
		for range 10 {
			q.pop()
		}
		assertMissing(1)
	})
}
