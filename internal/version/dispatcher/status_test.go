package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

func TestStatus(t *testing.T) {
	h := newHarness(t, 1, 2)
	long := submitter.Step{Count: 3, Resources: submitter.Resources{MilliCores: 6000}, LongRunning: true}
	h.add("long", "urgent", long)
	h.poll("r0")
	h.advance(time.Second)
	h.poll("r0")
	h.starts()

	t.Run("one runner is awaited", func(t *testing.T) {
		log := &eventLog{number: EventWaiting}
		h.table.rec = log
		h.advance(warnAfter)
		want := Status{Runners: 2, Awaited: 1, Capacity: 16_000, Free: 16_000, Waiting: 3, LongestWaitMS: 3001}
		assertStatus(t, h, want)
		assertEvent(t, log, "awaits", "r1")
	})
	t.Run("all runs are known", func(t *testing.T) {
		log := &eventLog{number: EventRunsKnown}
		h.table.rec = log
		h.poll("r1")
		h.advance(time.Second)
		h.pollAll(2)
		h.starts()
		h.advance(time.Millisecond)
		assertStatus(t, h, Status{Runners: 2, Capacity: 16_000, Free: 4000, LongRunning: 12_000, Waiting: 1, LongestWaitMS: 4005})
		assertEvent(t, log, "awaited", "r1")
	})
}

func assertStatus(t *testing.T, h *harness, want Status) {
	t.Helper()
	if got := h.table.Status(h.now); got != want {
		t.Errorf("status %+v, want %+v", got, want)
	}
}

// assertEvent checks that one event was recorded, with a value of a field.
func assertEvent(t *testing.T, log *eventLog, field, want string) {
	t.Helper()
	if len(log.events) != 1 || log.events[0][field] != want {
		t.Errorf("events %v, want one with %s=%s", log.events, field, want)
	}
}
