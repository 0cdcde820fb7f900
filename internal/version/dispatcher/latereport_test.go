package dispatcher

import (
	"testing"
	"time"
)

// Guards against a wait that begins anew, as a runner that was cut off lists the end of a run
// that this owner has long taken for ended.
func TestLateReportOfALapsedRunDoesNotBeginTheWaitAnew(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.add("a", "urgent", large(1))
	h.table.runners["r0"].info.Capacity, h.table.runners["r1"].info.Capacity = large(1).Resources, large(1).Resources
	orders := h.starts()
	assertStarts(t, orders, 1)
	on, other := orders[0].Runner, "r0"
	if on == "r0" {
		other = "r1"
	}
	h.pollAll(2)
	h.table.runners[other].used = testCapacity
	for range 300 {
		h.advance(100 * time.Millisecond)
		h.poll(other)
	}
	occ := h.table.subs["a"].occs[0]
	if occ.runs > 0 {
		t.Fatal("the run has not lapsed")
	}
	idleSince := occ.idleSince()
	h.drop(orders[0])
	h.poll(on, End{Task: orders[0].Task, Run: orders[0].Run, Kind: Lapsed})
	if got := occ.idleSince(); !got.Equal(idleSince) {
		t.Errorf("idle for %s after the report, want still %s", h.now.Sub(got), h.now.Sub(idleSince))
	}
}
