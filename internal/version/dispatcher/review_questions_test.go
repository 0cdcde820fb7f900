package dispatcher

import (
	"fmt"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against a late best-effort task for which memory is never kept, as longer idle ones of
// other sizes, which no runner bears, use up what a tick may ask.
func TestMemoryIsKeptAlthoughRunnersBearNoneOfManyOthers(t *testing.T) {
	const runners = 66
	for _, others := range []int{0, 10, 40} {
		t.Run(fmt.Sprint(others, " others"), func(t *testing.T) {
			h := newHarness(t, 0, runners)
			h.pollAll(runners)
			for _, r := range h.table.runners {
				r.used, r.expectedUse = submitter.Resources{MilliCores: 7900, MemoryMB: 50_000}, 7900
			}
			for i := range others {
				step := bestEffortOf(1, 30_000)
				step.MilliCores = 4000 + int64(i)
				h.addAged(fmt.Sprintf("other%02d", i), "night", 2*waitBound, step)
			}
			h.addAged("large", "night", waitBound, bestEffortOf(1, 30_000))
			for range 5 {
				h.table.Tick(h.now)
				if len(h.keptOn("large")) != 1 {
					t.Fatalf("memory is kept for the task on %v, want one runner", h.keptOn("large"))
				}
			}
		})
	}
}
