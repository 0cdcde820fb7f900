package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// drawHealth draws the health after up to 30 observations before the given time.
func drawHealth(t *rapid.T, now time.Time) Health {
	var h Health
	for range rapid.IntRange(0, 30).Draw(t, "observations") {
		outcome := Observation(rapid.IntRange(int(Answered), int(HedgeLost)).Draw(t, "seen"))
		before := time.Duration(rapid.IntRange(0, 20000).Draw(t, "before")) * time.Millisecond
		latency := time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond
		h = h.With(outcome, latency, now.Add(-before))
	}
	return h
}

func TestPickedRunnerHasFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		candidates := make([]Candidate, rapid.IntRange(0, 6).Draw(t, "runners"))
		free := 0
		for i := range candidates {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			candidates[i] = Candidate{
				IsLocal:    rapid.Bool().Draw(t, "near"),
				IsExcluded: rapid.IntRange(0, 3).Draw(t, "closed") == 0,
				Slots:      slots,
				InFlight:   rapid.IntRange(0, slots).Draw(t, "inFlight"),
				Health:     drawHealth(t, now),
			}
			free += candidates[i].Free(Median(candidates), now)
		}
		index, ok := Pick(candidates, rapid.IntRange(0, 100).Draw(t, "offset"), rapid.Bool().Draw(t, "probe"), Median(candidates), now)
		if !ok {
			if free > 0 && Median(candidates) == 0 {
				t.Fatalf("no runner was picked although %d slots are free", free)
			}
			return
		}
		chosen := candidates[index]
		if chosen.IsExcluded || chosen.InFlight >= chosen.Slots || chosen.Health.IsEjected(now) {
			t.Fatalf("picked %+v, which is excluded, fully used or ejected", chosen)
		}
	})
}

func TestHealth(t *testing.T) {
	t.Run("a runner that fails fast is ejected and returns gradually", func(t *testing.T) {
		var h Health
		now := start
		for range 7 {
			h = h.With(Failed, time.Millisecond, now)
		}
		assertLimit(t, h, now, 0)
		now = h.EjectedUntil()
		assertLimit(t, h, now, 1)
		h = h.With(Answered, 50*time.Millisecond, now)
		assertLimit(t, h, now, 1)
		assertLimit(t, h, now.Add(slowStart/2), 4)
		assertLimit(t, h, now.Add(slowStart), 8)
	})
	t.Run("a runner that fails occasionally is not ejected", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 0))
		var h Health
		for i := range 10_000 {
			outcome := Answered
			if random.IntN(100) < 6 {
				outcome = Broken
			}
			h = h.With(outcome, time.Millisecond, start.Add(time.Duration(i)*time.Millisecond))
			if h.IsProbing() {
				t.Fatalf("ejected after %d answers", i)
			}
		}
	})
	t.Run("a failed probe lengthens the ejection", func(t *testing.T) {
		h := Health{}.With(Unreachable, 0, start)
		first := h.EjectedUntil().Sub(start)
		h = h.With(Unreachable, 0, h.EjectedUntil())
		if second := h.EjectedUntil().Sub(start.Add(first)); second <= first {
			t.Errorf("second ejection takes %v, the first %v", second, first)
		}
	})
	t.Run("a slow runner gets fewer slots", func(t *testing.T) {
		var h Health
		for range 100 {
			h = h.With(Answered, 600*time.Millisecond, start)
		}
		if limit := h.Limit(8, 50*time.Millisecond, start); limit > 3 {
			t.Errorf("limit = %d, want at most 3 of 8 slots", limit)
		}
	})
	t.Run("a leaving runner gets no requests", func(t *testing.T) {
		assertLimit(t, Health{}.WithLeaving(start.Add(time.Minute)), start, 0)
	})
	t.Run("cancelled requests do not count as failures", func(t *testing.T) {
		var h Health
		for range 100 {
			h = h.With(Cancelled, time.Second, start)
		}
		assertLimit(t, h, start, 8)
	})
}

func assertLimit(t *testing.T, h Health, now time.Time, want int) {
	t.Helper()
	if got := h.Limit(8, 0, now); got != want {
		t.Errorf("limit = %d, want %d", got, want)
	}
}

// Guards against slow runners that appear fast because their exchanges end early, when
// another attempt of a hedged request answers first.
func TestLostHedgesRaiseLatency(t *testing.T) {
	var h Health
	for range minLatencySamples {
		h = h.With(Answered, 50*time.Millisecond, start)
	}
	answered := h.Latency()
	for range 10 {
		h = h.With(HedgeLost, 50*time.Millisecond, start)
	}
	if h.Latency() < 19*answered/10 {
		t.Errorf("latency = %v after lost hedges, want about twice %v", h.Latency(), answered)
	}
	if h.IsEjected(start) || h.IsProbing() {
		t.Error("a runner was ejected for lost hedges")
	}
}
