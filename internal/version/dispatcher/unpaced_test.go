package dispatcher

import (
	"fmt"
	"testing"
	"time"
)

// newIdleBesideService returns a harness with a service on its only runner and some late
// best-effort submissions.
func newIdleBesideService(t *testing.T, late int) *harness {
	t.Helper()
	h, _ := newFilledHarness(t)
	step := bestEffort("batch", 1)
	step.MilliCores = 4000
	for i := range late {
		h.add(fmt.Sprint("late", i), "night", step)
	}
	h.advance(20 * time.Second)
	h.reportTail(8)
	h.settlePaces()
	return h
}

// backgroundStarts runs a placement pass and returns its starts in the background.
func (h *harness) backgroundStarts() (orders []Order) {
	h.table.placementDue = true
	h.table.Schedule(h.now)
	for _, o := range h.table.Orders() {
		if x := h.table.find(o); o.Kind == Start && x != nil && x.isSlow {
			orders = append(orders, o)
		}
	}
	return orders
}

// Guards against several best-effort tasks that start at full speed beside a service at once,
// although it bears them only in the background.
func TestOneBackgroundStartAtATimeBesideAService(t *testing.T) {
	h := newIdleBesideService(t, 6)
	orders := h.backgroundStarts()
	assertStarts(t, orders, 1)
	next := func() []Order {
		h.advance(blockedBestEffortPause)
		return h.backgroundStarts()
	}
	t.Run("none while the start is under way", func(t *testing.T) { assertStarts(t, next(), 0) })
	h.execute(orders)
	t.Run("none before the pace is confirmed", func(t *testing.T) { assertStarts(t, next(), 0) })
	x := h.table.find(orders[0])
	h.table.ApplyPace(Order{Kind: Pace, Runner: "r0", Task: x.id(), Run: x.number, Percent: backgroundPercent}, Unanswered, h.now)
	t.Run("none after a lost answer", func(t *testing.T) { assertStarts(t, next(), 0) })
	h.table.ApplyPace(Order{Kind: Pace, Runner: "r0", Task: x.id(), Run: x.number, Percent: backgroundPercent}, Succeeded, h.now)
	t.Run("the next one then", func(t *testing.T) { assertStarts(t, next(), 1) })
}

func TestStartThatIsRefusedIsNotWaitedFor(t *testing.T) {
	h := newIdleBesideService(t, 6)
	orders := h.backgroundStarts()
	assertStarts(t, orders, 1)
	h.table.ApplyStart(orders[0], NoRoom, 1, h.now)
	h.advance(failurePause)
	h.reportTail(8)
	assertStarts(t, h.backgroundStarts(), 1)
}

func TestManyBackgroundStartsWithoutServices(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.pollAll(1)
	h.add("small", "night", bestEffort("batch", 40))
	h.starts()
	for i := range 6 {
		h.addAged(fmt.Sprint("late", i), "night", waitBound, bestEffort("batch", 1))
	}
	h.advance(2 * time.Second)
	h.poll("r0")
	assertStarts(t, h.backgroundStarts(), 6)
}

// Guards against a gang that never starts where it fits only with several members beside one
// service.
func TestGangStartsInTheBackgroundTogether(t *testing.T) {
	h := newIdleBesideService(t, 0)
	gang := bestEffort("batch", 3)
	gang.Gang = true
	h.addAged("gang", "night", waitBound, gang)
	assertStarts(t, h.backgroundStarts(), 3)
}

// Guards against best-effort work for which a runner has room at full speed and that doesn't
// start, since another submission's start in the background waits for a pace there.
func TestStartsAtFullSpeedDoNotWaitForThePaceOfOthers(t *testing.T) {
	const late = 40
	h, _ := newContendedHarness(t)
	for i := range late {
		h.addAged(fmt.Sprintf("late%02d", i), "night", waitBound, bestEffort("batch", 1))
	}
	h.add("fresh", "night", bestEffort("batch", 1))
	h.reportTail(4)
	for n := range late {
		h.startsPaced()
		if h.anyRun("fresh") != nil {
			if n > 0 {
				t.Errorf("the task that fits at full speed starts in pass %d, want the first one", n+1)
			}
			return
		}
		h.reportTail(4)
	}
	t.Errorf("the task that fits at full speed has not started in %d passes over %s, want the first one", late, time.Duration(late)*blockedBestEffortPause)
}
