package dispatcher

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against placement passes that take longer the more steps wait, so that reports,
// renewals of leases and orders wait for them.
func TestPlacementPassIsBounded(t *testing.T) {
	for _, runners := range []int{66, 192} {
		t.Run(fmt.Sprint(runners, " runners"), func(t *testing.T) {
			const waiting = 1000
			h := newBacklog(runners, waiting)
			// Decreasing sizes: that a larger task has found no room says nothing of a smaller one.
			for n := range waiting {
				h.table.subs[fmt.Sprint("job", n)].occs[0].steps[0].spec.MilliCores = int64(5000 - n)
			}
			passes := h.passes(t, func() bool { return !h.table.placementDue })
			if limit := 2 + 2*waiting*runners/(maxEvaluations-maxRepeated); passes < 2 || passes > limit {
				t.Errorf("%d passes, want more than one and at most %d", passes, limit)
			}
			for n := range waiting {
				st := h.table.subs[fmt.Sprint("job", n)].occs[0].steps[0]
				if st.attempts.failed+st.attempts.passedOver == 0 {
					t.Errorf("%s was not tried", st.s.sub.ID)
				}
			}
			t.Run("and tries new urgent work first", func(t *testing.T) {
				h.now = h.now.Add(time.Second)
				h.keepAnswering()
				h.table.placementDue = true
				h.table.Schedule(h.now)
				if !h.table.placementDue {
					t.Fatal("the round ends with one pass, want more")
				}
				h.add("urgent", "urgent", oneCore(1))
				h.table.Schedule(h.now.Add(time.Millisecond))
				assertStarts(t, h.execute(h.table.Orders()), 1)
			})
		})
	}
}

// passes runs placement passes until a condition holds, checks that each is bounded and
// returns their number.
func (h *harness) passes(t *testing.T, isOver func() bool) (n int) {
	t.Helper()
	h.table.placementDue = true
	for n = range 1000 {
		if isOver() {
			return n
		}
		h.table.Schedule(h.now)
		if most := maxEvaluations + len(h.table.runners); h.table.evaluations > most {
			t.Errorf("a pass evaluates runners %d times, want at most %d", h.table.evaluations, most)
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	t.Fatalf("not over after %d passes", n)
	return n
}

// Guards against tasks that are never tried, as a pass ends with those before them of their
// step, which may not run on some runners.
func TestRestOfAStepIsTriedInTheNextPass(t *testing.T) {
	const runners, tasks = 200, 300
	h := newBacklog(runners, 0)
	h.add("a", "urgent", oneCore(tasks))
	st := h.table.subs["a"].occs[0].steps[0]
	for i := range tasks - 1 {
		st.tasks[i].avoid = "r0"
	}
	full := st.spec.MilliCores
	st.spec.MilliCores = 1_000_000
	h.passes(t, func() bool { return st.nextTask >= tasks-maxEvaluations/runners })
	st.spec.MilliCores = full
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	if n := len(orders); n == 0 || orders[n-1].Task.Index != tasks-1 {
		t.Errorf("starts %d tasks, want the last one of the step among them", n)
	}
}

// Guards against evaluations of the runners for a task of which a task tried before has shown
// that it has no room.
func TestRunnersAreEvaluatedOnceForTasksAlike(t *testing.T) {
	const runners = 4
	for _, test := range []struct {
		name   string
		change func(step *submitter.Step)
	}{
		{"in a turn and after it", func(*submitter.Step) {}},
		{"with different affinities", func(step *submitter.Step) { step.Affinity = "rack1" }},
		{"with a limit per runner", func(step *submitter.Step) { step.MaxPerRunner = 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newBacklog(runners, 0)
			for _, id := range []string{"a", "b", "c"} {
				step := bestEffort("batch1", 2)
				step.MilliCores = 2000
				if id != "b" {
					test.change(&step)
				}
				h.add(id, "night", step)
			}
			h.now = h.now.Add(2 * time.Second)
			h.keepAnswering()
			for _, s := range h.table.active {
				s.occs[0].dueAt = h.now.Add(-time.Minute)
			}
			assertStarts(t, h.starts(), 0)
			if h.table.owedTurns != 3 || h.table.evaluations != runners {
				t.Errorf("%d turns are owed, runners evaluated %d times, want 3 and once each", h.table.owedTurns, h.table.evaluations)
			}
		})
	}
}

// Guards against room that goes to the rest of a round, as what is more urgent has been tried
// before it showed.
func TestRoomThatShowsInARoundGoesByUrgency(t *testing.T) {
	const runners, waiting = 192, 1000
	h := newBacklog(runners, waiting)
	for n := range waiting {
		h.table.subs[fmt.Sprint("job", n)].occs[0].steps[0].spec.MilliCores = int64(5000 - n)
	}
	first := h.table.subs["job0"].occs[0]
	first.dueAt = first.dueAt.Add(-time.Second)
	h.table.placementDue = true
	h.table.Schedule(h.now)
	if first.steps[0].attempts.failed == 0 || !h.table.placementDue {
		t.Fatal("want a round that goes on after the first submission was tried")
	}
	empty := h.table.Runners()[0]
	empty.ID = "empty"
	h.now = h.now.Add(blockedBestEffortPause)
	h.table.SetRunners(append(h.table.Runners(), empty), h.now)
	h.poll("empty")
	h.keepAnswering()
	h.table.Schedule(h.now)
	if orders := h.table.Orders(); len(orders) == 0 || orders[0].Task.Submission != "job0" {
		t.Errorf("starts %d tasks, want first the one that has waited longest", len(orders))
	}
}

// Guards against gangs without room that use up each pass, so that nothing after them is tried.
func TestGangsWithoutRoomDoNotKeepOthersFromAPass(t *testing.T) {
	const runners, members = 66, 20
	h := newHarness(t, 0, runners)
	h.pollAll(runners)
	full := submitter.Step{Count: runners - members + 1, Resources: submitter.Resources{MilliCores: 8000, MemoryMB: 100}, Estimate: time.Hour, MaxPerRunner: 1}
	h.add("full", "urgent", full)
	for len(h.starts()) > 0 {
		h.pollAll(runners)
	}
	gang := submitter.Step{Count: members, Resources: submitter.Resources{MilliCores: 7000, MemoryMB: 100}, Estimate: 100 * time.Second, Gang: true}
	for i := range 10 {
		h.add(fmt.Sprint("gang", i), "urgent", gang)
	}
	small := submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 500, MemoryMB: 100}, Estimate: 5 * time.Minute}
	h.add("small", "urgent", small)
	for range 10 {
		h.now = h.now.Add(10 * time.Millisecond)
		if len(h.starts()) > 0 {
			return
		}
	}
	t.Error("the small task has not started after ten passes")
}

