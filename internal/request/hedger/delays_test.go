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
