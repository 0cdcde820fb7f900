package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// newFilledHarness returns a harness with a service on r0 beside which small best-effort tasks
// take all room, and the orders that started these.
func newFilledHarness(t *testing.T) (h *harness, small []Order) {
	t.Helper()
	h, _ = newContendedHarness(t)
	for range 50 {
		h.table.interference.pressures.Learn("web", 0.3, map[string]float64{"batch": 4})
	}
	h.add("small", "night", bestEffort("batch", 200))
	h.reportTail(8)
	return h, h.starts()
}

// newCrowdedHarness returns a filled harness with a large submission that is late.
func newCrowdedHarness(t *testing.T) *harness {
	t.Helper()
	h, _ := newFilledHarness(t)
	large := bestEffort("batch", 2)
	large.MilliCores = 4000
	h.add("large", "night", large)
	h.advance(20 * time.Second)
	h.reportTail(8)
	h.settlePaces()
	h.startsPaced()
	if x := h.anyRun("large"); x == nil {
		t.Fatal("nothing of the large submission runs")
	}
	return h
}

// anyRun returns a run of a submission, or nil.
func (h *harness) anyRun(id string) *run {
	for _, st := range h.table.subs[id].occs[0].steps {
		for i := range st.tasks {
			for _, x := range st.tasks[i].runs {
				return x
			}
		}
	}
	return nil
}

// settlePaces confirms all orders of a pace until none is left.
func (h *harness) settlePaces() {
	for orders := h.table.Orders(); len(orders) > 0; orders = h.table.Orders() {
		for _, o := range orders {
			if o.Kind == Pace {
				h.table.ApplyPace(o, Succeeded, h.now)
			}
		}
	}
}

// startsPaced runs a placement pass, and carries out its starts and all orders of a pace.
func (h *harness) startsPaced() {
	h.table.placementDue = true
	h.table.Schedule(h.now)
	orders := h.table.Orders()
	h.execute(orders)
	for _, o := range orders {
		if o.Kind == Pace {
			h.table.ApplyPace(o, Succeeded, h.now)
		}
	}
	h.settlePaces()
	h.now = h.now.Add(blockedBestEffortPause)
}

func assertPace(t *testing.T, x *run, want int) {
	t.Helper()
	if x.pace != want {
		t.Errorf("%s runs at pace %d, want %d", x.id(), x.pace, want)
	}
}

// Guards against runs of late submissions that are stopped and begun anew, as they are slow.
func TestBackgroundRun(t *testing.T) {
	t.Run("has its pace from its start on", func(t *testing.T) {
		h := newCrowdedHarness(t)
		assertPace(t, h.anyRun("large"), backgroundPercent)
	})
	t.Run("keeps it while the others are slowed down and moved", func(t *testing.T) {
		h := newCrowdedHarness(t)
		x := h.anyRun("large")
		for range 20 {
			h.advance(slowFor / 2)
			h.reportTail(15)
			h.settlePaces()
		}
		assertPace(t, x, backgroundPercent)
		if x.phase != running {
			t.Error("it was stopped")
		}
	})
	t.Run("halts with the others and goes on", func(t *testing.T) {
		h := newCrowdedHarness(t)
		x := h.anyRun("large")
		for range 5 {
			h.advance(500 * time.Millisecond)
			h.reportTail(30)
			h.settlePaces()
		}
		assertPace(t, x, 0)
		for range 5 {
			h.advance(500 * time.Millisecond)
			h.reportTail(5)
			h.settlePaces()
		}
		assertPace(t, x, backgroundPercent)
	})
	t.Run("gets full speed in the order of its submission once there is room", func(t *testing.T) {
		h := newCrowdedHarness(t)
		x := h.anyRun("large")
		h.table.Cancel("small", h.now)
		for _, row := range slices.Clone(h.reported["r0"]) {
			if row.Task.Submission == "small" {
				h.drop(Order{Runner: "r0", Task: row.Task, Run: row.Run})
				h.poll("r0", End{Task: row.Task, Run: row.Run, Kind: Stopped})
			}
		}
		for range 3 {
			h.advance(time.Second)
			h.reportTail(5)
			h.starts()
		}
		assertPace(t, x, fullPace)
		if x.isSlow || x.runner.background.runs != 0 {
			t.Errorf("in the background: %v, runs there %d, want none", x.isSlow, x.runner.background.runs)
		}
	})
}

// Guards against best-effort work that is late and idle, of which none runs where small tasks
// use all that services leave.
func TestAllLateSubmissionsRunInTheBackground(t *testing.T) {
	h := newCrowdedHarness(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		step := bestEffort("batch", 3)
		step.MilliCores = 3000
		h.add(id, "night", step)
	}
	h.advance(20 * time.Second)
	h.reportTail(9) // none of them has room at full speed
	h.settlePaces()
	for range 5 { // each start beside the service waits for the pace of the one before
		h.startsPaced()
	}
	for _, id := range []string{"large", "a", "b", "c", "d"} {
		x := h.anyRun(id)
		if x == nil {
			t.Errorf("nothing of %s runs", id)
			continue
		}
		assertPace(t, x, backgroundPercent)
	}
	r := h.table.runners["r0"]
	if part := float64(r.background.milliCores) / float64(r.bestEffort.milliCores); part > 0.25 {
		t.Errorf("background runs use %.2f of what best-effort tasks use, want at most a quarter", part)
	}
}

// Guards against a change of owner after which all late best-effort tasks go at full speed.
func TestAdoptedRunsOfLateSubmissions(t *testing.T) {
	for _, c := range []struct {
		name, queue string
		step        submitter.Step
		age         time.Duration
		isSlow      bool
	}{
		{"late best-effort task", "night", bestEffort("batch", 1), time.Minute, true},
		{"best-effort task that is on time", "night", bestEffort("batch", 1), 0, false},
		{"late task that reserves processors", "urgent", oneCore(1), time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, 1)
			h.table.Add(&submitter.Submission{
				ID: "a", Queue: c.queue, Steps: []submitter.Step{c.step}, AcceptedAt: h.now.Add(-c.age),
			}, nil, h.now)
			h.reported["r0"] = []RunStatus{{Task: submitter.TaskID{Submission: "a"}, Run: 1, Percent: 40}}
			h.poll("r0")
			want := fullPace
			if c.isSlow {
				want = backgroundPercent
			}
			assertPace(t, h.anyRun("a"), want)
		})
	}
}
