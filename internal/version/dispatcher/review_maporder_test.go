package dispatcher

import (
	"fmt"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against ticks that decide by the order of a map: which runners are asked before the
// questions of a tick are used up.
func TestKeptMemoryDoesNotDependOnTheOrderOfRunners(t *testing.T) {
	const runners, others, ticks = 66, 30, 50
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	for id, r := range h.table.runners {
		r.used, r.expectedUse = submitter.Resources{MilliCores: 7900, MemoryMB: 50_000}, 7900
		r.halted = id != "r7"
	}
	h.table.runners["r7"].expectedUse = 7990 // bears only the task of 100 milliCores
	for i := range others {
		step := bestEffortOf(1, 30_000)
		step.MilliCores = 4000 + int64(i)
		h.addAged(fmt.Sprintf("other%02d", i), "night", 2*waitBound, step)
	}
	step := bestEffortOf(1, 30_000)
	step.MilliCores = 100
	h.addAged("small", "night", waitBound, step)
	kept := 0
	for range ticks {
		h.table.Tick(h.now)
		kept += len(h.keptOn("small"))
	}
	if kept != 0 && kept != ticks {
		t.Errorf("memory is kept for the task at %d of %d ticks at which nothing has changed, want all or none", kept, ticks)
	}
}
