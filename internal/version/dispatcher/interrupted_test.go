package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// interruptionBound is how long a long-running task may be without a run while there is
// room for it: 6 s after its last run and 3 s more.
const interruptionBound = 9 * time.Second

// A crowd is a deployment under a backlog of short tasks, on which long-running tasks are
// interrupted.
type crowd struct {
	*harness
	runners int
	taskFor time.Duration        // how long a short task runs, give or take a half
	placed  int                  // short tasks that were started
	endsAt  map[runKey]time.Time // when the short tasks end
	running map[string]string    // runners of the running long-running tasks, by task
	left    map[string]bool      // runners that have left
	drains  map[string]bool      // runners that have announced that they leave
}

// newCrowd returns a crowd in which each submission of long-running tasks has started.
func newCrowd(t *testing.T, runners int, steps ...submitter.Step) *crowd {
	t.Helper()
	c := newIdleCrowd(t, 0, runners)
	wanted := 0
	for i, step := range steps {
		c.add(fmt.Sprintf("long%02d", i), "urgent", step)
		c.place()
		wanted += step.Count
	}
	if len(c.running) != wanted {
		t.Fatalf("%d long-running tasks have started, want %d", len(c.running), wanted)
	}
	return c
}

// newIdleCrowd returns a crowd without tasks, whose owner has a generation.
func newIdleCrowd(t *testing.T, generation int64, runners int) *crowd {
	t.Helper()
	c := &crowd{
		harness: newHarness(t, generation, runners), runners: runners, taskFor: 800 * time.Millisecond,
		endsAt: make(map[runKey]time.Time), running: make(map[string]string), left: make(map[string]bool), drains: make(map[string]bool),
	}
	c.pollAll(runners)
	return c
}

// lasting returns a step of long-running tasks.
func lasting(count int, milliCores int64) submitter.Step {
	return submitter.Step{Count: count, Resources: submitter.Resources{MilliCores: milliCores, MemoryMB: 1000}, LongRunning: true}
}

// place runs a placement pass, and notes what has started.
func (c *crowd) place() {
	for _, o := range c.starts() {
		if c.table.subs[o.Task.Submission].sub.Steps[o.Task.Step].LongRunning {
			c.running[o.Task.String()] = o.Runner
			continue
		}
		c.placed++
		c.endsAt[runKey{o.Task, o.Run}] = c.now.Add(c.taskFor/2 + c.taskFor*time.Duration(c.placed%11)/10)
	}
}

// fill submits more short tasks than there is room for.
func (c *crowd) fill(queue string, step submitter.Step) {
	for n := range 500 {
		c.add(fmt.Sprintf("short%03d", n), queue, step)
	}
	c.run(2 * c.taskFor)
}

// run lets the time pass: each runner reports the ends of its short tasks each 100 ms, one
// runner after the other, and a placement pass follows each report.
func (c *crowd) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance(0)
		for range 2 {
			for i := range c.runners {
				c.now = c.now.Add(100*time.Millisecond/time.Duration(c.runners) - time.Millisecond)
				c.report(fmt.Sprintf("r%d", i))
				c.place()
			}
		}
	}
}

// report polls a runner, which lists the ends of its short tasks.
func (c *crowd) report(runner string) {
	if c.left[runner] {
		c.now = c.now.Add(time.Millisecond)
		return
	}
	var ends []End
	c.reported[runner] = slices.DeleteFunc(c.reported[runner], func(row RunStatus) bool {
		at, ok := c.endsAt[runKey{row.Task, row.Run}]
		if !ok || c.now.Before(at) {
			return false
		}
		ends = append(ends, End{Task: row.Task, Run: row.Run, Kind: Done})
		return true
	})
	for i, row := range c.reported[runner] {
		if c.running[row.Task.String()] == runner {
			c.reported[runner][i].Percent = 100 // it is at work
		}
	}
	c.poll(runner, ends...)
}

// busiest returns the runners on which the most long-running tasks run.
func (c *crowd) busiest(n int) []string {
	tasks := make(map[string]int)
	for _, runner := range c.running {
		tasks[runner]++
	}
	runners := make([]string, 0, len(tasks))
	for runner := range tasks {
		runners = append(runners, runner)
	}
	slices.Sort(runners)
	slices.SortStableFunc(runners, func(a, b string) int { return tasks[b] - tasks[a] })
	return runners[:n]
}

// drain lets runners announce that they leave.
func (c *crowd) drain(runners []string) {
	for _, runner := range runners {
		c.drains[runner] = true
	}
	c.register()
}

// register lists the runners that have not left.
func (c *crowd) register() {
	var infos []RunnerInfo
	for i := range c.runners {
		id := fmt.Sprintf("r%d", i)
		if !c.left[id] {
			infos = append(infos, RunnerInfo{ID: id, Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: 1, Draining: c.drains[id]})
		}
	}
	c.table.SetRunners(infos, c.now)
}

