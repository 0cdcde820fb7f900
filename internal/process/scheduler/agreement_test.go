package scheduler

import (
	"testing"
	"time"
)

func TestRunnerCountBecomesStable(t *testing.T) {
	t.Parallel()
	const span = 400 * time.Millisecond
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &runnerCount{}
	assertStable := func(name string, want bool) {
		t.Helper()
		if got := c.isStable(span); got != want {
			t.Errorf("%s: stable %t, want %t", name, got, want)
		}
	}
	observe := func(runners int, after time.Duration) { c.observe(runners, start.Add(after)) }
	assertStable("before any read", false)
	observe(0, 0)
	observe(0, time.Hour)
	assertStable("without runners", false)
	observe(20, 2*time.Hour)
	assertStable("after one read, however old it is", false)
	observe(20, 2*time.Hour+300*time.Millisecond)
	assertStable("after 300 ms", false)
	observe(48, 2*time.Hour+500*time.Millisecond)
	assertStable("after a change", false)
	observe(48, 2*time.Hour+900*time.Millisecond)
	assertStable("after 400 ms", true)
}
