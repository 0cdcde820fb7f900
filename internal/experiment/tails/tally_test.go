package tails

import (
	"math"
	"testing"
	"time"
)

func TestTallyCountsOnlyItsWindow(t *testing.T) {
	tallied, bound := newTally(), newTally()
	var samples []sample
	for n := range 201 {
		latency := time.Duration(n+1) * time.Millisecond
		samples = append(samples, sample{arrival: arrival{due: time.Duration(n)}, latency: latency})
	}
	samples[0].outcome = outcomeNotRun
	bound.add(samples, window{from: 0, to: 101})
	tallied.add(samples, window{from: 101, to: 201})
	if bound.counts[outcomeAnswered] != 100 || bound.counts[outcomeNotRun] != 1 || tallied.counts[outcomeAnswered] != 100 {
		t.Errorf("counts = %v and %v, want 100 answered in each and 1 not run in the first", bound.counts, tallied.counts)
	}
	const want, tolerance = 2.0, 0.01
	if ratio := tallied.ratio(bound, 99); math.Abs(ratio-want) > tolerance {
		t.Errorf("ratio = %.3f, want %.3f", ratio, want)
	}
}
