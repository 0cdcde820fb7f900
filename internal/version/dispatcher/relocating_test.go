package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newPolled returns a harness with some runners that have answered.
func newPolled(t *testing.T, runners int) *harness {
	t.Helper()
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	return h
}

// unserved returns a step that needs a label which no runner of a harness has.
func unserved(count int) submitter.Step {
	step := oneCore(count)
	step.RequiredLabel = "absent"
	return step
}

// after lets the second step of a submission start after the first one.
func after(step submitter.Step) submitter.Step {
	step.After = []int{0}
	return step
}

// wait lets some time pass in which all runners answer.
func (h *harness) wait(runners int, d time.Duration) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.pollAll(runners)
		h.starts()
		h.advance(100 * time.Millisecond)
	}
}

func (h *harness) assertStranded(wantID string, wantImpossible bool) {
	h.t.Helper()
	found, ok := h.table.Stranded(h.now)
	if ok != (wantID != "") || found.ID != wantID || found.IsImpossible != wantImpossible {
		h.t.Errorf("stranded %+v, %v; want %q, impossible %v", found, ok, wantID, wantImpossible)
	}
}

// beginMove begins to hand a submission from part 1 to another one.
func (h *harness) beginMove(id string) submitter.Submission {
	h.t.Helper()
	moved, ok := h.table.BeginMove(id, 1, h.now)
	if !ok {
		h.t.Fatalf("submission %s may not leave", id)
	}
	return moved
}

// Guards against submissions that wait for good in a part without a runner for them, and against
// a move of what may still run there.
func TestStrandedSubmissions(t *testing.T) {
	t.Parallel()
	t.Run("no runner has the label", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 2)
		h.add("a", "urgent", unserved(2))
		h.wait(2, relocateAfter/2)
		h.assertStranded("", false)
		h.wait(2, relocateAfter)
		h.assertStranded("a", true)
	})
	t.Run("no runner of the service is left", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		h.configure(nil, submitter.Queue{Name: "urgent", Service: "other", MaxAttempts: 2})
		h.add("a", "urgent", oneCore(1))
		h.wait(1, 2*relocateAfter)
		h.assertStranded("a", true)
	})
	t.Run("short task waits for room", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		h.add("a", "urgent", oneCore(20))
		h.wait(1, 2*crampedAfter)
		h.assertStranded("", false)
	})
	t.Run("long-running task waits for room", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		large := oneCore(1)
		large.LongRunning, large.MilliCores = true, 6000
		h.add("a", "urgent", large)
		h.wait(1, time.Second)
		h.add("b", "urgent", large)
		h.wait(1, crampedAfter/2)
		h.assertStranded("", false)
		h.wait(1, crampedAfter)
		h.assertStranded("b", false)
	})
	t.Run("another step still runs", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		h.table.Add(&submitter.Submission{
			ID: "a", Queue: "urgent", AcceptedAt: h.now,
			Schedule: &submitter.Schedule{Count: 2, Start: h.now, Interval: 100 * time.Millisecond},
			Steps:    []submitter.Step{oneCore(1), after(unserved(1))},
		}, nil, h.now)
		h.wait(1, time.Second)
		rows := h.reported["r0"]
		if len(rows) != 2 {
			t.Fatalf("%d runs, want 2", len(rows))
		}
		h.reported["r0"] = rows[1:]
		h.poll("r0", End{Task: rows[0].Task, Run: rows[0].Run, Kind: Done})
		h.wait(1, 2*relocateAfter)
		h.assertStranded("", false)
		h.reported["r0"] = nil
		h.poll("r0", End{Task: rows[1].Task, Run: rows[1].Run, Kind: Done})
		h.saveAll()
		h.wait(1, relocateAfter)
		h.assertStranded("a", true)
	})
	t.Run("progress is not saved", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		h.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", AcceptedAt: h.now, Steps: []submitter.Step{oneCore(1), after(unserved(1))}}, nil, h.now)
		h.starts()
		h.endAll(1)
		h.wait(1, 2*relocateAfter)
		h.assertStranded("", false)
		h.saveAll()
		h.assertStranded("a", true)
	})
	t.Run("former owner may have started it", func(t *testing.T) {
		t.Parallel()
		h := newHarness(t, 1, 0)
		h.table.ExpectRunners([]RunnerInfo{{ID: "gone", Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1}})
		h.add("a", "urgent", unserved(1))
		h.wait(0, 2*time.Second)
		h.assertStranded("", false)
		h.wait(0, 2*testLimits.MaxLease)
		h.assertStranded("a", true)
	})
}

