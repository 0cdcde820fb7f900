package dispatcher

import (
	"fmt"
	"strings"
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
// what each run leaves.
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

// Guards against long-running tasks that lose their runner and find no memory, as slow
// best-effort tasks have it on all other runners.
func TestInterruptedTaskFindsMemoryBesideBackgroundRuns(t *testing.T) {
	const runners = 4
	for _, late := range []int{0, 2 * runners} {
		t.Run(fmt.Sprint(late, " late best-effort submissions of much memory"), func(t *testing.T) {
			h := newHarness(t, 0, runners)
			infos := h.table.Runners()
			for i := range infos {
				infos[i].Capacity = submitter.Resources{MilliCores: 16_000, MemoryMB: 64_000}
			}
			h.table.SetRunners(infos, h.now)
			h.pollAll(runners)
			h.add("others", "urgent", lasting(runners-1, 9000)) // one on a runner
			assertStarts(t, h.starts(), runners-1)
			service := lasting(1, 5000)
			service.MemoryMB = 20_000
			h.add("service", "urgent", service)
			orders := h.starts()
			assertStarts(t, orders, 1)
			on := orders[0].Runner
			n := 0
			pass := func() {
				h.advance(100 * time.Millisecond)
				h.work()
				for _, info := range h.table.Runners() {
					if !h.table.runners[info.ID].isRegistered {
						continue
					}
					ended := false
					for _, row := range h.reported[info.ID] {
						if strings.HasPrefix(row.Task.Submission, "small") {
							h.drop(Order{Runner: info.ID, Task: row.Task, Run: row.Run})
							h.poll(info.ID, End{Task: row.Task, Run: row.Run, Kind: Done})
							ended = true
							break
						}
					}
					if !ended {
						h.poll(info.ID)
					}
				}
				for range runners {
					h.addAged(fmt.Sprintf("small%06d", n), "urgent", 3*time.Second, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 300, MemoryMB: 6000}, Estimate: time.Second})
					n++
				}
				h.starts()
			}
			for range 20 {
				pass()
			}
			for i := range late {
				step := bestEffortOf(1, 50_000)
				step.MilliCores, step.Estimate = 16_000, 10*time.Second // 200 s in the background
				h.addAged(fmt.Sprint("large", i), "night", waitBound, step)
			}
			for range 1200 { // two minutes
				pass()
			}
			large := 0
			for _, r := range h.table.runners {
				large += r.background.runs
			}
			h.unregister(on)
			lost := h.now
			for h.now.Sub(lost) < waitBound {
				pass()
				if st := h.table.subs["service"].occs[0].steps[0]; st.waiting == 0 && h.table.runners[on] == nil {
					t.Logf("runs again after %s, with %d background runs", h.now.Sub(lost), large)
					return
				}
			}
			t.Errorf("the long-running task has no run for %s after its runner was lost, with %d background runs", h.now.Sub(lost), large)
		})
	}
}

// Guards against urgent work that waits, with most of the free processors unused, for the memory
// of a slow run in the background.
func TestUrgentWorkDoesNotWaitForMemoryOfBackgroundRuns(t *testing.T) {
	const urgent, bound = 30, 5 * time.Second
	for _, c := range []struct {
		name    string
		isLarge bool
	}{{"alone", false}, {"beside a late task of much memory", true}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, 1)
			h.pollAll(1)
			h.add("service", "urgent", lasting(1, 4000))
			assertStarts(t, h.starts(), 1)
			slow := bestEffortOf(1, 20_000)
			slow.MilliCores = 8000
			h.addAged("slow", "night", waitBound, slow)
			assertStarts(t, h.starts(), 1)
			if x := h.anyRun("slow"); !x.isSlow {
				t.Fatal("the best-effort task does not run in the background")
			}
			if c.isLarge {
				slow.MemoryMB = 60_000
				h.addAged("large", "night", waitBound, slow)
			}
			var worst time.Duration
			started := make(map[string]time.Time)
			added := make(map[string]time.Time)
			for n := range 600 { // a minute
				h.advance(100 * time.Millisecond)
				h.pollAll(1)
				if n%20 == 0 {
					id := fmt.Sprint("urgent", n/20)
					h.add(id, "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second})
					added[id] = h.now
				}
				for _, o := range h.starts() {
					started[o.Task.Submission] = h.now
				}
				for _, row := range append([]RunStatus(nil), h.reported["r0"]...) {
					if at, ok := started[row.Task.Submission]; ok && h.now.Sub(at) >= time.Second && added[row.Task.Submission] != (time.Time{}) {
						h.drop(Order{Runner: "r0", Task: row.Task, Run: row.Run})
						h.poll("r0", End{Task: row.Task, Run: row.Run, Kind: Done})
					}
				}
			}
			for id, at := range added {
				until, ok := started[id]
				if !ok {
					until = h.now
				}
				worst = max(worst, until.Sub(at))
			}
			if worst > bound {
				t.Errorf("urgent tasks of 1 core wait for up to %s, %d of %d have started within a minute, with %d milliCores free at its end; want at most %s",
					worst, len(started), urgent, h.table.runners["r0"].free().MilliCores, bound)
			}
		})
	}
}
