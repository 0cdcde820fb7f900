package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// waitBound is how long late work may have nothing running while other work starts.
const waitBound = 30 * time.Second

// A stream keeps more one-core tasks waiting than fit. Each runner finishes some of its
// oldest runs ten times a second.
type stream struct {
	*harness
	queue    string
	age      time.Duration // of its submissions when they are added
	memoryMB int64         // of each task
	fills    bool          // its tasks are best-effort ones
	ends     int           // a tenth of a second and runner
	runners  int
	added    int
}

// newStream returns a stream over runners of 16 cores, all of which are full.
func newStream(t *testing.T, runners int, s stream) *stream {
	t.Helper()
	s.harness, s.runners = newHarness(t, 0, runners), runners
	infos := s.table.Runners()
	for i := range infos {
		infos[i].Capacity = submitter.Resources{MilliCores: 16_000, MemoryMB: 64_000}
	}
	s.table.SetRunners(infos, s.now)
	s.pollAll(runners)
	s.feed(20 * runners)
	for len(s.starts()) > 0 {
		s.pollAll(runners)
	}
	return &s
}

// feed adds tasks to the stream.
func (s *stream) feed(tasks int) {
	for range tasks {
		step := submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: s.memoryMB}, Estimate: time.Second, Fills: s.fills}
		s.addAged(fmt.Sprintf("small%06d", s.added), s.queue, s.age, step)
		s.added++
	}
}

// addAged adds a submission of one step that was accepted some time ago.
func (h *harness) addAged(id, queue string, age time.Duration, step submitter.Step) {
	h.table.Add(&submitter.Submission{ID: id, Queue: queue, Spec: id, Steps: []submitter.Step{step}, AcceptedAt: h.now.Add(-age)}, nil, h.now)
}

// pass lets a tenth of a second pass and returns the starts in it.
func (s *stream) pass() []Order {
	s.advance(100 * time.Millisecond)
	for i := range s.runners {
		for range s.ends {
			s.finishOldest(fmt.Sprintf("r%d", i))
		}
	}
	s.feed(s.ends * s.runners)
	return s.starts()
}

// firstStart returns the orders of the pass in which a submission starts first, and how
// long it has waited for that, up to a limit.
func (s *stream) firstStart(id string, limit time.Duration) (orders []Order, waited time.Duration) {
	since := s.now
	for s.now.Sub(since) <= limit {
		for _, o := range s.pass() {
			if o.Task.Submission == id {
				orders = append(orders, o)
			}
		}
		if len(orders) > 0 {
			break
		}
	}
	return orders, s.now.Sub(since)
}

// assertStartsWithin checks that a submission starts some tasks, all at once, within
// waitBound.
func (s *stream) assertStartsWithin(t *testing.T, id string, tasks int) {
	t.Helper()
	orders, waited := s.firstStart(id, waitBound)
	if len(orders) != tasks {
		t.Errorf("%d tasks have started after %s, want %d within %s", len(orders), waited, tasks, waitBound)
	}
}

// large returns a step of tasks that fill a runner of the stream.
func large(count int) submitter.Step {
	return submitter.Step{Count: count, Resources: submitter.Resources{MilliCores: 16_000, MemoryMB: 1000}, Estimate: time.Second}
}

// Guards against late tasks that never run, as smaller ones take each gap.
func TestLateTaskOfManyCoresRuns(t *testing.T) {
	for _, c := range []struct {
		name     string
		runners  int
		memoryMB int64 // of each small task
		wanted   submitter.Resources
	}{
		{"16 cores, on one runner", 1, 100, submitter.Resources{MilliCores: 16_000, MemoryMB: 1000}},
		{"16 cores, on several runners", 6, 100, submitter.Resources{MilliCores: 16_000, MemoryMB: 1000}},
		{"4 cores, on several runners", 6, 100, submitter.Resources{MilliCores: 4000, MemoryMB: 1000}},
		{"much memory, on several runners", 6, 6000, submitter.Resources{MilliCores: 1000, MemoryMB: 48_000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t, c.runners, stream{queue: "urgent", age: 3 * time.Second, memoryMB: c.memoryMB, ends: 1})
			s.add("large", "urgent", submitter.Step{Count: 2, Resources: c.wanted, Estimate: time.Second})
			s.assertStartsWithin(t, "large", 1)
		})
	}
}

