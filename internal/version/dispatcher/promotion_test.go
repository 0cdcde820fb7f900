package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newBackgroundHarness returns a harness with a service on r0 and late submissions large0,
// large1 and so on of a step, one task or gang of each of which runs there in the background.
func newBackgroundHarness(t *testing.T, submissions int, step submitter.Step) *harness {
	t.Helper()
	h, _ := newFilledHarness(t)
	step.MilliCores = 4000
	for i := range submissions {
		h.add(fmt.Sprint("large", i), "night", step)
	}
	h.advance(20 * time.Second)
	h.reportTail(8)
	h.settlePaces()
	for range submissions { // each start beside the service waits for the pace of the one before
		h.startsPaced()
	}
	for i := range submissions {
		if x := h.anyRun(fmt.Sprint("large", i)); x == nil || !x.isSlow {
			t.Fatalf("large%d does not run in the background", i)
		}
	}
	h.table.Cancel("small", h.now) // what runs of it stays, and nothing else waits
	h.settlePaces()
	return h
}

// addRunner adds the runner r9 and runs a placement pass.
func (h *harness) addRunner(milliCores int64) {
	infos := h.table.Runners()
	added := infos[0]
	added.ID, added.Capacity.MilliCores = "r9", milliCores
	h.table.SetRunners(append(infos, added), h.now)
	h.poll("r9")
	h.advance(time.Second)
	h.reportTail(8)
	h.poll("r9")
	h.table.placementDue = true
	h.table.Schedule(h.now)
}

// assertStopping checks how many runs are being stopped of the first submissions of a
// background harness.
func (h *harness) assertStopping(t *testing.T, submissions, want int) {
	t.Helper()
	got := 0
	for i := range submissions {
		for _, k := range h.table.subs[fmt.Sprint("large", i)].occs[0].steps[0].tasks {
			for _, x := range k.runs {
				if x.phase == stopping {
					got++
				}
			}
		}
	}
	if got != want {
		t.Errorf("%d background runs are being stopped, want %d", got, want)
	}
}

// Guards against many background runs that are stopped for the same room, and against members
// of a gang that wait for others.
func TestBackgroundRunsMove(t *testing.T) {
	task := bestEffort("batch", 1)
	t.Run("one at a time", func(t *testing.T) {
		h := newBackgroundHarness(t, 6, task)
		h.addRunner(5000)
		h.assertStopping(t, 6, 1)
	})
	t.Run("also without checkpoints", func(t *testing.T) {
		step := task
		step.Checkpointing = false
		h := newBackgroundHarness(t, 1, step)
		h.addRunner(32_000)
		h.assertStopping(t, 1, 1)
	})
	t.Run("not of a gang", func(t *testing.T) {
		step := bestEffort("batch", 2)
		step.Gang = true
		h := newBackgroundHarness(t, 1, step)
		h.addRunner(5000)
		h.assertStopping(t, 1, 0)
	})
}

// Guards against a copy at full speed of a task that is only slow.
func TestBackgroundRunGetsNoCopy(t *testing.T) {
	step := bestEffort("batch", 1)
	step.Speculative = true
	h := newBackgroundHarness(t, 1, step)
	for range 6 {
		h.advance(copyAfter / 2)
		h.poll("r0")
		h.starts()
	}
	if n := len(h.table.subs["large0"].occs[0].steps[0].tasks[0].runs); n != 1 {
		t.Errorf("%d runs of the task, want 1", n)
	}
}

// Guards against a run that makes no progress and keeps its submission from a turn for good.
func TestBackgroundRunWithoutProgressIsStopped(t *testing.T) {
	h := newBackgroundHarness(t, 1, bestEffort("batch", 1))
	began := h.now
	for h.now.Before(began.Add(2 * stallAfter * fullPace / backgroundPercent)) {
		h.advance(500 * time.Millisecond)
		for i := range h.reported["r0"] {
			row := &h.reported["r0"][i]
			switch row.Task.Submission {
			case "svc":
				row.Percent, row.Measure = 100, 14
			case "large0":
				row.Measure = 0
			default:
				row.Percent, row.Measure = row.Percent+1, 1000
			}
		}
		h.poll("r0")
		h.settlePaces()
		if h.anyRun("large0").phase == stopping {
			return
		}
	}
	t.Error("the run goes on")
}

// Guards against an idle task that never gets its turn.
func TestIdleTaskGetsItsTurn(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, step *submitter.Step)
	}{
		{"with more than half of a runner's memory", func(_ *harness, step *submitter.Step) { step.MemoryMB = 33_000 }},
		{"while many starts are queued", func(h *harness, _ *submitter.Step) { h.table.queuedStarts = maxQueuedStarts - 2*maxQueuedBackground }},
		{"on time after a while", func(_ *harness, step *submitter.Step) { step.Estimate = time.Minute }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newFilledHarness(t)
			step := bestEffort("batch", 2)
			step.MilliCores = 4000
			c.change(h, &step)
			h.add("idle", "night", step)
			for range 30 {
				h.advance(time.Second)
				h.reportTail(8)
				h.starts()
			}
			if h.anyRun("idle") == nil {
				t.Error("nothing has run within 30 s")
			}
		})
	}
}
