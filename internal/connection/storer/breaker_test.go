package storer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBreakerProperties checks that an open circuit admits one call for each
// trial, that trials come within a bounded time, and that a success closes it.
func TestBreakerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		breaker := newBreaker()
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		for range breakerThreshold - 1 {
			if breaker.fail(now) || !breaker.allow(now) {
				t.Fatal("opened too early")
			}
		}
		if !breaker.fail(now) || breaker.allow(now) {
			t.Fatal("not opened")
		}
		for range rapid.IntRange(0, 20).Draw(t, "failedTrials") {
			now = now.Add(breakerLongest*3/2 + time.Millisecond)
			if !breaker.allow(now) {
				t.Fatal("no trial within the bound")
			}
			if breaker.allow(now) {
				t.Fatal("two trials at once")
			}
			breaker.fail(now)
		}
		if !breaker.succeed() || !breaker.allow(now) {
			t.Fatal("not closed by a success")
		}
	})
}
