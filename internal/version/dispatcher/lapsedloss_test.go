package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against a submission that fails although no runner has crashed under it: each runner
// that was cut off before a start arrived counted as one that the task had crashed.
func TestRunnersThatWereCutOffHaveNotCrashed(t *testing.T) {
	const runners = 4
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	h.add("a", "urgent", oneCore(1))
	for range 2 * maxCrashes {
		h.table.placementDue = true
		h.table.Schedule(h.now)
		orders := h.table.Orders()
		assertStarts(t, orders, 1)
		h.table.ApplyStart(orders[0], Unanswered, 0, h.now)
		h.table.Orders() // its stop does not arrive either
		cutOff := orders[0].Runner
		for end := h.now.Add(testLimits.MaxLease + 2*time.Second); h.now.Before(end); h.advance(500 * time.Millisecond) {
			for _, info := range h.table.Runners() {
				if info.ID != cutOff {
					h.poll(info.ID)
				}
			}
		}
		h.table.Orders()
		h.poll(cutOff)
	}
	if state, _ := h.table.State("a"); state == submitter.Failed {
		t.Error("the submission has failed, want it to go on")
	}
}
