package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// Guards against best-effort work for which a runner has room at full speed and that doesn't
// start, since another submission's start in the background waits for a pace there.
func TestStartsAtFullSpeedDoNotWaitForThePaceOfOthers(t *testing.T) {
	const late = 40
	h, _ := newContendedHarness(t)
	for i := range late {
		h.addAged(fmt.Sprintf("late%02d", i), "night", waitBound, bestEffort("batch", 1))
	}
	h.add("fresh", "night", bestEffort("batch", 1))
	h.reportTail(4)
	for n := range late {
		h.startsPaced()
		if h.anyRun("fresh") != nil {
			if n > 0 {
				t.Errorf("the task that fits at full speed starts in pass %d, want the first one", n+1)
			}
			return
		}
		h.reportTail(4)
	}
	t.Errorf("the task that fits at full speed has not started in %d passes over %s, want the first one", late, time.Duration(late)*blockedBestEffortPause)
}
