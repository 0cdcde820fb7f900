package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against a best-effort gang whose memory is kept on one runner, which bears only one of
// its members, so that the gang never starts and the memory stays empty.
func TestMemoryOfAGangIsKeptWhereItsMembersStart(t *testing.T) {
	const runners = 2
	h := newHarness(t, 0, runners)
	infos := h.table.Runners()
	for i := range infos {
		infos[i].Capacity = submitter.Resources{MilliCores: 16_000, MemoryMB: 64_000}
		if infos[i].ID == "r1" {
			infos[i].Labels = []string{"fast"}
		}
	}
	h.table.SetRunners(infos, h.now)
	h.pollAll(runners)
	lastingStep := lasting(2, 14_500)
	lastingStep.MaxPerRunner = 1
	h.add("service", "urgent", lastingStep)
	assertStarts(t, h.starts(), 2)
	n := 0
	feed := func(tasks int) {
		for range tasks {
			h.addAged(fmt.Sprintf("small%06d", n), "urgent", 3*time.Second, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 10, MemoryMB: 6000}, RequiredLabel: "fast", Estimate: time.Second})
			n++
		}
	}
	feed(30)
	h.starts()
	gang := bestEffortOf(2, 20_000)
	gang.MilliCores, gang.Gang = 20_000, true
	h.addAged("gang", "night", waitBound, gang)
	empty := 0
	for range 1200 {
		h.advance(100 * time.Millisecond)
		for i := range runners {
			id := fmt.Sprint("r", i)
			ended := false
			for _, row := range h.reported[id] {
				if strings.HasPrefix(row.Task.Submission, "small") {
					h.drop(Order{Runner: id, Task: row.Task, Run: row.Run})
					h.poll(id, End{Task: row.Task, Run: row.Run, Kind: Done})
					ended = true
					break
				}
			}
			if !ended {
				h.poll(id)
			}
		}
		feed(3)
		h.starts()
		if h.anyRun("gang") != nil {
			return
		}
		for _, r := range h.table.runners {
			if r.reserved != nil && r.free().MemoryMB >= 40_000 {
				empty++
			}
		}
	}
	t.Errorf("the gang has not started within 2 min; room is kept on %v, where its memory was free and empty for %s", h.keptOn("gang"), time.Duration(empty)*100*time.Millisecond)
}
