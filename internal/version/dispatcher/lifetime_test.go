package dispatcher

import (
	"testing"
	"time"
)

// restart restarts the process of a runner under its ID, and passes the new registry
// entry to the table.
func (h *harness) restart(runner string) {
	h.lifetimes[runner] = h.lifetime(runner) + 1
	h.bornAt[runner], h.ends[runner], h.reported[runner] = h.now, 0, nil
	h.register(runner)
}

// register passes the registry's entries to the table, that of one runner with its newest
// incarnation.
func (h *harness) register(runner string) {
	infos := h.table.Runners()
	for i := range infos {
		if infos[i].ID == runner {
			infos[i].Lifetime = h.lifetime(runner)
		}
	}
	h.table.SetRunners(infos, h.now)
}

// Guards against taking the clock of a former incarnation for that of the runner. Its late
// answer hid all further reports, and what ran on the runner was started again elsewhere.
func TestLateAnswerOfAFormerIncarnation(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.advance(time.Hour)
	h.pollAll(2)
	before := h.clock("r0")
	h.restart("r0")
	h.table.ObserveClock("r0", 0, before, h.now)
	h.pollAll(2)
	h.add("a", "urgent", oneCore(10))
	assertStarts(t, h.starts(), 10)
	for range 20 {
		h.advance(500 * time.Millisecond)
		assertStarts(t, h.starts(), 0)
		h.pollAll(2)
	}
}