// Guards against late gangs that never run, as others take the room of each member.
func TestLateGangRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		runners int
		members int
		cores   int64 // of each
		spread  int   // most members on a runner
	}{
		{"members that fill half of the runners", 8, 4, 16, 1},
		{"members that fill a quarter of the runners", 8, 2, 16, 0},
		{"several members on a runner", 8, 6, 5, 3},
		{"members that fill the only runner", 1, 4, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t, c.runners, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
			step := large(c.members)
			step.MilliCores, step.Gang, step.MaxPerRunner = 1000*c.cores, true, c.spread
			s.add("gang", "urgent", step)
			s.assertStartsWithin(t, "gang", c.members)
		})
	}
}

// Guards against tasks of a less urgent queue that never run beside a more urgent one.
func TestLateTaskOfALessUrgentQueueRuns(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   time.Duration // of the more urgent submissions
		cores int64
	}{
		{"one core, beside late work", 3 * time.Second, 1},
		{"four cores, beside late work", 3 * time.Second, 4},
		{"one core, beside work that is on time", 0, 1},
		{"16 cores, beside work that is on time", 0, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t, 4, stream{queue: "urgent", age: c.age, memoryMB: 100, ends: 1})
			step := large(1)
			step.MilliCores = 1000 * c.cores
			s.add("night", "night", step)
			s.assertStartsWithin(t, "night", 1)
		})
	}
}

// Guards against late tasks that need permits and never run: a permit is requested only once
// a runner has room, and until it is granted smaller tasks take that.
func TestLateTaskThatNeedsPermitsRuns(t *testing.T) {
	gang := large(2)
	gang.Gang, gang.MaxPerRunner = true, 1
	for _, c := range []struct {
		name string
		step submitter.Step
	}{{"single task", large(2)}, {"gang", gang}} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t, 4, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
			s.configure(nil, append(testQueues, submitter.Queue{Name: "advised", Service: "s", MaxAttempts: 2, NeedsPermits: true})...)
			s.add("large", "advised", c.step)
			waiting := make(map[time.Time]PermitRequest) // by when they are answered
			for until := s.now.Add(waitBound); s.now.Before(until); {
				for at, request := range waiting {
					if s.now.Before(at) {
						continue
					}
					var permits []Permit
					for _, id := range request.Runners {
						permits = append(permits, Permit{Runner: id, Ticket: "x"})
					}
					s.table.ApplyPermits(request, permits, 2*time.Second, s.now)
					delete(waiting, at)
				}
				for _, o := range s.pass() {
					if o.Task.Submission == "large" {
						return
					}
				}
				for _, request := range s.table.PermitRequests() {
					waiting[s.now.Add(500*time.Millisecond)] = request
				}
			}
			t.Errorf("nothing has started within %s", waitBound)
		})
	}
}

// Guards against room kept for late work that work which is on time would need: of 20
// runners one at a time is kept for single tasks, and with a gang half of them.
func TestWorkOnTimeKeepsMostOfTheRoom(t *testing.T) {
	const runners, coresPerRunner = 20, 16
	for _, c := range []struct {
		name string
		gang bool
		kept int // the most runners that are empty at a time
	}{
		{"beside single tasks", false, 1},
		{"beside gangs", true, runners / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t, runners, stream{queue: "urgent", memoryMB: 100, ends: 1})
			step := large(5)
			step.Gang = c.gang
			for i := range 10 {
				s.addAged(fmt.Sprint("late", i), "urgent", waitBound, step)
			}
			starts, onTime := 0, 0
			for range 300 {
				for _, o := range s.pass() {
					starts++
					if s.table.subs[o.Task.Submission].sub.AcceptedAt.After(epoch.Add(-waitBound)) {
						onTime++
					}
				}
				free := int64(0)
				for _, r := range s.table.runners {
					free += r.free().MilliCores
				}
				if most := int64(c.kept) * coresPerRunner * 1000; free > most {
					t.Fatalf("%d milliCores are free after a pass, want at most %d: those of %d runners", free, most, c.kept)
				}
			}
			if onTime < starts*9/10 {
				t.Errorf("%d of %d starts are of work that is on time, want at least nine tenths", onTime, starts)
			}
		})
	}
}

