package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against long-running tasks that lose their runner and find no memory, as slow
// best-effort tasks for which it was kept have it on all other runners.
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
