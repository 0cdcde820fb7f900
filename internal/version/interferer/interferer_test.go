package interferer

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

// A bench is one worker with a service and two batch tasks: "casting" slows
// the service, "proofs" doesn't.
type bench struct {
	controller *Controller
	now        time.Time
	// alone is the latency of the service without neighbours.
	alone     time.Duration
	throttles map[string]int
	gone      map[string]bool
	// changes counts the steps taken.
	changes int
}

func newBench() *bench {
	return &bench{
		controller: NewController(NewLearner()), now: start, alone: 10 * time.Millisecond,
		throttles: map[string]int{}, gone: map[string]bool{},
	}
}

// reading returns the measurement of one worker with the tasks that run there.
func (b *bench) reading(worker string, tasks ...string) *Reading {
	r := &Reading{Worker: worker, At: b.now}
	latency := float64(b.alone)
	for _, task := range tasks {
		if b.gone[task] {
			continue
		}
		share := 0.4 * float64(100-b.throttles[task]) / 100
		if task == "casting" {
			latency += float64(b.alone) * share
		}
		r.Neighbours = append(r.Neighbours, Neighbour{Task: task, Class: task, Share: share})
	}
	r.Services = []Service{{Task: "orders", Class: "orders", Latency: time.Duration(latency)}}
	return r
}

// run makes readings of the loaded worker, of one without neighbours, and of
// one with the harmless task alone.
func (b *bench) run(readings int) (last float64) {
	for range readings {
		b.now = b.now.Add(5 * time.Second)
		idle := b.reading("w1")
		b.controller.learner.Observe(idle)
		b.controller.learner.Observe(b.reading("w2", "proofs"))
		r := b.reading("w0", "casting", "proofs")
		b.controller.learner.Observe(r)
		advice := b.controller.Decide(r, b.now)
		for _, step := range advice.Throttles {
			b.throttles[step.Class] = step.Percent
			b.changes++
		}
		for _, task := range advice.Evictions {
			b.gone[task] = true
			b.changes++
		}
		last = float64(r.Services[0].Latency) / float64(b.alone)
	}
	return last
}

func TestThrottlesTheCulprit(t *testing.T) {
	b := newBench()
	ratio := b.run(60)
	if ratio > slowLimit {
		t.Errorf("the service is slowed to %.2f", ratio)
	}
	if b.throttles["casting"] == 0 && !b.gone["casting"] {
		t.Error("the culprit was left alone")
	}
	if b.gone["proofs"] || b.throttles["proofs"] > 0 {
		t.Errorf("the harmless task was throttled to %d", b.throttles["proofs"])
	}
	changes := b.changes
	b.run(60)
	t.Logf("%d steps in the first 5 minutes, %d in the next", changes, b.changes-changes)
	if b.changes-changes > changes {
		t.Errorf("%d steps after %d: they alternate", b.changes-changes, changes)
	}
}

func TestLoadShift(t *testing.T) {
	b := newBench()
	b.run(60)
	steps := b.changes
	b.alone = 25 * time.Millisecond
	b.run(20)
	b.gone["casting"] = true
	b.run(40)
	if b.throttles["proofs"] > 0 || b.gone["proofs"] {
		t.Errorf("the service's own load is blamed on a harmless task, after %d steps", b.changes-steps)
	}
}

func TestSlowdownEstimate(t *testing.T) {
	b := newBench()
	for range 200 {
		b.now = b.now.Add(5 * time.Second)
		b.controller.learner.Observe(b.reading("w1"))
		b.controller.learner.Observe(b.reading("w0", "casting"))
		b.controller.learner.Observe(b.reading("w2", "proofs"))
	}
	if got := b.controller.learner.Slowdown("orders", "casting"); got < 35 || got > 45 {
		t.Errorf("casting slows orders by %d %%, want about 40", got)
	}
	if got := b.controller.learner.Slowdown("orders", "proofs"); got > 3 {
		t.Errorf("proofs slow orders by %d %%, want about 0", got)
	}
}
