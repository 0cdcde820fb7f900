package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newUnconfiguredHarness returns a harness without a configuration, with a submission of
// one task.
func newUnconfiguredHarness(t *testing.T) (h *harness, task submitter.TaskID) {
	t.Helper()
	h = newHarness(t, 0, 1)
	h.table.config = holder.Optional[Configuration]{}
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	return h, submitter.TaskID{Submission: "a"}
}

// assertState checks the state that a submission has or will have once it is durable.
func assertState(t *testing.T, h *harness, id string, want submitter.State) {
	t.Helper()
	if got := h.table.subs[id].state; got != want {
		t.Errorf("state of %s is %s, want %s", id, got, want)
	}
}

// Guards against submissions that are shown as failed by an owner that does not know
// how many attempts their queue allows. (scale-2 of arancibia-nivel-grown)
func TestUnknownConfiguration(t *testing.T) {
	t.Run("starts nothing", func(t *testing.T) {
		h, _ := newUnconfiguredHarness(t)
		assertStarts(t, h.starts(), 0)
	})
	t.Run("fails nothing", func(t *testing.T) {
		h, task := newUnconfiguredHarness(t)
		h.poll("r0", End{Task: task, Run: 1, Kind: Failure}, End{Task: task, Run: 2, Kind: Failure}, End{Task: task, Run: 3, Kind: Failure})
		assertState(t, h, "a", submitter.Queued)
	})
	t.Run("keeps what runs", func(t *testing.T) {
		h, task := newUnconfiguredHarness(t)
		h.reported["r0"] = []RunStatus{{Task: task, Run: 1, Percent: 10}}
		h.poll("r0")
		if orders := h.table.Orders(); len(orders) != 0 {
			t.Errorf("orders %+v, want none", orders)
		}
	})
	t.Run("fails what has no attempts left once it is configured", func(t *testing.T) {
		h, task := newUnconfiguredHarness(t)
		h.poll("r0", End{Task: task, Run: 1, Kind: Failure}, End{Task: task, Run: 2, Kind: Failure})
		h.configure(nil, testQueues...)
		assertState(t, h, "a", submitter.Failed)
	})
	t.Run("starts what has attempts left once it is configured", func(t *testing.T) {
		h, task := newUnconfiguredHarness(t)
		h.poll("r0", End{Task: task, Run: 1, Kind: Failure})
		h.configure(nil, testQueues...)
		assertStarts(t, h.starts(), 1)
	})
}

// Guards against submissions that never run since their queue was removed before an
// owner took over.
func TestRemovedQueueIsServedOnItsTerms(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.configure(nil)
	h.poll("r0")
	sub := &submitter.Submission{ID: "b", Queue: "urgent", Terms: &testQueues[0], Steps: []submitter.Step{oneCore(1)}, AcceptedAt: h.now}
	h.table.Add(sub, nil, h.now)
	assertStarts(t, h.starts(), 1)
	want := time.Duration(1.5*float64(time.Second)) + 300*time.Millisecond
	if got := h.table.subs["b"].objective; got != want {
		t.Errorf("objective %s, want %s", got, want)
	}
}

func TestConfigurationChangesApplyToAcceptedSubmissions(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.poll("r0")
	h.add("a", "urgent", oneCore(1))
	h.configure(nil, submitter.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 3, Target: 500 * time.Millisecond})
	if got, want := h.table.subs["a"].objective, 3500*time.Millisecond; got != want {
		t.Errorf("objective %s, want %s", got, want)
	}
}
