package dispatcher

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const sharedLossRunners = 8

// newSharedLoss returns a harness in which a task of the submission "bystander" and one of
// "crashing" were on probation together when their runner was lost.
func newSharedLoss(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 0, sharedLossRunners)
	h.pollAll(sharedLossRunners)
	h.add("bystander", "urgent", oneCore(1))
	h.add("crashing", "urgent", oneCore(1))
	if lost := h.loseUnder("bystander", "crashing"); len(lost) != 1 {
		t.Fatalf("the tasks were started on %v, want one runner", lost)
	}
	return h
}

// loseUnder starts what waits, and loses the runners on which tasks of the submissions
// were started. All else outlives its probation.
func (h *harness) loseUnder(ids ...string) (lost []string) { return h.lose(h.starts(), ids...) }

// lose loses the runners of the starts of tasks of the submissions, and returns them.
func (h *harness) lose(starts []Order, ids ...string) (lost []string) {
	on := make(map[string]bool)
	for _, o := range starts {
		if slices.Contains(ids, o.Task.Submission) {
			on[o.Runner] = true
		}
	}
	h.pollAll(sharedLossRunners)
	lost = slices.Sorted(maps.Keys(on))
	for _, runner := range lost {
		h.restart(runner)
	}
	h.advance(lossWindow + time.Millisecond)
	h.pollAll(sharedLossRunners)
	h.table.Saved(h.table.Unsaved(10))
	return lost
}

func (h *harness) assertState(id string, want submitter.State) {
	h.t.Helper()
	if state, _ := h.table.State(id); state != want {
		h.t.Errorf("submission %s is %s, want %s", id, state, want)
	}
}

// Guards against giving up a submission that crashes nothing: one of the three runners that
// were lost under it was lost to a task of another submission beside it.
func TestLossThatAnotherTaskMayHaveCausedIsNotCounted(t *testing.T) {
	t.Parallel()
	t.Run("while the other task is suspected", func(t *testing.T) {
		t.Parallel()
		h := newSharedLoss(t)
		h.loseUnder("bystander", "crashing")
		h.loseUnder("bystander", "crashing")
		h.assertState("bystander", submitter.Running)
		h.assertState("crashing", submitter.Running)
		h.loseUnder("bystander", "crashing") // four are too many in any case
		h.assertState("bystander", submitter.Failed)
		h.assertState("crashing", submitter.Failed)
	})
	t.Run("after the other submission has ended", func(t *testing.T) {
		t.Parallel()
		h := newSharedLoss(t)
		h.loseUnder("bystander", "crashing")
		h.table.Cancel("crashing", h.now)
		h.loseUnder("bystander")
		h.assertState("bystander", submitter.Running)
	})
	t.Run("until the other task has outlived its probation", func(t *testing.T) {
		t.Parallel()
		h := newSharedLoss(t)
		h.loseUnder("bystander")
		h.loseUnder("bystander")
		h.assertState("bystander", submitter.Failed)
		h.assertState("crashing", submitter.Running)
	})
	t.Run("until the other task is done", func(t *testing.T) {
		t.Parallel()
		h := newSharedLoss(t)
		starts := h.starts()
		for _, o := range starts {
			if o.Task.Submission == "crashing" {
				h.drop(o)
				h.poll(o.Runner, End{Task: o.Task, Run: o.Run, Kind: Done})
			}
		}
		h.lose(starts, "bystander")
		h.loseUnder("bystander")
		h.assertState("bystander", submitter.Failed)
		h.assertState("crashing", submitter.Complete)
	})
}
