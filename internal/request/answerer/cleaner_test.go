package answerer

import (
	"net/http"
	"testing"
	"time"
)

func TestEndToEnd(t *testing.T) {
	header := http.Header{
		"Connection":      {"X-Hop, close"},
		"X-Hop":           {"1"},
		"Upgrade":         {"websocket"},
		"Kumquat-Outcome": {"answered"},
		"X-Print":         {"7"},
	}
	clean := EndToEnd(header)
	if len(clean) != 1 || clean.Get("X-Print") != "7" {
		t.Errorf("end-to-end fields = %v", clean)
	}
	if len(header) != 5 {
		t.Errorf("EndToEnd changed its argument: %v", header)
	}
}

func TestParseRemaining(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1": time.Millisecond, "600000": MaxDeadline, "0": 0, "-1": 0, "600001": 0, "1.5": 0, "": 0, "1 ": 0,
	} {
		got, err := ParseRemaining(value)
		if got != want || (err == nil) != (want > 0) {
			t.Errorf("ParseRemaining(%q) = %v, %v; want %v", value, got, err, want)
		}
	}
}
