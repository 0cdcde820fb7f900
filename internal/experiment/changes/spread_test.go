package changes

import (
	"testing"
	"time"
)

// TestInForce guards against taking other events, or lines that are not JSON, for
// versions that came into force.
func TestInForce(t *testing.T) {
	log := `text before
{"fields":{"event":3301,"at":"2026-01-02T03:04:05Z","version":"7"}}
{"fields":{"event":3303,"at":"2026-01-02T03:04:06Z","version":"8"}}
`
	found := inForce([]byte(log))
	if want := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC); len(found) != 1 || !found[7].Equal(want) {
		t.Errorf("found %v, want version 7 at %s alone", found, want)
	}
}
