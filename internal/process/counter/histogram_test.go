package counter

import (
	"encoding/json"
	"testing"
	"time"
)

func TestHistogram(t *testing.T) {
	h := New().Histogram("test")
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Hour} {
		h.Observe(d)
	}
	var counts map[string]int
	if err := json.Unmarshal([]byte(h.String()), &counts); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int{"le1ms": 2, "le5ms": 1, "more": 1, "le2ms": 0} {
		if counts[name] != want {
			t.Errorf("%s: %d, want %d", name, counts[name], want)
		}
	}
}
