package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// lateChaosSettleTime is how long after the faults everything has run: leases lapse, and room
// is kept for one after the other.
const lateChaosSettleTime = 2 * waitBound

// lateSteps returns the steps of the submissions of a play of late work.
func lateSteps() (steps []submitter.Step) {
	gang := bestEffortOf(3, 10_000)
	gang.Gang = true
	wide := fullGangOf(3, testCapacity.MilliCores) // long-running tasks leave three runners
	for range 4 {
		steps = append(steps, bestEffortOf(6, 4000), oneCore(6))
	}
	whole := oneCore(2)
	whole.MilliCores = testCapacity.MilliCores
	return append(steps, serving("web"), serving("mail"), lasting(1, 8000), bestEffortOf(2, 40_000), gang, wide, whole)
}

// fullGangOf returns a step of a gang whose members take some processors.
func fullGangOf(members int, milliCores int64) submitter.Step {
	step := oneCore(members)
	step.MilliCores, step.Gang = milliCores, true
	return step
}

// newLateChaos returns a chaos with late submissions, and some that are due now.
func newLateChaos(t *rapid.T) *chaos {
	c := newChaos(t, 6)
	c.handsOver = rapid.Bool().Draw(t, "handsOver")
	for i, step := range lateSteps() {
		age := waitBound
		if rapid.IntRange(0, 3).Draw(t, "onTime") == 0 {
			age = 0
		}
		queue := testQueues[rapid.IntRange(0, 1).Draw(t, "queue")].Name
		sub := &submitter.Submission{ID: fmt.Sprintf("s%02d", i), Queue: queue, Steps: []submitter.Step{step}, AcceptedAt: c.now.Add(-age), Owner: c.fence}
		c.subs = append(c.subs, sub)
		c.table.Add(sub, nil, c.now)
	}
	return c
}

// endSome ends some tasks that are not long-running ones, about one a second on each runner.
func (c *chaos) endSome() {
	for _, r := range c.sorted() {
		if r.isDown || rapid.IntRange(0, 19).Draw(c.t, "ends") > 0 {
			continue
		}
		for _, key := range sortedKeys(r.running) {
			if !c.stepOf(key.task).LongRunning {
				r.end(key, Done)
				break
			}
		}
	}
}

func (c *chaos) stepOf(id submitter.TaskID) submitter.Step {
	i := slices.IndexFunc(c.subs, func(s *submitter.Submission) bool { return s.ID == id.Submission })
	return c.subs[i].Steps[id.Step]
}

// Late work that takes turns, in the background and at full speed, tasks of much memory, gangs
// and long-running tasks, while tasks fail, orders are lost or late, runners are cut off or
// crash, and owners change: what the owner counts is what is there, and once the faults are
// over all of it runs.
func TestLateWorkRunsAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		c := newLateChaos(r)
		takeover := time.Duration(rapid.IntRange(0, int(2*chaosTakeover/time.Millisecond)).Draw(r, "takeover")) * time.Millisecond
		settled := epoch.Add(max(chaosFaultsEnd, takeover+chaosTakeoverTime) + lateChaosSettleTime)
		for generation := int64(1); c.now.Before(settled); c.step() {
			if c.faulty = c.now.Sub(epoch) < chaosFaultsEnd; c.faulty && generation == 1 && c.now.Sub(epoch) > takeover {
				c.takeOver(generation)
				generation++
			}
			c.endSome()
			c.assertCounts()
		}
		for _, sub := range c.subs {
			if state, _ := c.table.State(sub.ID); state == submitter.Queued {
				c.t.Errorf("nothing of %s (%+v) has run", sub.ID, sub.Steps[0])
			}
		}
	})
}