// leave lets the runners that drain end with all that runs there. It returns the
// long-running tasks that were interrupted.
func (c *crowd) leave() (interrupted []string) {
	for runner := range c.drains {
		interrupted = append(interrupted, c.lose(runner)...)
	}
	c.register()
	return interrupted
}

// lose ends a runner with all that runs there. It returns the long-running tasks that were
// interrupted.
func (c *crowd) lose(runner string) (interrupted []string) {
	c.left[runner] = true
	c.reported[runner] = nil
	c.table.PollFailed(runner, c.now)
	for task, on := range c.running {
		if on == runner {
			interrupted = append(interrupted, task)
			delete(c.running, task)
		}
	}
	return interrupted
}

// assertRunAgain checks that interrupted tasks run again within the bound.
func (c *crowd) assertRunAgain(interrupted []string) {
	c.t.Helper()
	waiting := make([]string, 0, len(interrupted))
	for step := time.Duration(0); step <= interruptionBound; step += 500 * time.Millisecond {
		waiting = waiting[:0]
		for _, task := range interrupted {
			if c.running[task] == "" {
				waiting = append(waiting, task)
			}
		}
		if len(waiting) == 0 {
			c.t.Logf("%d tasks run again after %v", len(interrupted), step)
			return
		}
		c.run(500 * time.Millisecond)
	}
	slices.Sort(waiting)
	c.t.Errorf("%d of %d interrupted tasks are still waiting after %v: %v", len(waiting), len(interrupted), interruptionBound, waiting)
}

// assertRunAgainWithout lets the runners with most long-running tasks leave, and checks that
// these run again.
func (c *crowd) assertRunAgainWithout(runners int) {
	c.t.Helper()
	c.drain(c.busiest(runners))
	c.assertRunAgain(c.leave())
}

// Load: long-running tasks that are interrupted at once while short ones wait for room.
func TestManyInterruptedTasksRunAgain(t *testing.T) {
	steps := slices.Repeat([]submitter.Step{lasting(20, 3000)}, 11)
	t.Run("beside short tasks of the same priority", func(t *testing.T) {
		c := newCrowd(t, 150, steps...)
		c.fill("urgent", oneCore(20))
		c.assertRunAgainWithout(35)
	})
	t.Run("beside short tasks of several cores", func(t *testing.T) {
		c := newCrowd(t, 150, steps...)
		short := oneCore(20)
		short.MilliCores = 2500
		c.fill("urgent", short)
		c.assertRunAgainWithout(35)
	})
	t.Run("with a limit per runner", func(t *testing.T) {
		apart := slices.Clone(steps)
		for i := range apart {
			apart[i].MaxPerRunner = 1
		}
		c := newCrowd(t, 150, apart...)
		c.fill("urgent", oneCore(20))
		c.assertRunAgainWithout(35)
	})
	t.Run("beside tasks of lower priority that fill the runners", func(t *testing.T) {
		c := newCrowd(t, 150, steps...)
		short := oneCore(20)
		short.MilliCores = 2000
		c.taskFor = 2 * time.Second
		c.fill("night", short)
		c.assertRunAgainWithout(35)
	})
	t.Run("under a former owner", func(t *testing.T) {
		c := newIdleCrowd(t, 1, 150)
		c.fill("urgent", oneCore(20))
		c.add("long", "urgent", lasting(41, 5000))
		first := submitter.TaskID{Submission: "long"}
		c.reported["r0"] = []RunStatus{{Task: first, Run: 1}}
		c.running[first.String()] = "r0"
		var interrupted []string
		for i := 1; i <= 40; i++ {
			interrupted = append(interrupted, submitter.TaskID{Submission: "long", Index: i}.String())
		}
		c.assertRunAgain(interrupted)
	})
	t.Run("in a part of few runners", func(t *testing.T) {
		c := newCrowd(t, 6, slices.Repeat([]submitter.Step{lasting(2, 3000)}, 4)...)
		c.fill("urgent", oneCore(20))
		c.assertRunAgainWithout(1)
	})
}

// Guards against long-running tasks that wait although there is room for all of them: many
// were interrupted at once, and runners were reserved for one task after the other.
func TestInterruptedTasksThatNeedMostOfARunnerRunAgain(t *testing.T) {
	c := newCrowd(t, 150, slices.Repeat([]submitter.Step{lasting(20, 5000)}, 5)...)
	c.fill("urgent", oneCore(20))
	c.assertRunAgainWithout(40)
}

// Guards against a part that is full of new long-running tasks when runners leave that have
// said so: what runs there finds no room.
func TestNewTasksLeaveRoomForThoseOfLeavingRunners(t *testing.T) {
	c := newCrowd(t, 20, lasting(10, 3000), lasting(10, 3000))
	c.drain(c.busiest(5))
	for n := range 6 {
		c.add(fmt.Sprintf("new%d", n), "urgent", lasting(5, 3000))
		c.run(500 * time.Millisecond)
	}
	if len(c.running) == 20 {
		t.Error("no new task has started, want those to start that leave enough room")
	}
	c.assertRunAgain(c.leave())
}

