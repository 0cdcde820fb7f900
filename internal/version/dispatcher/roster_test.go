package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// drain passes the registry's entries to the table, in which a runner drains.
func (h *harness) drain(runner string) {
	infos := h.table.Runners()
	for i := range infos {
		infos[i].Draining = infos[i].Draining || infos[i].ID == runner
	}
	h.table.SetRunners(infos, h.now)
}

func assertRoster(t *testing.T, h *harness, want ...string) {
	t.Helper()
	var ids []string
	for _, info := range h.table.Roster(h.table.Runners(), h.now) {
		ids = append(ids, info.ID)
	}
	if slices.Sort(ids); !slices.Equal(ids, want) {
		t.Errorf("roster %v, want %v", ids, want)
	}
}

func TestRoster(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	on, other := h.addTask()
	assertRoster(t, h, "r0", "r1")
	t.Run("a draining runner stays while something runs there", func(t *testing.T) {
		h.drain(on)
		h.drain(other)
		assertRoster(t, h, on)
	})
	t.Run("and while an end is not durable", func(t *testing.T) {
		h.finishOldest(on)
		assertRoster(t, h, on)
	})
	t.Run("it is released once all has ended", func(t *testing.T) {
		h.table.Saved(h.table.Unsaved(10))
		assertRoster(t, h)
	})
	t.Run("a new incarnation that the registry lists first is not", func(t *testing.T) {
		listed := []RunnerInfo{{ID: on, Service: "s", Lifetime: 2, Draining: true}}
		if roster := h.table.Roster(listed, h.now); len(roster) != 1 || roster[0].ID != on {
			t.Errorf("roster %v, want the new incarnation of %s", roster, on)
		}
	})
	t.Run("a new incarnation is not", func(t *testing.T) {
		h.restart(on)
		assertRoster(t, h, on)
	})
}

// Guards against a new owner that waits for the leases of a runner which nothing was left
// on long before it went away.
func TestNewOwnerDoesNotWaitForReleasedRunners(t *testing.T) {
	former := newHarness(t, 0, 2)
	former.pollAll(2)
	former.drain("r1")
	for _, c := range []struct {
		name   string
		listed bool // the registry still lists the runner
	}{{"gone", false}, {"still listed", true}} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newTakeoverHarness(t, 1)
			h.table.ExpectRunners(former.table.Roster(nil, former.now))
			if c.listed {
				h.table.SetRunners(former.table.Runners(), h.now)
			}
			h.poll("r0")
			h.advance(time.Second)
			h.poll("r0")
			assertStarts(t, h.starts(), 1)
		})
	}
	t.Run("but for others", func(t *testing.T) {
		h, task := newTakeoverHarness(t, 1)
		former.reported["r1"] = []RunStatus{{Task: task, Run: 1}}
		former.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", Steps: []submitter.Step{oneCore(1)}}, nil, former.now)
		former.poll("r1")
		h.table.ExpectRunners(former.table.Roster(nil, former.now))
		h.poll("r0")
		h.advance(time.Second)
		h.poll("r0")
		assertStarts(t, h.starts(), 0)
	})
}

// Guards against a task that is started again although it is done: the runner on which it
// ran had been released, so that the new owner did not wait for the end that its predecessor
// had not saved.
func TestTaskThatEndedOnAReleasedRunnerIsNotStartedAgain(t *testing.T) {
	former := newHarness(t, 0, 2)
	former.pollAll(2)
	on, other := former.addTask()
	former.drain(on)
	former.finishOldest(on)

	h, task := newTakeoverHarness(t, 0)
	h.table.ExpectRunners(former.table.Roster(former.table.Runners(), former.now))
	h.table.SetRunners(former.table.Runners(), h.now)
	for range 2 {
		h.poll(other)
		assertStarts(t, h.starts(), 0)
		h.advance(time.Second)
	}
	h.poll(on, End{Task: task, Run: 1, Kind: Done})
	h.advance(time.Second)
	h.poll(other)
	assertStarts(t, h.starts(), 0)
}

// Guards against a draining runner that counts as released because the roster, which names it,
// can't be read.
func TestNewOwnerWaitsForDrainingRunnersWithoutARoster(t *testing.T) {
	const left = 2 * time.Second
	h, _ := newTakeoverHarness(t, 1)
	h.table.ExpectOtherRunners()
	infos := append(h.table.Runners(), RunnerInfo{ID: "draining", Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1, Draining: true})
	h.table.SetRunners(infos, h.now)
	h.table.MarkSettled([]string{"r0"}, h.now)
	h.table.ExpectLapses(lapsesFrom(h.now, map[string]time.Duration{"draining": left}))
	assertFirstStart(t, h, left, "r0")
}

// Guards against a new owner that starts nothing of what it has taken over while runners join:
// it waited for each of them as if a former owner could have started runs there.
func TestNewOwnerDoesNotWaitForRunnersThatJoin(t *testing.T) {
	h, _ := newTakeoverHarness(t, 1)
	h.table.ExpectRunners(h.table.Runners())
	h.poll("r0")
	h.setRunners(2)
	h.advance(time.Second)
	h.poll("r0")
	assertStarts(t, h.starts(), 1)
	t.Run("but for restarted ones", func(t *testing.T) {
		h.restart("r1")
		h.add("b", "urgent", oneCore(1))
		h.advance(100 * time.Millisecond)
		h.poll("r0")
		assertStarts(t, h.starts(), 0)
	})
}
