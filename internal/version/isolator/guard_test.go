package isolator

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// A bench is a worker with one service and batch tasks whose true effect on
// the service is known.
type bench struct {
	perCore map[string]float64
	tasks   map[string]Reading
	percent map[string]int
}

func (b *bench) readings(at time.Time) []Reading {
	slowdown := 0.0
	var readings []Reading
	for name, task := range b.tasks {
		task.MilliCores = task.MilliCores * int64(100-b.percent[name]) / 100
		slowdown += b.perCore[task.Class] * float64(task.MilliCores) / milliCoresPerCore
		task.At = at
		readings = append(readings, task)
	}
	speed := int(math.Round(100 * 100 / (100 + slowdown)))
	return append(readings, Reading{Task: "svc", Class: "order", LatencyCritical: true, SpeedPercent: speed, At: at})
}

func (b *bench) follow(advice Advice) {
	for _, throttle := range advice.Throttles {
		b.percent[throttle.Task] = throttle.Throttle
	}
	for _, task := range advice.Evictions {
		delete(b.tasks, task)
	}
}

func newBench() *bench {
	return &bench{
		perCore: map[string]float64{"noisy": 10, "quiet": 0},
		tasks: map[string]Reading{
			"n": {Task: "n", Class: "noisy", MilliCores: 8000, SpeedPercent: 100},
			"q": {Task: "q", Class: "quiet", MilliCores: 8000, SpeedPercent: 100},
		},
		percent: map[string]int{},
	}
}

// run lets the guard observe the bench for some seconds, with measurements
// that are two seconds old, and returns the number of steps.
func (b *bench) run(g *Guard, from time.Time, seconds int) (steps int) {
	var lagging [][]Reading
	for second := range seconds {
		now := from.Add(time.Duration(second) * time.Second)
		lagging = append(lagging, b.readings(now))
		if len(lagging) < 3 {
			continue
		}
		advice := g.Observe("w", lagging[0], now)
		lagging = lagging[1:]
		if len(advice.Throttles)+len(advice.Evictions) > 0 {
			steps++
		}
		b.follow(advice)
	}
	return steps
}

func TestGuard(t *testing.T) {
	b := newBench()
	g := NewGuard(NewLearner())
	steps := b.run(g, start, 120)
	t.Run("the service recovers", func(t *testing.T) {
		service := b.readings(start)[len(b.readings(start))-1]
		if got := service.slowdown(); got > highSlowdown {
			t.Errorf("slowdown %.1f %% after %d steps, want at most %.1f %%", got, steps, highSlowdown)
		}
	})
	t.Run("the learner tells the classes apart", func(t *testing.T) {
		if noisy, quiet := g.learner.Slowdown("order", "noisy", start), g.learner.Slowdown("order", "quiet", start); noisy < 2*quiet {
			t.Errorf("noisy %.2f and quiet %.2f percent per core, want noisy at least twice", noisy, quiet)
		}
	})
	t.Run("steps end", func(t *testing.T) {
		if more := b.run(g, start.Add(2*time.Minute), 120); more > 2 {
			t.Errorf("%d more steps under steady load, want at most 2", more)
		}
	})
	t.Run("processors are given back when the load has gone", func(t *testing.T) {
		b.perCore["noisy"] = 0
		b.run(g, start.Add(4*time.Minute), 300)
		if b.percent["q"] != 0 || (b.percent["n"] != 0 && b.tasks["n"].Task != "") {
			t.Errorf("still throttled: %v", b.percent)
		}
	})
}

func TestGuardWaitsForEffect(t *testing.T) {
	g := NewGuard(NewLearner())
	b := newBench()
	first := g.Observe("w", b.readings(start.Add(2*time.Second)), start.Add(4*time.Second))
	second := g.Observe("w", b.readings(start.Add(3*time.Second)), start.Add(5*time.Second))
	if len(first.Throttles) != 1 || len(second.Throttles) != 0 {
		t.Errorf("throttles %v then %v, want one and none", first.Throttles, second.Throttles)
	}
}

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
