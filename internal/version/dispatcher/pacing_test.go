package dispatcher

import (
	"math"
	"testing"
	"time"
)

// carryOut carries out pace orders and returns the paces that were ordered, in percent.
func (h *harness) carryOut(orders []Order) (paces []int) {
	for _, o := range orders {
		if o.Kind == Pace {
			paces = append(paces, o.Percent)
			h.table.ApplyPace(o, Succeeded, h.now)
		}
	}
	return paces
}

// assertPaced checks that a single pace was ordered, and that it is in a range.
func assertPaced(t *testing.T, paces []int, low, high int) {
	t.Helper()
	if len(paces) != 1 || paces[0] < low || paces[0] > high {
		t.Errorf("paces %v ordered, want one from %d to %d", paces, low, high)
	}
}

func TestTailAboveTargetPacesBestEffortTaskAtOnce(t *testing.T) {
	h, _ := newContendedHarness(t)
	h.reportTail(30)
	assertPaced(t, h.carryOut(h.table.Orders()), 0, 50)
}

func TestCalmTailLeavesBestEffortTaskAlone(t *testing.T) {
	h, _ := newContendedHarness(t)
	for range 10 {
		h.reportTail(8)
		h.advance(500 * time.Millisecond)
		if orders := h.table.Orders(); kinds(orders)[Stop]+kinds(orders)[Pace] > 0 {
			t.Fatalf("orders %+v with a calm tail latency", orders)
		}
	}
}

// Load: a service whose load rises and falls by half every few seconds, with a
// best-effort task beside it that disturbs it. The task is slowed down while the load is
// high, and is never stopped: each restart takes longer than the load takes to change.
func TestBestEffortTaskFollowsTheLoadOfAService(t *testing.T) {
	h, order := newContendedHarness(t)
	image := h.table.find(order).st.spec.Image
	for range 300 {
		h.table.interference.pressures.Learn("web", 0.2, map[string]float64{image: 1})
	}
	const idle, target, period, pressure = 4.0, 18.0, 14.0, 0.2
	over, ranFor := 0, 0.0
	const reports = 120
	for i := range reports {
		load := 0.45 + 0.22*math.Sin(2*math.Pi*float64(i)/2/period)
		pace := float64(h.table.find(order).pace) / fullPace
		tail := idle / (1 - min(0.98, load+pressure*pace))
		if tail > target {
			over++
		}
		ranFor += pace
		h.reportTail(math.Round(tail))
		orders := h.table.Orders()
		if kinds(orders)[Stop] > 0 {
			t.Fatalf("stopped at report %d", i)
		}
		h.carryOut(orders)
		h.advance(499 * time.Millisecond)
	}
	if over > reports/20 {
		t.Errorf("the tail latency was above its target in %d of %d reports, want at most a twentieth", over, reports)
	}
	if ranFor < reports/3 {
		t.Errorf("the task ran at %.0f %% of its full speed, want at least a third", 100*ranFor/reports)
	}
}

// Load: more best-effort tasks than fit beside the services of one runner, while another
// runner has room.
func TestSlowBestEffortTaskMoves(t *testing.T) {
	newSlowHarness := func(t *testing.T, percent int) *harness {
		h, _ := newContendedHarness(t)
		info, _ := h.table.Runner("r0")
		other := info
		other.ID = "r1"
		h.table.SetRunners([]RunnerInfo{info, other}, h.now)
		h.poll("r1")
		h.advance(time.Second)
		h.poll("r1")
		for i := range h.reported["r0"] {
			h.reported["r0"][i].Percent = percent
		}
		return h
	}
	stops := func(h *harness) (n int) {
		for range 4 {
			h.reportTail(60)
			orders := h.table.Orders()
			h.carryOut(orders)
			n += kinds(orders)[Stop]
			h.advance(300 * time.Millisecond)
			h.poll("r1")
		}
		return n
	}
	t.Run("to a runner with room", func(t *testing.T) {
		if n := stops(newSlowHarness(t, 10)); n != 1 {
			t.Errorf("%d stops, want 1", n)
		}
	})
	t.Run("not if it is nearly done", func(t *testing.T) {
		if n := stops(newSlowHarness(t, 90)); n != 0 {
			t.Errorf("%d stops, want none", n)
		}
	})
}

// Load: a tail latency that stays above its target although no best-effort task
// causes it according to the learnt pressures. All best-effort tasks on the runner
// have to halt before HarmAfter is over.
func TestBestEffortTasksHaltWithinHarmAfter(t *testing.T) {
	h, order := newContendedHarness(t)
	image := h.table.find(order).st.spec.Image
	for range 200 {
		h.table.interference.pressures.Learn("web", 0, map[string]float64{image: 4})
	}
	halted := time.Duration(0)
	for since := time.Duration(0); since < testLimits.HarmAfter; since += 500 * time.Millisecond {
		h.reportTail(19)
		if len(h.carryOut(h.table.Orders())) > 0 {
			halted = since
			break
		}
		h.advance(499 * time.Millisecond)
	}
	if halted == 0 || halted > testLimits.HarmAfter/2 {
		t.Errorf("halted after %s, want more than 0 and at most half of HarmAfter, which is %s", halted, testLimits.HarmAfter)
	}
	t.Run("resumes once tails are calm", func(t *testing.T) {
		resumed := false
		for range 6 {
			h.reportTail(6)
			h.advance(500 * time.Millisecond)
			for _, pace := range h.carryOut(h.table.Orders()) {
				resumed = resumed || pace == fullPace
			}
		}
		if !resumed {
			t.Error("best-effort tasks are still halted")
		}
	})
}

// Guards against two orders for the pace of one run that overtake each other, so that
// the runner keeps the older one.
func TestPaceOrdersAreSentOneByOne(t *testing.T) {
	h, _ := newContendedHarness(t)
	h.reportTail(60)
	first := h.table.Orders()
	if kinds(first)[Pace] != 1 {
		t.Fatalf("orders %+v, want one pace", first)
	}
	for range 8 {
		h.advance(300 * time.Millisecond)
		h.reportTail(6)
	}
	if orders := h.table.Orders(); kinds(orders)[Pace] > 0 {
		t.Fatalf("orders %+v while another pace is under way, want none", orders)
	}
	h.table.ApplyPace(first[0], Unanswered, h.now)
	assertPaced(t, h.carryOut(h.table.Orders()), fullPace, fullPace)
}

// Guards against a pace that a runner has refused and that counts as carried out.
func TestRefusedPaceIsOrderedAgainWithTheNextReport(t *testing.T) {
	h, _ := newContendedHarness(t)
	h.reportTail(60)
	first := h.table.Orders()
	if kinds(first)[Pace] != 1 {
		t.Fatalf("orders %+v, want one pace", first)
	}
	h.table.ApplyPace(first[0], Unhealthy, h.now)
	if orders := h.table.Orders(); len(orders) != 0 {
		t.Fatalf("orders %+v at once, want none before the next report", orders)
	}
	h.advance(500 * time.Millisecond)
	h.reportTail(60)
	assertPaced(t, h.carryOut(h.table.Orders()), 0, 50)
}
