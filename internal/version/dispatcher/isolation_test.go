package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against suspects that have waited for a runner of their own, are then put on one
// together, and are lost together once more, until tasks that crash nothing are given up.
func TestSuspectsAreNeverPutTogether(t *testing.T) {
	const runners = 2
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	for i := range 3 {
		id := fmt.Sprint("suspect", i)
		crashed := submitter.StepProgress{Crashes: map[int][]submitter.Crash{0: {{Run: 1, Runner: "gone"}}}}
		sub := &submitter.Submission{ID: id, Queue: "urgent", Steps: []submitter.Step{oneCore(1)}, AcceptedAt: h.now}
		h.table.Add(sub, &submitter.Progress{Steps: []submitter.StepProgress{crashed}}, h.now)
	}
	h.advance(isolationPatience)
	h.pollAll(runners)
	starts := h.starts()
	assertStarts(t, starts, runners)
	if starts[0].Runner == starts[1].Runner {
		t.Errorf("two suspects were started on %s", starts[0].Runner)
	}
	t.Run("the third once another has proved harmless", func(t *testing.T) {
		h.pollAll(runners)
		h.advance(probation + time.Millisecond)
		h.pollAll(runners)
		assertStarts(t, h.starts(), 1)
	})
}

// Guards against taking a task that is kept from all runners as it may have crashed others
// for one without room: nothing of its size was started any more.
func TestTaskThatIsKeptApartHoldsUpNoOthers(t *testing.T) {
	const runners = 2
	newSuspects := func(t *testing.T, step submitter.Step) *harness {
		t.Helper()
		h := newHarness(t, 0, runners)
		h.pollAll(runners)
		for i := range runners + 1 {
			crashed := submitter.StepProgress{Crashes: map[int][]submitter.Crash{0: {{Run: 1, Runner: "gone"}}}}
			sub := &submitter.Submission{ID: fmt.Sprint("suspect", i), Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: h.now}
			h.table.Add(sub, &submitter.Progress{Steps: []submitter.StepProgress{crashed}}, h.now)
		}
		h.add("tried last", "urgent", oneCore(1))
		h.advance(isolationPatience)
		h.pollAll(runners)
		return h
	}
	t.Run("of other submissions", func(t *testing.T) {
		h := newSuspects(t, oneCore(1))
		assertStarts(t, h.starts(), runners+1)
	})
	t.Run("of the same step", func(t *testing.T) {
		h := newSuspects(t, oneCore(2))
		assertStarts(t, h.starts(), runners+runners+1+1)
	})
}
