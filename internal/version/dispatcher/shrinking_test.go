package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newFullHarness returns a harness with one runner on which six tasks run.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("first", "urgent", oneCore(6))
	assertStarts(t, h.starts(), 6)
	return h
}

// finish ends the oldest runs on r0.
func (h *harness) finish(runs int) {
	for range runs {
		h.finishOldest("r0")
	}
	h.advance(2 * blockedPause)
}

func (h *harness) assertOvercommitted(want bool) {
	h.t.Helper()
	if r := h.table.runners["r0"]; r.isOvercommitted() != want {
		h.t.Errorf("overcommitted %t with %+v of %+v in use, want %t", !want, r.used, r.info.Capacity, want)
	}
}

// Nothing is started on a runner whose runs exceed what it has shrunk to, not even what
// takes nothing of the amount that is exceeded.
func TestNothingStartsOnAShrunkRunnerUntilItsRunsFit(t *testing.T) {
	t.Parallel()
	var (
		fewCores     = withCores(4)
		littleMemory = submitter.Resources{MilliCores: testCapacity.MilliCores, MemoryMB: 400}
		nothing      = submitter.Resources{}
	)
	for _, test := range []struct {
		name     string
		capacity submitter.Resources
		step     submitter.Step
		finish   int // runs until one more task fits, or more than there are
	}{
		{"cores", fewCores, oneCore(1), 3},
		{"no cores", fewCores, submitter.Step{Count: 1, Resources: submitter.Resources{MemoryMB: 1}}, 2},
		{"nothing at all", fewCores, submitter.Step{Count: 1}, 2},
		{"best effort", fewCores, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 100, MemoryMB: 1}, Fills: true}, 3},
		{"gang", fewCores, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 1000}, Gang: true}, 3},
		{"long-running", fewCores, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 1000}, LongRunning: true}, 3},
		{"memory", littleMemory, submitter.Step{Count: 1, Resources: submitter.Resources{MemoryMB: 100}}, 3},
		{"no memory", littleMemory, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 100}}, 2},
		{"no memory, best effort", littleMemory, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 100}, Fills: true}, 2},
		{"cores, shrunk to nothing", nothing, oneCore(1), 7},
		{"best effort, shrunk to nothing", nothing, submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 100}, Fills: true}, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := newFullHarness(t)
			h.registerCapacity(test.capacity, 1)
			h.assertOvercommitted(true)
			h.add("next", "urgent", test.step)
			h.finish(min(6, test.finish-1))
			assertStarts(t, h.starts(), 0)
			if test.finish > 6 {
				h.registerCapacity(testCapacity, 1)
				h.advance(2 * blockedPause)
			} else {
				h.finish(1)
			}
			assertStarts(t, h.starts(), 1)
			h.assertOvercommitted(false)
		})
	}
}

func TestRunsGoOnWhenTheirRunnerShrinks(t *testing.T) {
	t.Parallel()
	h := newFullHarness(t)
	h.registerCapacity(withCores(1), 1)
	for range 10 {
		h.advance(500 * time.Millisecond)
		for i := range h.reported["r0"] {
			h.reported["r0"][i].Percent++
		}
		h.poll("r0")
	}
	if counts := kinds(h.table.Orders()); len(counts) > 0 {
		t.Errorf("orders by kind %v, want none", counts)
	}
}

// What is being stopped takes up room on a shrunk runner until its end is listed, although
// the runner reports it no more.
func TestRunsBeingStoppedTakeUpAShrunkRunner(t *testing.T) {
	t.Parallel()
	h := newFullHarness(t)
	h.registerCapacity(withCores(4), 1)
	var ends []End
	for _, row := range h.reported["r0"][:3] {
		order := Order{Kind: Stop, Runner: "r0", Task: row.Task, Run: row.Run}
		h.table.stop(h.table.find(order), h.now, "test")
		h.table.ApplyStop(order, Succeeded, h.now)
		ends = append(ends, End{Task: row.Task, Run: row.Run, Kind: Stopped})
	}
	h.table.Orders()
	h.reported["r0"] = h.reported["r0"][3:]
	h.advance(2 * blockedPause)
	h.poll("r0")
	h.add("next", "urgent", oneCore(2))
	assertStarts(t, h.starts(), 0)
	h.poll("r0", ends...)
	h.advance(2 * blockedPause)
	assertStarts(t, h.starts(), 1)
}

// Starts that were ordered before a runner shrank exceed its capacity until the caller has
// taken them back.
func TestUnsentStartsCountOnAShrunkRunner(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("a", "urgent", oneCore(5))
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	assertStarts(t, orders, 5)
	h.assertOvercommitted(false)
	h.registerCapacity(withCores(4), 1)
	h.assertOvercommitted(true)
	h.table.ApplyStart(orders[0], NotSent, 0, h.now)
	h.assertOvercommitted(false)
}

