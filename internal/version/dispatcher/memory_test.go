package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// bestEffortOf returns a step of best-effort tasks that need some memory.
func bestEffortOf(count int, memoryMB int64) submitter.Step {
	step := bestEffort("batch", count)
	step.MemoryMB = memoryMB
	return step
}

// Guards against late best-effort tasks of much memory that never run, as smaller ones take
// what each run leaves. They need hardly any processors, for which room was kept alone.
func TestLateBestEffortTaskOfMuchMemoryRuns(t *testing.T) {
	gang := bestEffortOf(2, 40_000)
	gang.Gang = true
	for _, c := range []struct {
		name    string
		runners int
		small   stream
		step    submitter.Step
		starts  int
	}{
		{"beside best-effort tasks, on one runner", 1, stream{queue: "night", age: 3 * time.Second, fills: true}, bestEffortOf(2, 48_000), 1},
		{"beside best-effort tasks, on several runners", 6, stream{queue: "night", age: 3 * time.Second, fills: true}, bestEffortOf(2, 48_000), 1},
		{"beside best-effort tasks that are on time", 6, stream{queue: "night", fills: true}, bestEffortOf(2, 48_000), 1},
		{"beside tasks that reserve processors", 6, stream{queue: "urgent", age: 3 * time.Second}, bestEffortOf(2, 48_000), 1},
		{"a gang", 6, stream{queue: "night", age: 3 * time.Second, fills: true}, gang, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.small.memoryMB, c.small.ends = 6000, 1
			s := newStream(t, c.runners, c.small)
			s.add("large", "night", c.step)
			s.assertStartsWithin(t, "large", c.starts)
		})
	}
}

// keptOn returns the runners on which room is reserved for a submission.
func (h *harness) keptOn(id string) (runners []string) {
	for _, r := range h.table.reserved {
		for st := range r.reserved.tasks {
			if st.s.sub.ID == id {
				runners = append(runners, r.info.ID)
			}
		}
	}
	return runners
}

func (h *harness) assertKeptOn(id string, want ...string) {
	h.t.Helper()
	if got := h.keptOn(id); !slices.Equal(got, want) {
		h.t.Errorf("room is reserved for %s on %v, want %v", id, got, want)
	}
}

// Guards against memory that is kept where it does not become free for long, or does not help.
func TestMemoryIsKeptWhereItBecomesFree(t *testing.T) {
	newLate := func(t *testing.T) *harness {
		t.Helper()
		h := newHarness(t, 0, 2)
		h.pollAll(2)
		for _, r := range h.table.runners {
			r.used = submitter.Resources{MemoryMB: 40_000}
		}
		h.addAged("large", "night", waitBound, bestEffortOf(1, 40_000))
		return h
	}
	t.Run("rather than where background runs have it", func(t *testing.T) {
		h := newLate(t)
		h.table.runners["r0"].used.MemoryMB = 32_000
		h.table.runners["r0"].background = bestEffortUse{memoryMB: 30_000, runs: 1}
		h.table.Tick(h.now)
		h.assertKeptOn("large", "r1")
	})
	t.Run("rather than where services bear no more", func(t *testing.T) {
		h := newLate(t)
		h.table.runners["r0"].used.MemoryMB = 32_000
		h.table.runners["r0"].halted = true
		h.table.Tick(h.now)
		h.assertKeptOn("large", "r1")
	})
	t.Run("and nowhere if all services bear no more", func(t *testing.T) {
		h := newLate(t)
		h.table.runners["r0"].halted, h.table.runners["r1"].halted = true, true
		h.table.Tick(h.now)
		h.assertKeptOn("large")
	})
	t.Run("and beside background runs once", func(t *testing.T) {
		h := newLate(t)
		for _, r := range h.table.runners {
			r.used = submitter.Resources{MemoryMB: 20_000}
			r.background = bestEffortUse{memoryMB: 20_000, runs: 1}
		}
		h.table.Tick(h.now)
		orders := h.starts()
		assertStarts(t, orders, 1)
		h.addAged("other", "night", waitBound, bestEffortOf(1, 1000))
		h.table.runners["r1"].halted, h.table.runners["r0"].halted = true, true
		h.table.runners[orders[0].Runner].halted = false
		h.table.Tick(h.now)
		h.assertKeptOn("other")
	})
}

// Guards against memory that is kept from work which is on time: of 20 runners that of one.
func TestBestEffortWorkOnTimeKeepsMostOfTheMemory(t *testing.T) {
	const runners = 20
	s := newStream(t, runners, stream{queue: "night", memoryMB: 6000, ends: 1, fills: true})
	for i := range 10 {
		s.addAged(fmt.Sprint("late", i), "night", waitBound, bestEffortOf(5, 64_000))
	}
	starts, onTime := 0, 0
	for range 300 {
		for _, o := range s.pass() {
			starts++
			if s.table.subs[o.Task.Submission].sub.AcceptedAt.After(epoch.Add(-waitBound)) {
				onTime++
			}
		}
		if n := len(s.table.reserved); n > 1 {
			t.Fatalf("memory is reserved on %d runners, want at most one", n)
		}
	}
	if onTime < starts*9/10 {
		t.Errorf("%d of %d starts are of work that is on time, want at least nine tenths", onTime, starts)
	}
}
