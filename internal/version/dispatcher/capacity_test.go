package dispatcher

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// withCores returns the capacity of a test runner that has shrunk to a number of cores.
func withCores(cores int64) submitter.Resources {
	return submitter.Resources{MilliCores: cores * 1000, MemoryMB: testCapacity.MemoryMB}
}

// registerCapacity delivers the registry with another capacity of runner r0.
func (h *harness) registerCapacity(capacity submitter.Resources, lifetime int64) {
	infos := h.table.Roster(nil, h.now)
	for i := range infos {
		if infos[i].ID == "r0" {
			infos[i].Capacity, infos[i].Lifetime = capacity, lifetime
		}
	}
	h.table.SetRunners(infos, h.now)
}

// pollStating answers a poll of runner r0 that was sent some time ago with a report that
// states the capacity.
func (h *harness) pollStating(capacity submitter.Resources, ago time.Duration) {
	sent := h.now.Add(-ago)
	h.now = h.now.Add(time.Millisecond)
	h.table.Report("r0", Report{
		Token: testFence, Lifetime: 1, Clock: h.now.Sub(epoch).Milliseconds() + 1000, Running: h.reported["r0"], Capacity: holder.Known(capacity),
	}, sent, h.now)
}

func assertCapacity(t *testing.T, h *harness, want submitter.Resources) {
	t.Helper()
	if info, _ := h.table.Runner("r0"); info.Capacity != want {
		t.Errorf("capacity %+v, want %+v", info.Capacity, want)
	}
}

// An amount that has shrunk counts at once, whoever says so; one that has grown counts
// unless the statement may be older than one that said less.
func TestCapacityFollowsTheNewestStatement(t *testing.T) {
	t.Parallel()
	registers := func(cores int64) func(h *harness) {
		return func(h *harness) { h.registerCapacity(withCores(cores), 1) }
	}
	reports := func(cores int64, ago time.Duration) func(h *harness) {
		return func(h *harness) { h.pollStating(withCores(cores), ago) }
	}
	for _, test := range []struct {
		name       string
		statements []func(h *harness)
		want       int64
	}{
		{"the registry says less", []func(h *harness){registers(4)}, 4},
		{"the registry says more", []func(h *harness){registers(4), registers(6)}, 6},
		{"the runner says less", []func(h *harness){reports(4, 0)}, 4},
		{"the runner says more", []func(h *harness){reports(4, 0), reports(6, 0)}, 6},
		{"an entry that has not changed", []func(h *harness){reports(4, 0), registers(8)}, 4},
		{"an entry that lags behind the runner", []func(h *harness){reports(4, 0), registers(6)}, 4},
		{"the registry is ahead of the runner", []func(h *harness){reports(8, 0), registers(4)}, 4},
		{"a report under way while the registry says less", []func(h *harness){reports(8, 0), registers(4), reports(8, time.Second)}, 4},
		{"a report after the registry has said less", []func(h *harness){reports(8, 0), registers(4), reports(8, 0)}, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 0, 1)
			h.pollAll(1)
			for _, state := range test.statements {
				h.advance(100 * time.Millisecond)
				state(h)
			}
			assertCapacity(t, h, withCores(test.want))
		})
	}
}

func TestCapacityOfANewIncarnation(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollStating(withCores(4), 0)
	h.registerCapacity(withCores(6), 2)
	assertCapacity(t, h, withCores(6))
	t.Run("is not that of a late entry of the former one", func(t *testing.T) {
		h.registerCapacity(withCores(8), 1)
		assertCapacity(t, h, withCores(6))
	})
}

func TestEachAmountOfACapacityCounts(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollStating(testCapacity, 0)
	h.advance(100 * time.Millisecond)
	h.registerCapacity(submitter.Resources{MilliCores: 4000, MemoryMB: 2 * testCapacity.MemoryMB}, 1)
	assertCapacity(t, h, withCores(4))
}

func TestChangedCapacityIsRecorded(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("a", "urgent", oneCore(6))
	assertStarts(t, h.starts(), 6)
	events := &eventLog{number: EventRunnerCapacity}
	h.table.rec = events
	h.registerCapacity(withCores(4), 1)
	h.registerCapacity(withCores(4), 1)
	if len(events.events) != 1 {
		t.Fatalf("%d events, want one: %v", len(events.events), events.events)
	}
	for field, want := range map[string]string{"runner": "r0", "source": "registry", "before": "8000 milliCores", "after": "4000 milliCores", "used": "6000 milliCores"} {
		if got := events.events[0][field]; !strings.HasPrefix(got, want) {
			t.Errorf("%s %q, want %q", field, got, want)
		}
	}
}

// Guards against starts on a runner that has shrunk, which its registry entry does not say
// yet.
func TestStartsKeepToTheCapacityThatTheRunnerStates(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollStating(withCores(4), 0)
	h.add("a", "urgent", oneCore(8))
	assertStarts(t, h.starts(), 4)
	t.Run("and goes on once it says more", func(t *testing.T) {
		h.pollStating(withCores(6), 0)
		h.advance(2 * blockedPause)
		assertStarts(t, h.starts(), 2)
	})
}
