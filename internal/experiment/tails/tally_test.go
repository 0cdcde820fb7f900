package tails

import (
	"math"
	"testing"
	"time"
)

func TestTallyTakesTheRequestsOfItsWindow(t *testing.T) {
	way, bound := newTally(), newTally()
	var samples []sample
	for n := range 201 {
		latency := time.Duration(n+1) * time.Millisecond
		samples = append(samples, sample{arrival: arrival{due: time.Duration(n)}, latency: latency})
	}
	samples[0].outcome = outcomeNotRun
	bound.add(samples, window{from: 0, to: 101})
	way.add(samples, window{from: 101, to: 201})
	if bound.counts[outcomeAnswered] != 100 || bound.counts[outcomeNotRun] != 1 || way.counts[outcomeAnswered] != 100 {
		t.Errorf("counts = %v and %v", bound.counts, way.counts)
	}
	const want, tolerance = 2.0, 0.01
	if ratio := way.ratio(bound, 99); math.Abs(ratio-want) > tolerance {
		t.Errorf("ratio = %.3f, want %.3f", ratio, want)
	}
}