// Guards against a task that runs in two parts: the next incarnation of a runner that is silent may
// still begin what has lapsed there.
func TestSubmissionStaysWhileARunMayStillBegin(t *testing.T) {
	t.Parallel()
	f := newFormerCalls(t, 0)
	_, _, other := f.leaveStartUnanswered()
	sentAt := f.now
	for f.now.Sub(sentAt) < maxCallDelay+testLimits.MaxLease-time.Second {
		f.pass(time.Second, other)
		f.saveAll()
		f.assertStranded("", false)
		if _, ok := f.table.BeginMove("a", 1, f.now); ok {
			t.Fatalf("submission may leave %s after a start without an answer", f.now.Sub(sentAt))
		}
	}
	f.pass(2*time.Second, other)
	f.saveAll()
	f.assertStranded("a", false)
}

// Guards against a task that runs in two parts, and against runs in the next part that runners
// refuse as older ones.
func TestMoveOfASubmission(t *testing.T) {
	t.Parallel()
	const secondRun = 1
	strand := func(t *testing.T) (h *harness, moved submitter.Submission) {
		t.Helper()
		h = newPolled(t, 1)
		h.table.Add(&submitter.Submission{ID: "a", Queue: "urgent", AcceptedAt: h.now, Steps: []submitter.Step{oneCore(1), after(oneCore(1))}}, nil, h.now)
		assertStarts(t, h.starts(), 1)
		h.endAll(1)
		rows := h.starts()
		assertStarts(t, rows, 1)
		h.reported["r0"] = []RunStatus{{Task: rows[0].Task, Run: rows[0].Run, Checkpoint: "half"}}
		h.poll("r0")
		h.reported["r0"] = nil
		h.poll("r0", End{Task: rows[0].Task, Run: rows[0].Run, Kind: Stopped})
		h.saveAll()
		return h, h.beginMove("a")
	}
	t.Run("nothing starts until the outcome is known", func(t *testing.T) {
		t.Parallel()
		h, _ := strand(t)
		h.wait(1, time.Second)
		if rows := h.reported["r0"]; len(rows) > 0 {
			t.Fatalf("started while it is handed on: %+v", rows)
		}
		h.table.GiveUpMove("a", h.now.Add(time.Second))
		assertStarts(t, h.starts(), 1)
	})
	t.Run("it is tried again after a pause", func(t *testing.T) {
		t.Parallel()
		h := newPolled(t, 1)
		h.add("a", "urgent", unserved(1))
		h.wait(1, 2*relocateAfter)
		h.beginMove("a")
		h.assertStranded("", false)
		h.table.GiveUpMove("a", h.now.Add(time.Second))
		h.assertStranded("", false)
		h.wait(1, time.Second)
		h.assertStranded("a", true)
	})
	t.Run("late report and late run are refused", func(t *testing.T) {
		t.Parallel()
		h, _ := strand(t)
		sub := h.table.subs["a"].sub.WithOwner(testFence)
		h.table.EndMove("a", h.now)
		h.table.AddReported(&sub, h.now)
		h.table.Add(&sub, nil, h.now)
		if _, known := h.table.State("a"); known {
			t.Error("submission is in the table again")
		}
		h.reported["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "a", Step: 1}, Run: secondRun}}
		h.poll("r0")
		if n := h.stops(); n != 1 {
			t.Errorf("%d stops of the run that is listed late, want 1", n)
		}
	})
	t.Run("only new submissions are added by reports", func(t *testing.T) {
		t.Parallel()
		h := newHarness(t, 0, 1)
		for id, age := range map[string]time.Duration{"new": time.Second, "old": reportRetention} {
			h.table.AddReported(&submitter.Submission{ID: id, Queue: "urgent", Owner: testFence, AcceptedAt: h.now.Add(-age)}, h.now)
		}
		h.table.AddReported(&submitter.Submission{ID: "former", Queue: "urgent", Owner: testFence - 1, AcceptedAt: h.now}, h.now)
		for id, want := range map[string]bool{"new": true, "old": false, "former": false} {
			if _, known := h.table.State(id); known != want {
				t.Errorf("submission %q is known: %v, want %v", id, known, want)
			}
		}
	})
	t.Run("the next part goes on with higher runs", func(t *testing.T) {
		t.Parallel()
		h, moved := strand(t)
		h.table.EndMove("a", h.now)
		next := newPolled(t, 1)
		next.table.Add(&moved, nil, next.now)
		orders := next.starts()
		assertStarts(t, orders, 1)
		if o := orders[0]; o.Task.Step != 1 || o.Run <= secondRun || o.Checkpoint != "half" {
			t.Errorf("start of step %d, run %d, checkpoint %q; want step 1, over %d, the checkpoint", o.Task.Step, o.Run, o.Checkpoint, secondRun)
		}
		next.endAll(1)
		if state, _ := next.table.State("a"); state == submitter.Queued {
			t.Error("a submission with progress is shown as queued")
		}
	})
	t.Run("it may come back", func(t *testing.T) {
		t.Parallel()
		h, moved := strand(t)
		h.table.EndMove("a", h.now)
		next := newHarness(t, 0, 1)
		next.table.Add(&moved, nil, next.now)
		back := next.beginMove("a")
		if back.Move.Home != 1 || back.Move.Count != 2 || back.Move.FirstRun <= moved.Move.FirstRun {
			t.Errorf("move %+v after %+v, want the same home, a second move, higher runs", *back.Move, *moved.Move)
		}
		h.table.Add(&back, nil, h.now)
		if home, hasMoved := h.table.Home("a"); !hasMoved || home != 1 {
			t.Errorf("home %d, moved %v; want part 1", home, hasMoved)
		}
		assertStarts(t, h.starts(), 1)
	})
	t.Run("progress that was written late is ignored", func(t *testing.T) {
		t.Parallel()
		_, moved := strand(t)
		next := newPolled(t, 1)
		next.table.Add(&moved, &submitter.Progress{}, next.now)
		orders := next.starts()
		assertStarts(t, orders, 1)
		if o := orders[0]; o.Task.Step != 1 {
			t.Errorf("start of step %d, which is done", o.Task.Step)
		}
		next.endAll(1)
		if records := next.table.Unsaved(1); len(records) != 1 || records[0].Progress.Moves != 1 {
			t.Errorf("records %+v, want one after a move", records)
		}
	})
	t.Run("cancelled one stays", func(t *testing.T) {
		t.Parallel()
		h := newHarness(t, 0, 1)
		h.add("a", "urgent", unserved(1))
		h.table.Cancel("a", h.now)
		if _, ok := h.table.BeginMove("a", 1, h.now); ok {
			t.Error("a cancelled submission may leave")
		}
	})
}

func TestOfferOfAPart(t *testing.T) {
	t.Parallel()
	h := newPolled(t, 2)
	need := func(label string, milliCores int64, tasks int) []partitioner.Need {
		return []partitioner.Need{{Service: "s", Label: label, Resources: submitter.Resources{MilliCores: milliCores}, Tasks: tasks}}
	}
	for name, c := range map[string]struct {
		needs []partitioner.Need
		want  partitioner.Offer
	}{
		"room":                  {need("", 4000, 4), partitioner.Offer{IsAble: true, HasRoom: true}},
		"no room for all tasks": {need("", 4000, 5), partitioner.Offer{IsAble: true}},
		"no runner is as large": {need("", 9000, 1), partitioner.Offer{}},
		"no runner has a label": {need("absent", 1, 1), partitioner.Offer{}},
		"nothing is needed":     {nil, partitioner.Offer{IsAble: true, HasRoom: true}},
	} {
		if got := h.table.Serves(c.needs); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	t.Run("no runner has answered", func(t *testing.T) {
		unknown := New(testLimits, testFence, 0, recorder.Discard{}, epoch)
		if got := unknown.Serves(need("", 1, 1)); got.IsAble {
			t.Errorf("%+v, want none", got)
		}
	})
}
