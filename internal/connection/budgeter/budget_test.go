package budgeter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestBudgetStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const megabits, daemons = 30.0, 8
		perSecond := int64(megabits * bitsPerMegabit / 8 * requestShare / daemons)
		b := New()
		b.Set(megabits, daemons, start)
		now, reserved := start, int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			bytes := int64(rapid.IntRange(1, 1<<20).Draw(t, "bytes"))
			if b.Reserve(bytes, now) {
				reserved += bytes
			}
			allowed := perSecond + int64(float64(perSecond)*now.Sub(start).Seconds()) + 1
			if reserved > allowed {
				t.Fatalf("%d bytes reserved, %d allowed", reserved, allowed)
			}
		}
	})
}

func TestBudgetRefuses(t *testing.T) {
	t.Run("everything until it is set", func(t *testing.T) { assertReserve(t, New(), 1, start, false) })
	b := New()
	b.Set(30, 8, start)
	filled := start.Add(burst)
	t.Run("a body of more than its share of the burst", func(t *testing.T) { assertReserve(t, b, 1<<20, filled, false) })
	t.Run("no small body", func(t *testing.T) { assertReserve(t, b, 1<<10, filled, true) })
	t.Run("everything until charged bytes are refilled", func(t *testing.T) {
		b.Charge(1<<20, filled)
		assertReserve(t, b, 1<<10, filled, false)
	})
}

func assertReserve(t *testing.T, b *Budget, bytes int64, now time.Time, want bool) {
	t.Helper()
	if got := b.Reserve(bytes, now); got != want {
		t.Errorf("Reserve(%d) = %t, want %t", bytes, got, want)
	}
}
