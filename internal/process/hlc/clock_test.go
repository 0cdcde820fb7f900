package hlc

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestClock(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	t.Run("readings grow even if the wall clock goes back", func(t *testing.T) {
		rapid.Check(t, func(r *rapid.T) {
			var clock Clock
			last := uint64(0)
			for range rapid.IntRange(1, 50).Draw(r, "events") {
				now := start.Add(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(r, "offset")))
				reading := clock.Now(now)
				if reading <= last {
					r.Fatalf("reading %d after %d", reading, last)
				}
				last = reading
			}
		})
	})
	t.Run("a received reading is greater than the sent one", func(t *testing.T) {
		var fast, slow Clock
		sent := fast.Now(start.Add(time.Second))
		received, plausible := slow.Observe(sent, start)
		assertPlausible(t, plausible, true)
		if received <= sent {
			t.Errorf("received at %d, sent at %d", received, sent)
		}
	})
	t.Run("a reading far ahead is ignored", func(t *testing.T) {
		var clock Clock
		wrong := physical(start.Add(time.Hour))
		reading, plausible := clock.Observe(wrong, start)
		assertPlausible(t, plausible, false)
		if reading >= wrong {
			t.Errorf("clock followed an implausible reading")
		}
	})
}

func assertPlausible(t *testing.T, got, want bool) {
	t.Helper()
	if got != want {
		t.Errorf("plausible = %t, want %t", got, want)
	}
}
