package dispatcher

import (
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against new long-running tasks that never start, as room is kept for tasks that may
// run on no runner, or on no further one.
func TestNoRoomIsOwedToTasksThatNoRunnerTakes(t *testing.T) {
	apart := lasting(40, 1000)
	apart.MaxPerRunner = 1
	labelled := lasting(40, 1000)
	labelled.RequiredLabel = "none"
	for _, c := range []struct {
		name string
		step submitter.Step
		runs int
	}{
		{"limit per runner", apart, 2},
		{"label that no runner has", labelled, 0},
		{"larger than any runner", lasting(40, 9000), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.add("old", "urgent", c.step) // accepted by a former owner
			for range 2 {
				h.pollAll(2)
				h.advance(2 * reserveAfter)
			}
			h.pollAll(2)
			assertStarts(t, h.starts(), c.runs)
			for range 3 {
				h.advance(reserveAfter)
				h.pollAll(2)
			}
			sub := &submitter.Submission{ID: "new", Queue: "urgent", Steps: []submitter.Step{lasting(3, 1000)}, Owner: testFence}
			h.table.Add(sub, nil, h.now)
			assertStarts(t, h.starts(), 3)
		})
	}
}