// Load: hundreds of waiting submissions of which some lack processors and others memory.
func TestLargerTasksArePassedOver(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	steps := []struct {
		name                 string
		milliCores, memoryMB int64
		passedOver, starts   int
	}{
		{"a lacks processors", 9000, 100, 0, 0},
		{"b lacks memory", 1000, 70_000, 0, 0},
		{"c fits", 1000, 100, 0, 1},
		{"d is larger than a", 9001, 100, 1, 0},
		{"e is larger than b", 1000, 80_000, 1, 0},
		{"f is smaller than a and b", 8500, 65_000, 0, 0},
		{"g fits", 7000, 60_000, 0, 1},
	}
	for _, step := range steps {
		h.add(step.name, "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: step.milliCores, MemoryMB: step.memoryMB}, Estimate: time.Second})
	}
	h.starts()
	for _, step := range steps {
		st := h.table.subs[step.name].occs[0].steps[0]
		if got := st.attempts.passedOver; got != step.passedOver {
			t.Errorf("%s: passed over %d times, want %d", step.name, got, step.passedOver)
		}
		if got := st.occ.runs; got != step.starts {
			t.Errorf("%s: %d starts, want %d", step.name, got, step.starts)
		}
	}
}

// Guards against tasks that wait since others of their shape have found no room, although a
// runner has room for them.
func TestNoRunnerHasRoomForWhatIsPassedOver(t *testing.T) {
	r := newReplay(1, 20)
	passedOver := 0
	for range 40 {
		r.run(200*time.Millisecond, 12, 2)
		r.table.placementDue = true
		r.table.Schedule(r.now)
		for _, s := range r.table.unfinished() {
			for _, st := range s.occs[0].steps {
				passedOver += r.assertNoRoom(t, st)
			}
		}
	}
	if passedOver < 100 {
		t.Errorf("%d steps were passed over, want at least 100", passedOver)
	}
}

// assertNoRoom checks that no runner has room for the tasks of a step that the last placement
// pass would pass over, and returns whether it would pass over any, in the background or not.
func (r *replay) assertNoRoom(t *testing.T, st *stepState) (passedOver int) {
	t.Helper()
	if st.waiting == 0 || !st.ready {
		return 0
	}
	k := &st.tasks[slices.IndexFunc(st.tasks, func(k task) bool { return !k.done && len(k.runs) == 0 })]
	for _, background := range []*stepState{nil, st} {
		if background != nil && !st.spec.Fills {
			continue
		}
		r.table.background = background
		if r.table.hadNoRoom(st, k) {
			passedOver++
			if n := r.table.choose(st, k, r.now); n != nil {
				t.Errorf("%s has room for a task of %s", n.info.ID, st.taskID(0))
			}
		}
	}
	r.table.background = nil
	return passedOver
}

// Guards against a placement pass that goes on with the room that services had before it has
// started tasks beside them.
func TestRoomOfServicesFollowsStartsInPass(t *testing.T) {
	r := newReplay(1, 20)
	started := 0
	for range 20 {
		r.run(200*time.Millisecond, 12, 2)
		r.table.beginPass()
		for _, s := range r.table.unfinished() {
			for _, st := range s.occs[0].steps {
				if !st.spec.Fills || !st.ready || st.waiting == 0 {
					continue
				}
				r.assertRooms(t)
				r.table.startWaiting(st, 1, true, r.now)
				started += st.occ.runs
			}
		}
		r.assertRooms(t)
		r.table.endPass()
	}
	if started < 100 {
		t.Errorf("%d runs, want at least 100", started)
	}
}

// assertRooms checks that the placement pass knows the rooms of the services on all runners.
func (r *replay) assertRooms(t *testing.T) {
	t.Helper()
	for _, n := range r.table.runners {
		got := r.table.rooms(n, r.now)
		byImage := make(map[string]serviceRoom)
		for _, room := range got {
			byImage[room.image] = room
		}
		pass := r.table.pass
		r.table.pass, n.rooms = 0, nil
		for _, want := range r.table.rooms(n, r.now) {
			have, ok := byImage[want.image]
			isSame := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
			if !ok || !isSame(have.room, want.room) || !isSame(have.bestEffort, want.bestEffort) || !isSame(have.background, want.background) {
				t.Fatalf("%s: room %+v in the pass, want %+v", n.info.ID, have, want)
			}
		}
		r.table.pass, n.rooms, n.roomsPass = pass, got, pass
	}
}
