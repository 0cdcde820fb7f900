package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newDisturbed returns a harness of many runners with services that bear no best-effort task, and
// late best-effort submissions of different sizes.
func newDisturbed(t *testing.T, late int) *harness {
	t.Helper()
	const runners = 190
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	service := serving("web")
	service.Count, service.MaxPerRunner = runners, 1
	h.add("svc", "urgent", service)
	for range 3 {
		h.starts()
	}
	for _, r := range h.table.runners {
		r.room["web"], r.roomAt, r.halted = -1, h.now, len(r.services) == 0
	}
	for i := range late {
		step := bestEffort("batch", 1)
		step.Resources = submitter.Resources{MilliCores: 8000 - int64(i), MemoryMB: 8000}
		h.addAged(fmt.Sprintf("late%03d", i), "night", waitBound, step)
	}
	return h
}

// shortestTick returns the shortest time that one of some ticks takes.
func (h *harness) shortestTick(ticks int) time.Duration {
	shortest := time.Hour
	for range ticks {
		since := time.Now()
		h.table.Tick(h.now)
		shortest = min(shortest, time.Since(since))
	}
	return shortest
}

// Guards against ticks whose duration grows with the number of late best-effort submissions, of
// which each asks each runner.
func TestTicksAreBoundedBesideManyLateBestEffortSubmissions(t *testing.T) {
	few, many := newDisturbed(t, 20).shortestTick(20), newDisturbed(t, 300).shortestTick(20)
	if many > 5*few {
		t.Errorf("a tick takes %s beside 300 late submissions and %s beside 20, want at most five times as long", many, few)
	}
}
