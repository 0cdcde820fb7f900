package scheduler

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

func TestCensusSettles(t *testing.T) {
	t.Parallel()
	const span = 400 * time.Millisecond
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &census{}
	take := func(runners int, after time.Duration) {
		c.take(make([]dispatcher.RunnerInfo, runners), start.Add(after))
	}
	assertSettled := func(after time.Duration, runners int, want bool) {
		t.Helper()
		if got, ok := c.settled(start.Add(after), span); ok != want || (want && got != runners) {
			t.Errorf("after %s: %d runners, settled %v; want %d, %v", after, got, ok, runners, want)
		}
	}
	assertSettled(time.Hour, 0, false)
	take(20, 0)
	assertSettled(300*time.Millisecond, 20, false)
	take(48, 300*time.Millisecond)
	assertSettled(500*time.Millisecond, 48, false)
	take(48, 600*time.Millisecond) // the same again
	assertSettled(700*time.Millisecond, 48, true)
}
