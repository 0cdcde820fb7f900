package pauser

import (
	"context"
	"testing"
	"time"
)

func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	t.Run("waits", func(t *testing.T) { assertSleep(t, t.Context(), time.Millisecond, true) })
	t.Run("no time", func(t *testing.T) { assertSleep(t, t.Context(), 0, true) })
	t.Run("context ended", func(t *testing.T) { assertSleep(t, ended, time.Hour, false) })
	t.Run("context ended, no time", func(t *testing.T) { assertSleep(t, ended, 0, false) })
}

func TestNewBackoffIsBounded(t *testing.T) {
	delays := NewBackoff(time.Second, 4*time.Second)
	for range 100 {
		if delay := delays.NextBackOff(); delay <= 0 || delay > 6*time.Second {
			t.Fatalf("delay of %s, want one of at most the longest and its jitter", delay)
		}
	}
}

//nolint:revive // The test comes first, as in every assertion function.
func assertSleep(t *testing.T, ctx context.Context, length time.Duration, want bool) {
	t.Helper()
	if got := Sleep(ctx, length); got != want {
		t.Errorf("Sleep = %t, want %t", got, want)
	}
}
