package picker

import (
	"testing"
	"time"
)

func TestFailsConsecutively(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// spared returns the health after 100 outcomes of a runner that is never ejected, as
	// when most other runners are ejected already.
	spared := func(outcomes func(n int) Observation) Health {
		var h Health
		for n := range 100 {
			h = h.With(outcomes(n), time.Millisecond, now).WithEjectionOf(Health{})
		}
		return h
	}
	t.Run("all exchanges fail", func(t *testing.T) {
		assertFailsConsecutively(t, spared(func(int) Observation { return Failed }), true)
	})
	t.Run("two of three fail", func(t *testing.T) {
		assertFailsConsecutively(t, spared(func(n int) Observation {
			if n%3 == 0 {
				return Answered
			}
			return Failed
		}), false)
	})
}

func assertFailsConsecutively(t *testing.T, h Health, want bool) {
	t.Helper()
	if h.IsEjected(time.Time{}) || h.FailsConsecutively() != want {
		t.Errorf("fails consecutively %t, want %t", h.FailsConsecutively(), want)
	}
}
