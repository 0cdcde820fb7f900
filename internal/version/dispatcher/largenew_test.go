package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// A turnover keeps runners full of long-running tasks of one core. The oldest submission is
// cancelled now and then, while more wait than fit.
type turnover struct {
	*harness
	runners int
	added   int
	running []Order // oldest first
}

func newTurnover(t *testing.T, runners int) *turnover {
	t.Helper()
	o := &turnover{harness: newHarness(t, 0, runners), runners: runners}
	o.pollAll(runners)
	o.feed(10 * runners)
	for starts := o.starts(); len(starts) > 0; starts = o.starts() {
		o.note(starts)
		o.pollAll(runners)
	}
	return o
}

func (o *turnover) feed(tasks int) {
	for range tasks {
		o.add(fmt.Sprintf("small%05d", o.added), "urgent", lasting(1, 1000))
		o.added++
	}
}

func (o *turnover) note(starts []Order) { o.running = append(o.running, starts...) }

// pass cancels the oldest submission, adds another one, and returns the starts of 0.2 s.
func (o *turnover) pass() (starts []Order) {
	gone := o.running[0]
	o.running = o.running[1:]
	o.table.Cancel(gone.Task.Submission, o.now)
	o.feed(1)
	o.work()
	o.pollAll(o.runners)
	o.stops()
	starts = o.starts()
	o.note(starts)
	return starts
}

// Guards against a large long-running task that never runs, as smaller ones that are due after
// it take each gap.
func TestLargeNewLongRunningTaskRuns(t *testing.T) {
	for _, runners := range []int{4, 24} {
		t.Run(fmt.Sprintf("%d runners", runners), func(t *testing.T) {
			o := newTurnover(t, runners)
			o.add("large", "urgent", lasting(1, 8000))
			since, others := o.now, 0
			for o.now.Sub(since) < time.Minute {
				for _, start := range o.pass() {
					if start.Task.Submission == "large" {
						return
					}
					others++
				}
			}
			t.Errorf("not started after %s, while %d others have", o.now.Sub(since), others)
		})
	}
}

// heldRunner lets time pass until room is held, and some of it is free.
func (o *turnover) heldRunner(t *testing.T) *runner {
	t.Helper()
	for range 100 {
		o.pass()
		for _, r := range o.table.runners {
			if r.heldFor != nil && r.free().MilliCores >= 1000 {
				return r
			}
		}
	}
	t.Fatal("no room is held and free")
	return nil
}

// interrupt ends a run on a runner other than one, which then starts nothing for some time.
func (o *turnover) interrupt(other *runner) (lost Order) {
	for _, lost = range o.running {
		if lost.Runner != other.info.ID {
			break
		}
	}
	o.drop(lost)
	o.poll(lost.Runner, End{Task: lost.Task, Run: lost.Run, Kind: Lapsed})
	o.table.runners[lost.Runner].pausedUntil = o.now.Add(time.Second)
	return lost
}

// Guards against interrupted tasks that wait while room is held for one that has never run.
func TestInterruptedTasksUseHeldRoom(t *testing.T) {
	assertStartsOn := func(t *testing.T, o *turnover, r *runner) {
		t.Helper()
		lost := o.interrupt(r)
		for _, start := range o.starts() {
			if start.Task == lost.Task && start.Runner == r.info.ID {
				return
			}
		}
		t.Errorf("%s has not started again on %s at once", lost.Task, r.info.ID)
	}
	t.Run("while long-running tasks leave it", func(t *testing.T) {
		o := newTurnover(t, 4)
		o.add("large", "urgent", lasting(1, 8000))
		assertStartsOn(t, o, o.heldRunner(t))
	})
	t.Run("once it is enough", func(t *testing.T) {
		o := newTurnover(t, 4)
		step := lasting(1, 8000)
		step.MemoryMB = testCapacity.MemoryMB
		for _, r := range o.table.runners {
			r.used.MemoryMB += 1000 // of a short task
		}
		o.add("large", "urgent", step)
		for range 200 {
			o.pass()
			if len(o.table.reserved) > 0 {
				assertStartsOn(t, o, o.table.reserved[0])
				return
			}
		}
		t.Fatal("no room is reserved")
	})
}

// Guards against room that is held for ever on a runner which long-running tasks don't leave.
func TestHeldRoomIsUsedByOthersInTurn(t *testing.T) {
	o := newTurnover(t, 4)
	o.add("large", "urgent", lasting(1, 8000))
	stays := make(map[string]bool) // runners with a task that stays
	for n := 0; n < len(o.running); {
		if on := o.running[n].Runner; !stays[on] {
			stays[on] = true
			o.running = append(o.running[:n:n], o.running[n+1:]...)
			continue
		}
		n++
	}
	starts, passes := 0, 300
	for range passes {
		starts += len(o.pass())
		free := int64(0)
		for _, r := range o.table.runners {
			free += r.free().MilliCores
		}
		if free > 8000 {
			t.Fatalf("%d milliCores are free, want at most those of one runner", free)
		}
	}
	if starts < passes*9/10 {
		t.Errorf("%d others have started, want at least nine tenths of %d", starts, passes)
	}
}
