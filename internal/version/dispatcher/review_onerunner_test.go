package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against urgent work that waits, with most of the free processors unused, for a slow
// run in the background whose memory is kept for another best-effort task.
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
