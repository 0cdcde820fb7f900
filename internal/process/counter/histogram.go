package counter

import (
	"encoding/json"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds, inclusive, of a histogram's buckets. A last bucket has no
// bound.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// A Histogram counts durations in fixed buckets, so that its memory doesn't grow. It is safe for
// concurrent use.
type Histogram struct {
	buckets [len(histogramBounds) + 1]atomic.Int64
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	for i, bound := range histogramBounds {
		if d <= bound {
			h.buckets[i].Add(1)
			return
		}
	}
	h.buckets[len(histogramBounds)].Add(1)
}

// String implements expvar.Var. It returns a JSON object with the count of each bucket, by the
// bucket's upper bound, for example {"le1ms":3,"le2ms":0,…,"more":1}.
func (h *Histogram) String() string {
	counts := make(map[string]int64, len(h.buckets))
	for i, bound := range histogramBounds {
		counts["le"+bound.String()] = h.buckets[i].Load()
	}
	counts["more"] = h.buckets[len(histogramBounds)].Load()
	text, err := json.Marshal(counts)
	if err != nil {
		return "{}" // can't happen: a map of integers can always be encoded
	}
	return string(text)
}

// Histogram publishes a new histogram under a name and returns it.
func (s *Set) Histogram(name Name) *Histogram {
	h := &Histogram{}
	s.vars.Set(string(name), h)
	return h
}
