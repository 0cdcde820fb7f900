package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Guards against long-running tasks that wait although runners have room, as tasks of
// several submissions have failed on all of them.
func TestLongRunningTasksStartOnSuspendedRunners(t *testing.T) {
	const runners, restartBound = 2, 3 * time.Second
	failAll := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t, 0, runners)
		h.pollAll(runners)
		for n := range 2 {
			step := oneCore(runners)
			step.LongRunning, step.MaxPerRunner = true, 1
			h.add(fmt.Sprintf("s%d", n), "urgent", step)
		}
		starts := h.starts()
		assertStarts(t, starts, 2*runners)
		for _, o := range starts {
			h.drop(o)
			h.poll(o.Runner, End{Task: o.Task, Run: o.Run, Kind: Failure})
		}
		h.advance(time.Millisecond)
		return h
	}
	t.Run("once they have waited", func(t *testing.T) {
		h := failAll(t)
		assertStarts(t, h.starts(), 0)
		h.advance(reserveAfter)
		h.pollAll(runners)
		assertStarts(t, h.starts(), 2*runners)
	})
	t.Run("unless another runner has room", func(t *testing.T) {
		h := failAll(t)
		h.setRunners(runners + 1)
		h.advance(reserveAfter)
		h.pollAll(runners + 1)
		onOther := 0
		for _, o := range h.starts() {
			if o.Runner == "r2" {
				onOther++
			}
		}
		if onOther != 2 {
			t.Errorf("%d tasks start on the other runner, want one of each submission", onOther)
		}
	})
	t.Run("but no short tasks", func(t *testing.T) {
		h := failAll(t)
		h.add("short", "urgent", oneCore(1))
		h.advance(restartBound - 100*time.Millisecond)
		h.pollAll(runners)
		for _, o := range h.starts() {
			if o.Task.Submission == "short" {
				t.Errorf("%s starts on %s, which is suspended", o.Task, o.Runner)
			}
		}
	})
}
