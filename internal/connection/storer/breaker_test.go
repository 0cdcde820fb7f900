package storer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBreakerProperties checks that an open circuit allows one call per probe,
// that the next probe is allowed within a bounded time, and that a success closes
// the circuit.
func TestBreakerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		breaker := newBreaker()
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		for range breakerThreshold - 1 {
			if breaker.recordFailure(now) || !breaker.allow(now) {
				t.Fatal("opened too early")
			}
		}
		if !breaker.recordFailure(now) || breaker.allow(now) {
			t.Fatal("not opened")
		}
		for range rapid.IntRange(0, 20).Draw(t, "failedTrials") {
			now = now.Add(breakerLongest*3/2 + time.Millisecond)
			if !breaker.allow(now) {
				t.Fatal("no probe within the bound")
			}
			if breaker.allow(now) {
				t.Fatal("two probes at once")
			}
			breaker.recordFailure(now)
		}
		if !breaker.recordSuccess() || !breaker.allow(now) {
			t.Fatal("not closed by a success")
		}
	})
}