// Guards against new tasks in the room of those on runners that have crashed, before the
// leases there have lapsed.
func TestNewTasksLeaveRoomForThoseOfSilentRunners(t *testing.T) {
	c := newCrowd(t, 18, lasting(10, 3000), lasting(10, 3000))
	var interrupted []string
	for _, runner := range c.busiest(5) {
		interrupted = append(interrupted, c.lose(runner)...)
	}
	c.run(staleAfter + 200*time.Millisecond)
	c.add("new", "urgent", lasting(25, 3000))
	c.run(3 * time.Second)
	c.assertRunAgain(interrupted)
}

// Guards against new tasks in the room of those that were lost together with the owner, before
// the next owner knows all runs.
func TestNewTasksLeaveRoomForThoseLostWithTheirOwner(t *testing.T) {
	former := newHarness(t, 0, 20)
	former.pollAll(20)
	for _, id := range []string{"a", "b"} {
		former.add(id, "urgent", lasting(10, 3000))
	}
	starts := former.starts()
	assertStarts(t, starts, 20)
	lost := make(map[string]bool) // some tasks of each submission go on
	for _, i := range []int{0, 2, 10, 12, 14} {
		lost[starts[i].Runner] = true
	}
	if want := 5; len(lost) != want {
		t.Fatalf("the tasks run on %d runners, want %d", len(lost), want)
	}
	h := former.succeed(slices.Collect(maps.Keys(lost))...)
	sub := &submitter.Submission{ID: "new", Queue: "urgent", Steps: []submitter.Step{lasting(25, 3000)}, AcceptedAt: h.now, Owner: testFence}
	h.table.Add(sub, nil, h.now)
	want := map[string]int{"a": 4, "b": 6, "new": 10}
	if starts := h.startsWithin(interruptionBound); !maps.Equal(starts, want) {
		t.Errorf("starts %v, want %v", starts, want)
	}
}

// Guards against a part that is full of long-running tasks, where those that are interrupted
// without notice find no room and short tasks wait for long.
func TestNewTasksLeaveSomeRunners(t *testing.T) {
	c := newIdleCrowd(t, 0, 40)
	c.run(500 * time.Millisecond)
	c.add("long", "urgent", lasting(100, 3000))
	c.run(time.Second)
	if want := 76; len(c.running) != want { // two for each runner but two
		t.Errorf("%d new tasks run, want %d", len(c.running), want)
	}
}

// Guards against large long-running tasks that find no room as new small ones have left a
// little on each runner.
func TestNewTasksLeaveRoomForLargeOnes(t *testing.T) {
	c := newCrowd(t, 20, lasting(18, 7000))
	apart := lasting(2, 2000)
	apart.MaxPerRunner = 1
	c.add("new", "urgent", apart)
	c.run(time.Second)
	c.assertRunAgainWithout(1)
}

// Guards against a new owner that takes all waiting tasks for interrupted ones: those that
// have never run would fill the room of those that have.
func TestTasksThatNoOwnerHasStartedAreNew(t *testing.T) {
	c := newIdleCrowd(t, 1, 2)
	c.add("a", "urgent", lasting(1, 3000))
	c.add("b", "urgent", lasting(2, 3000))
	c.reported["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "b"}, Run: 1}}
	c.pollAll(2)
	for id, want := range map[string]bool{"a": true, "b": false} {
		st := c.table.subs[id].occs[0].steps[0]
		if got := c.table.isNew(st, &st.tasks[len(st.tasks)-1]); got != want {
			t.Errorf("task of %s is new: %v, want %v", id, got, want)
		}
	}
}

// Guards against new tasks in the room of those of leaving runners that differ in size, or
// of which a runner may have one only.
func TestRoomOfLeavingRunnersIsPlannedTaskByTask(t *testing.T) {
	small, large, apart := lasting(24, 2000), lasting(12, 5000), lasting(18, 3000)
	apart.MaxPerRunner = 1
	c := newCrowd(t, 42, small, large, apart)
	c.drain(c.busiest(15))
	for n := range 12 {
		c.add(fmt.Sprintf("new%d", n), "urgent", lasting(6, 2500))
		c.run(200 * time.Millisecond)
	}
	c.assertRunAgain(c.leave())
}

// Guards against a write to the store for each start or report of a long-running task.
func TestBeginningOfAStepIsSavedOnce(t *testing.T) {
	h := newHarness(t, 0, 2)
	assertUnsaved := func(want int) {
		t.Helper()
		if records := h.table.Unsaved(10); len(records) != want {
			t.Errorf("%d unsaved records, want %d", len(records), want)
		}
	}
	h.pollAll(2)
	h.add("lasting", "urgent", lasting(2, 1000))
	h.add("short", "urgent", oneCore(2))
	assertUnsaved(0)
	assertStarts(t, h.starts(), 4)
	assertUnsaved(1)
	h.pass(time.Second)
	assertUnsaved(0)
}
