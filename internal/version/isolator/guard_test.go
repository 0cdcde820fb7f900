package isolator

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// A simulatedWorker runs one service and batch tasks that slow it down by a
// known amount per core of each class.
type simulatedWorker struct {
	perCore   map[string]float64
	tasks     map[string]Reading
	throttles map[string]int
}

func (w *simulatedWorker) readings(at time.Time) []Reading {
	slowdown := 0.0
	var readings []Reading
	for name, task := range w.tasks {
		task.MilliCores = task.MilliCores * int64(100-w.throttles[name]) / 100
		slowdown += w.perCore[task.Class] * float64(task.MilliCores) / milliCoresPerCore
		task.At = at
		readings = append(readings, task)
	}
	speed := int(math.Round(100 * 100 / (100 + slowdown)))
	return append(readings, Reading{Task: "svc", Class: "order", LatencyCritical: true, SpeedPercent: speed, At: at})
}

func (w *simulatedWorker) apply(advice Advice) {
	for _, throttle := range advice.Throttles {
		w.throttles[throttle.Task] = throttle.Throttle
	}
	for _, task := range advice.Evictions {
		delete(w.tasks, task)
	}
}

func newSimulatedWorker() *simulatedWorker {
	return &simulatedWorker{
		perCore: map[string]float64{"noisy": 10, "quiet": 0},
		tasks: map[string]Reading{
			"n": {Task: "n", Class: "noisy", MilliCores: 8000, SpeedPercent: 100},
			"q": {Task: "q", Class: "quiet", MilliCores: 8000, SpeedPercent: 100},
		},
		throttles: map[string]int{},
	}
}

// run passes the readings of a number of seconds to the guard, each two seconds
// late, applies its advice and returns the number of steps.
func (w *simulatedWorker) run(g *Guard, from time.Time, seconds int) (steps int) {
	var delayed [][]Reading
	for second := range seconds {
		now := from.Add(time.Duration(second) * time.Second)
		delayed = append(delayed, w.readings(now))
		if len(delayed) < 3 {
			continue
		}
		advice := g.Observe("w", delayed[0], now)
		delayed = delayed[1:]
		if len(advice.Throttles)+len(advice.Evictions) > 0 {
			steps++
		}
		w.apply(advice)
	}
	return steps
}

// The guard throttles the batch tasks until a slowed service recovers, then
// settles, and lifts the throttles once the interference ends.
func TestGuard(t *testing.T) {
	w := newSimulatedWorker()
	g := NewGuard(NewLearner())
	steps := w.run(g, start, 120)
	t.Run("the service recovers", func(t *testing.T) {
		service := w.readings(start)[len(w.readings(start))-1]
		if got := service.slowdown(); got > highSlowdown {
			t.Errorf("slowdown %.1f %% after %d steps, want at most %.1f %%", got, steps, highSlowdown)
		}
	})
	t.Run("the learner distinguishes the classes", func(t *testing.T) {
		if noisy, quiet := g.learner.Slowdown("order", "noisy", start), g.learner.Slowdown("order", "quiet", start); noisy < 2*quiet {
			t.Errorf("noisy %.2f and quiet %.2f percent per core, want noisy at least twice", noisy, quiet)
		}
	})
	t.Run("throttles settle under steady load", func(t *testing.T) {
		if more := w.run(g, start.Add(2*time.Minute), 120); more > 2 {
			t.Errorf("%d more steps under steady load, want at most 2", more)
		}
	})
	t.Run("throttles are lifted when the interference ends", func(t *testing.T) {
		w.perCore["noisy"] = 0
		w.run(g, start.Add(4*time.Minute), 300)
		if w.throttles["q"] != 0 || (w.throttles["n"] != 0 && w.tasks["n"].Task != "") {
			t.Errorf("still throttled: %v", w.throttles)
		}
	})
}

// Guards against a second, unneeded step, caused by a reading that was made
// before the first step had taken effect. Readings lag by two seconds.
func TestGuardWaitsForEffect(t *testing.T) {
	g := NewGuard(NewLearner())
	w := newSimulatedWorker()
	first := g.Observe("w", w.readings(start.Add(2*time.Second)), start.Add(4*time.Second))
	second := g.Observe("w", w.readings(start.Add(3*time.Second)), start.Add(5*time.Second))
	if len(first.Throttles) != 1 || len(second.Throttles) != 0 {
		t.Errorf("throttles %v then %v, want one and none", first.Throttles, second.Throttles)
	}
}

// Estimates remain finite and never become negative, whatever the readings.
func TestLearnerStaysInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLearner()
		for range rapid.IntRange(1, 50).Draw(rt, "readings") {
			l.Observe([]Reading{
				{Task: "s", Class: "order", LatencyCritical: true, SpeedPercent: rapid.IntRange(1, 100).Draw(rt, "speed")},
				{Task: "b", Class: "noisy", MilliCores: rapid.Int64Range(0, 32000).Draw(rt, "milliCores"), SpeedPercent: 100},
			})
			if got := l.Slowdown("order", "noisy", start); got < 0 || math.IsNaN(got) || math.IsInf(got, 0) {
				rt.Fatalf("estimate %g", got)
			}
		}
	})
}
