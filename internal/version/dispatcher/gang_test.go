package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against members of a gang that resume from different checkpoints, of which each has
// reported its own last: they can't work together. (review, gang)
func TestMembersOfAGangResumeFromOneCheckpoint(t *testing.T) {
	const members = 3
	step := oneCore(members)
	step.Gang, step.MaxPerRunner = true, 1
	for _, c := range []struct {
		name string
		// end makes the runs of the gang end, of which r0 has reported an older checkpoint
		// than the others.
		end func(h *harness, task func(runner string) submitter.TaskID)
	}{
		{"a runner is lost", func(h *harness, task func(runner string) submitter.TaskID) {
			h.reported["r1"], h.reported["r2"] = nil, nil
			h.poll("r1", End{Task: task("r1"), Run: 1, Kind: Broken, Checkpoint: "newer"})
			h.poll("r2", End{Task: task("r2"), Run: 1, Kind: Broken, Checkpoint: "newer"})
			h.reported["r0"] = nil
			for until := h.now.Add(2 * testLimits.MaxLease); h.now.Before(until); h.advance(500 * time.Millisecond) {
				h.poll("r1")
				h.poll("r2")
				h.poll("r3")
				h.poll("r4")
			}
		}},
		{"a member fails", func(h *harness, task func(runner string) submitter.TaskID) {
			for _, id := range []string{"r0", "r1", "r2"} {
				h.reported[id] = nil
			}
			h.poll("r1", End{Task: task("r1"), Run: 1, Kind: Broken, Checkpoint: "newer"})
			h.poll("r2", End{Task: task("r2"), Run: 1, Kind: Broken, Checkpoint: "newer"})
			h.poll("r0", End{Task: task("r0"), Run: 1, Kind: Failure})
			h.advance(avoidFor)
			h.pollAll(5)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 0, 5)
			for i := range members {
				h.poll("r" + string(rune('0'+i)))
			}
			h.add("a", "urgent", step)
			assertStarts(t, h.starts(), members)
			h.pollAll(5)
			for runner := range h.reported {
				for i := range h.reported[runner] {
					h.reported[runner][i].Checkpoint = "older"
				}
			}
			h.advance(time.Second)
			h.pollAll(5)
			tasks := make(map[string]submitter.TaskID)
			for runner, rows := range h.reported {
				for _, row := range rows {
					tasks[runner] = row.Task
				}
			}
			c.end(h, func(runner string) submitter.TaskID { return tasks[runner] })
			starts := h.starts()
			assertStarts(t, starts, members)
			for _, o := range starts {
				if o.Checkpoint != "newer" {
					t.Errorf("%s resumes from %q, want the newest checkpoint of any member", o.Task, o.Checkpoint)
				}
			}
		})
	}
}

// Guards against passes that try steps anew in each pass although nothing has ended: a gang of
// which only some members fit is placed and taken back.
func TestLongRunningGangsThatDoNotFitPauseBetweenAttempts(t *testing.T) {
	const span, between = 500 * time.Millisecond, 5 * time.Millisecond
	h := newHarness(t, 0, 3)
	h.pollAll(3)
	gang := func() submitter.Step {
		step := lasting(8, 1500)
		step.Gang, step.MaxPerRunner = true, 2
		return step
	}
	h.add("a", "urgent", gang())
	h.starts()
	h.now = h.now.Add(blockedPause / 2)
	h.add("b", "urgent", gang())
	tries := 0
	for until := h.now.Add(span); h.now.Before(until); h.now = h.now.Add(between) {
		assertStarts(t, h.starts(), 0)
		if h.table.evaluations > 0 {
			tries++
		}
	}
	if most := 2 * (1 + int(span/blockedPause)); tries > most {
		t.Errorf("gangs were tried in %d of %d passes within %s, want at most %d", tries, span/between, span, most)
	}
}

// Guards against a gang that works no more after a change of owner: while it waited for room, each
// attempt to place it took a run number, so that it ran under a higher one than those of the next
// owner, whose starts its runners refused. (review/11)
func TestGangThatWaitsUsesNoRunNumbers(t *testing.T) {
	t.Parallel()
	const members = 3
	step := oneCore(members)
	step.Gang, step.MaxPerRunner = true, 1
	h := newHarness(t, 0, members-1)
	h.pollAll(members - 1)
	h.add("a", "urgent", step)
	for until := h.now.Add(time.Minute); h.now.Before(until); h.advance(50 * time.Millisecond) {
		h.pollAll(members - 1)
		assertStarts(t, h.starts(), 0)
	}
	h.setRunners(members)
	h.pollAll(members)
	h.advance(time.Second)
	h.pollAll(members)
	orders := h.starts()
	assertStarts(t, orders, members)
	for _, o := range orders {
		if o.Run != 1 {
			t.Errorf("first start of %s has run number %d, want 1", o.Task, o.Run)
		}
	}
}