func TestNoCopyStartsOnAShrunkRunner(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("first", "urgent", oneCore(6))
	assertStarts(t, h.starts(), 6)
	h.setRunners(2)
	h.registerCapacity(withCores(4), 1)
	h.pollAll(2)
	step := oneCore(1)
	step.Speculative = true
	h.add("next", "urgent", step)
	assertStarts(t, h.starts(), 1)
	for range 4 {
		h.advance(copyAfter / 2)
		h.pollAll(2) // no copies of runs on silent runners
		assertStarts(t, h.execute(h.table.Orders()), 0)
	}
	h.registerCapacity(testCapacity, 1)
	h.advance(copyAfter / 2)
	copied := h.execute(h.table.Orders())
	assertStarts(t, copied, 1)
	if copied[0].Runner != "r0" {
		t.Errorf("copied on %s, want r0", copied[0].Runner)
	}
}

func TestPermitsDoNotOutweighAShrunkCapacity(t *testing.T) {
	t.Parallel()
	h, request := newPermitHarness(t)
	h.registerCapacity(withCores(1), 1)
	h.table.ApplyPermits(request, []Permit{{Runner: "r0", Ticket: "x"}}, 3*time.Second, h.now)
	assertStarts(t, h.starts(), 1)
}

// A runner that has become too small for a task is not reserved for it, and goes on with
// others.
func TestShrunkRunnersAreNotReserved(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("large", "urgent", submitter.Step{Count: 1, Resources: submitter.Resources{MilliCores: 6000}, LongRunning: true})
	large := h.starts()
	assertStarts(t, large, 1)
	h.drop(large[0])
	h.poll("r0", End{Task: large[0].Task, Run: large[0].Run, Kind: Failure})
	h.add("small", "urgent", oneCore(20))
	h.table.subs["large"].occs[0].steps[0].blockedAt = h.now
	assertStarts(t, h.starts(), 8)
	h.registerCapacity(withCores(4), 1)
	for range 3 {
		h.advance(reserveAfter / 2)
		h.poll("r0")
		assertStarts(t, h.starts(), 0)
	}
	h.finish(5)
	assertStarts(t, h.starts(), 1)
}

// A new owner uses the registry's figures, whatever the roster of the former one says, and
// counts what it takes over against them.
func TestNewOwnerUsesTheRegistrysCapacity(t *testing.T) {
	t.Parallel()
	for _, roster := range []int64{2, 8} {
		t.Run(fmt.Sprintf("roster says %d cores", roster), func(t *testing.T) {
			t.Parallel()
			h := &harness{t: t, now: epoch, ends: make(map[string]int64), reported: make(map[string][]RunStatus)}
			h.table = New(testLimits, testFence, 1, recorder.Discard{}, h.now)
			h.configure(nil, testQueues...)
			h.table.ExpectRunners([]RunnerInfo{{ID: "r0", Service: "s", DataCentre: "z", Capacity: withCores(roster), Lifetime: 1}})
			h.add("first", "urgent", oneCore(6))
			for i := range 6 {
				h.reported["r0"] = append(h.reported["r0"], RunStatus{Task: submitter.TaskID{Submission: "first", Index: i}, Run: 1})
			}
			h.poll("r0")
			h.registerCapacity(withCores(4), 1)
			h.assertOvercommitted(true)
			h.advance(time.Second)
			h.poll("r0")
			h.add("next", "urgent", oneCore(8))
			assertStarts(t, h.starts(), 0)
			h.finish(3)
			assertStarts(t, h.starts(), 1)
		})
	}
}

func TestLoadFollowsTheCapacity(t *testing.T) {
	t.Parallel()
	h := newFullHarness(t)
	h.registerCapacity(withCores(4), 1)
	if load := h.table.Load(); load.Capacity != 4000 || load.Reserved != 6000 {
		t.Errorf("load %+v, want 6000 of 4000 milliCores", load)
	}
}

// Guards against starts on a restarted runner by the capacity and the labels of its former
// incarnation, which may have been of another kind.
func TestRestartedRunnerWaitsForItsEntry(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("a", "urgent", oneCore(8))
	h.reportRestart()
	h.registerCapacity(testCapacity, 1)
	assertStarts(t, h.starts(), 0)
	h.registerCapacity(withCores(4), 2)
	h.advance(2 * blockedPause)
	h.table.Report("r0", Report{Token: testFence + 1, Lifetime: 2, Clock: 200}, h.now, h.now.Add(time.Millisecond))
	assertStarts(t, h.starts(), 4)
}

// reportRestart answers two polls of runner r0 that was restarted: one that was meant for its
// former incarnation, and one with the token of the new one.
func (h *harness) reportRestart() {
	for clock := range int64(2) {
		token, _ := h.table.Token("r0")
		h.table.Report("r0", Report{Token: token, Lifetime: 2, Clock: 1 + clock}, h.now, h.now.Add(time.Millisecond))
	}
}

func TestEntryWithoutAnIncarnationCounts(t *testing.T) {
	t.Parallel()
	h := newHarness(t, 0, 1)
	h.reportRestart()
	h.registerCapacity(withCores(4), 0)
	h.add("a", "urgent", oneCore(8))
	assertStarts(t, h.starts(), 4)
}
