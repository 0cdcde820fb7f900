package dispatcher

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Guards against passes that try steps anew in each pass although nothing has ended: a gang of
// which only some members fit is placed and taken back.
func TestLongRunningGangsThatDoNotFitPauseBetweenAttempts(t *testing.T) {
	const span, between = 500 * time.Millisecond, 5 * time.Millisecond
	h := newHarness(t, 0, 3)
	h.pollAll(3)
	gang := func() submitter.Step {
		step := lasting(8, 1500)
		step.Gang, step.MaxPerRunner = true, 2
		return step
	}
	h.add("a", "urgent", gang())
	h.starts()
	h.now = h.now.Add(blockedPause / 2)
	h.add("b", "urgent", gang())
	tries := 0
	for until := h.now.Add(span); h.now.Before(until); h.now = h.now.Add(between) {
		assertStarts(t, h.starts(), 0)
		if h.table.evaluations > 0 {
			tries++
		}
	}
	if most := 2 * (1 + int(span/blockedPause)); tries > most {
		t.Errorf("gangs were tried in %d of %d passes within %s, want at most %d", tries, span/between, span, most)
	}
}