// Guards against room that stays closed to other work although nothing needs it any more.
func TestKeptRoomIsGivenUp(t *testing.T) {
	newKept := func(t *testing.T, step submitter.Step) *stream {
		t.Helper()
		s := newStream(t, 2, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100})
		s.addAged("large", "urgent", waitBound, step)
		s.pass()
		if len(s.table.reserved) != 1 {
			t.Fatalf("%d runners with reserved room, want one", len(s.table.reserved))
		}
		return s
	}
	gang := large(1)
	gang.MilliCores, gang.Gang = 8000, true
	for _, c := range []struct {
		name string
		step submitter.Step
	}{{"single task", large(1)}, {"gang", gang}} {
		t.Run(c.name, func(t *testing.T) {
			t.Run("that has started", func(t *testing.T) {
				s := newKept(t, c.step)
				s.ends = 1
				s.firstStart("large", waitBound)
				s.assertReserved(t)
			})
			t.Run("that is cancelled", func(t *testing.T) {
				s := newKept(t, c.step)
				s.table.Cancel("large", s.now)
				s.pass()
				s.assertReserved(t)
			})
			t.Run("whose runner leaves", func(t *testing.T) {
				s := newKept(t, c.step)
				infos, left, other := s.table.Runners(), s.table.reserved[0].info.ID, ""
				for i := range infos {
					if infos[i].Draining = infos[i].ID == left; !infos[i].Draining {
						other = infos[i].ID
					}
				}
				s.table.SetRunners(infos, s.now)
				s.assertReserved(t, other)
			})
		})
	}
	t.Run("for a long-running task", func(t *testing.T) {
		s := newKept(t, large(1))
		kept := s.table.reserved[0].info.ID
		for range 4 {
			s.finishOldest(kept)
		}
		assertStarts(t, s.starts(), 0)
		s.add("long", "urgent", lasting(1, 4000))
		s.advance(100 * time.Millisecond)
		orders := s.starts()
		assertStarts(t, orders, 1)
		assertFirst(t, orders, "long")
	})
}

// assertReserved checks on which runners room is reserved.
func (s *stream) assertReserved(t *testing.T, want ...string) {
	t.Helper()
	var ids []string
	for _, r := range s.table.reserved {
		ids = append(ids, r.info.ID)
	}
	if !slices.Equal(ids, want) {
		t.Errorf("room is reserved on %v, want %v", ids, want)
	}
}

// Guards against late tasks that are passed over while younger ones get the room.
func TestRoomIsKeptForTheLongestIdleFirst(t *testing.T) {
	s := newStream(t, 4, stream{queue: "urgent", age: 3 * time.Second, memoryMB: 100, ends: 1})
	for i, age := range []time.Duration{12 * time.Second, 14 * time.Second, 13 * time.Second} {
		s.addAged(fmt.Sprint("large", i), "urgent", age, large(1))
	}
	var started []string
	for range 150 {
		for _, o := range s.pass() {
			if s.table.subs[o.Task.Submission].sub.Steps[0].MilliCores > 1000 {
				started = append(started, o.Task.Submission)
			}
		}
	}
	if want := []string{"large1", "large2", "large0"}; !slices.Equal(started, want) {
		t.Errorf("started %v, want %v", started, want)
	}
}

// Guards against kept room that stays empty, as a pass ends early on the starts of more urgent
// work.
func TestKeptRoomIsUsedWhileManyStartsAreDue(t *testing.T) {
	const runners = 20
	s := newStream(t, runners, stream{queue: "urgent", memoryMB: 100})
	s.addAged("night", "night", waitBound, large(1))
	s.advance(100 * time.Millisecond)
	for i := range runners {
		for range 16 {
			s.finishOldest(fmt.Sprintf("r%d", i))
		}
	}
	s.feed(2 * maxQueuedStarts)
	s.table.Schedule(s.now)
	orders := s.execute(s.table.Orders())
	assertStarts(t, orders, maxQueuedStarts)
	assertEachRuns(t, orders, "night")
}

// Guards against room that is kept for a task of much memory on a runner of which little is
// free, as that has more processors free.
func TestRoomIsKeptWhereMemoryIsFreeSoonest(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.table.runners["r0"].used = submitter.Resources{MilliCores: 4000, MemoryMB: 20_000}
	h.table.runners["r1"].used = submitter.Resources{MilliCores: 1000, MemoryMB: 60_000}
	h.addAged("large", "urgent", waitBound, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 1000, MemoryMB: 48_000}})
	h.table.Tick(h.now)
	if kept := h.table.reserved; len(kept) != 1 || kept[0].info.ID != "r0" {
		t.Errorf("room is reserved on %d runners, want only on r0", len(kept))
	}
}
