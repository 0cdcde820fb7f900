package hedger

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestDelays(t *testing.T) {
	delays := NewDelays()
	random := rand.New(rand.NewPCG(1, 2))
	for range minSamples - 1 {
		delays.Observe("charm", time.Second)
	}
	if _, ok := delays.Of("charm"); ok {
		t.Error("the delay is known before minSamples responses")
	}
	for range 20_000 {
		delays.Observe("charm", time.Duration(random.IntN(1000))*time.Millisecond)
	}
	delay, ok := delays.Of("charm")
	if !ok || delay < 900*time.Millisecond || delay > time.Second {
		t.Errorf("delay = %v, %t, want the 95th percentile of 0 to 1 s", delay, ok)
	}
	if _, ok := delays.Of("other"); ok {
		t.Error("the delay of an upstream without samples is known")
	}
}

// Guards against second attempts that use up the retry budget of a daemon that has just
// started: the delay was still near its first sample, so that most responses exceeded it.
func TestDelayIsUsableOnceItIsKnown(t *testing.T) {
	const mean, responses = 10 * time.Millisecond, 100
	for name, first := range map[string]time.Duration{"quick first response": mean / 10, "slow first response": 10 * mean} {
		t.Run(name, func(t *testing.T) {
			exceeding := 0
			for seed := range uint64(responses) {
				random := rand.New(rand.NewPCG(seed, 1))
				response := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
				var d Delay
				for d = d.With(first); d.samples < minSamples; {
					d = d.With(response())
				}
				if delay, ok := d.Value(); !ok {
					t.Fatalf("no delay after %d responses", minSamples)
				} else if response() > delay {
					exceeding++
				}
			}
			if exceeding > responses/10 {
				t.Errorf("%d of %d responses take longer than the delay, want about 5 %%", exceeding, responses)
			}
		})
	}
}