// assertCounts checks what the table counts against what it holds.
func (c *chaos) assertCounts() {
	c.t.Helper()
	var turnRuns, queued, queuedBackground int
	runs := make(map[*occurrence]int)
	slow := make(map[*occurrence]int)
	reservedTasks := make(map[*stepState]int)
	for _, r := range c.table.runners {
		counted := newRunner(r.info)
		for _, x := range r.runs {
			counted.used = counted.used.Plus(x.st.spec.Reserved())
			if x.st.spec.LongRunning {
				counted.usedForLong = counted.usedForLong.Plus(x.st.spec.Reserved())
			}
			counted.adjustUse(x, 1)
			runs[x.st.occ]++
			if x.isSlow {
				slow[x.st.occ]++
			}
			turnRuns += count(x.isTurn)
			queued += count(x.isQueued)
			queuedBackground += count(x.isQueued && x.isSlow)
		}
		c.assertEqual(r.info.ID+" used", r.used, counted.used)
		c.assertEqual(r.info.ID+" used for long", r.usedForLong, counted.usedForLong)
		c.assertEqual(r.info.ID+" serving", r.serving, counted.serving)
		c.assertUse(r.info.ID+" best effort", r.bestEffort, counted.bestEffort)
		c.assertUse(r.info.ID+" background", r.background, counted.background)
		if (r.reserved != nil) != slices.Contains(c.table.reserved, r) {
			c.t.Fatalf("%s: reserved room of %s is listed: %v", c.now.Sub(epoch), r.info.ID, r.reserved == nil)
		}
		if r.reserved != nil {
			var room submitter.Resources
			for st, n := range r.reserved.tasks {
				reservedTasks[st] += n
				room = room.Plus(st.spec.Reserved().Times(float64(n)))
			}
			c.assertEqual(r.info.ID+" reserved", r.reserved.room, room)
		}
	}
	c.assertEqual("turn runs", c.table.turnRuns, turnRuns)
	c.assertEqual("queued starts", c.table.queuedStarts, queued)
	c.assertEqual("queued starts in the background", c.table.queuedBackground, queuedBackground)
	for _, s := range c.table.active {
		if s.state.IsFinal() {
			continue
		}
		for _, occ := range s.occs {
			c.assertEqual(s.sub.ID+" runs", occ.runs, runs[occ])
			c.assertEqual(s.sub.ID+" in the background", len(occ.background), slow[occ])
			for _, st := range occ.steps {
				waiting, remaining := 0, 0
				for i := range st.tasks {
					remaining += count(!st.tasks[i].done)
					waiting += count(!st.tasks[i].done && len(st.tasks[i].runs) == 0)
				}
				c.assertEqual(s.sub.ID+" waiting", st.waiting, waiting)
				c.assertEqual(s.sub.ID+" remaining", st.remaining, remaining)
				c.assertEqual(s.sub.ID+" reserved tasks", st.reservedTasks, reservedTasks[st])
			}
		}
	}
	c.assertOwedTurns()
}

// assertOwedTurns checks the steps that a pass counts as owed a turn.
func (c *chaos) assertOwedTurns() {
	c.t.Helper()
	list := c.table.candidates(c.now)
	owed, turns := 0, 0
	for _, s := range c.table.active {
		queue, ok := s.queue.Get()
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				isIdle := ok && st.ready && st.remaining > 0 && occ.runs == 0 && occ.remaining > 0
				owed += count(isIdle && c.table.isOwedTurn(newCandidate(st, queue, c.now), c.now))
			}
		}
	}
	for _, candidate := range list {
		turns += count(candidate.isTurn)
	}
	c.assertEqual("owed turns", c.table.owedTurns, owed)
	if turns > owed {
		c.t.Fatalf("%s: %d candidates for a turn, want at most %d", c.now.Sub(epoch), turns, owed)
	}
}

// count returns one for what counts.
func count(isCounted bool) int {
	if isCounted {
		return 1
	}
	return 0
}

func (c *chaos) assertUse(what string, got, want bestEffortUse) {
	c.t.Helper()
	c.assertEqual(what+" milliCores", got.milliCores, want.milliCores)
	c.assertEqual(what+" memory", got.memoryMB, want.memoryMB)
	c.assertEqual(what+" runs", got.runs, want.runs)
	c.assertEqual(what+" images", fmt.Sprint(got.byImage), fmt.Sprint(want.byImage))
}

func (c *chaos) assertEqual(what string, got, want any) {
	c.t.Helper()
	if got != want {
		c.t.Fatalf("%s: %s is %v, want %v", c.now.Sub(epoch), what, got, want)
	}
}
