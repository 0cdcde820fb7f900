package scheduler

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

func TestRunnerCountBecomesStable(t *testing.T) {
	t.Parallel()
	const span = 400 * time.Millisecond
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &runnerCount{}
	observe := func(runners int, after time.Duration) {
		c.observe(make([]dispatcher.RunnerInfo, runners), start.Add(after))
	}
	assertStable := func(after time.Duration, runners int, want bool) {
		t.Helper()
		if got, ok := c.stable(start.Add(after), span); ok != want || (want && got != runners) {
			t.Errorf("after %s: %d runners, stable %v; want %d, %v", after, got, ok, runners, want)
		}
	}
	assertStable(time.Hour, 0, false)
	observe(20, 0)
	assertStable(300*time.Millisecond, 20, false)
	observe(48, 300*time.Millisecond)
	assertStable(500*time.Millisecond, 48, false)
	observe(48, 600*time.Millisecond) // the number is unchanged
	assertStable(700*time.Millisecond, 48, true)
}
