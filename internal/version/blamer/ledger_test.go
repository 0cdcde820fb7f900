package blamer

import (
	"fmt"
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

func assertQuarantined(t *testing.T, l *Ledger, worker string, want bool) {
	t.Helper()
	if _, got := l.Quarantined(worker); got != want {
		t.Errorf("quarantined %t, want %t", got, want)
	}
}

// A worker is quarantined if its failures are not explained by the intents that
// ran there.
func TestWorkerIsToBlame(t *testing.T) {
	t.Run("several intents fail only on this worker", func(t *testing.T) {
		l := NewLedger()
		for i := range 3 {
			l.RecordFailure("w0", fmt.Sprintf("i%d/0", i), fmt.Sprintf("i%d", i), start)
		}
		assertQuarantined(t, l, "w0", true)
	})
	t.Run("the intent succeeds on another worker", func(t *testing.T) {
		l := NewLedger()
		for i := range 3 {
			l.RecordFailure("w0", fmt.Sprintf("i/%d", i), "i", start)
		}
		assertQuarantined(t, l, "w0", false)
		l.RecordSuccess("w1", "i", start)
		assertQuarantined(t, l, "w0", true)
	})
	t.Run("repeated failures of one task count once", func(t *testing.T) {
		l := NewLedger()
		l.RecordSuccess("w1", "i", start)
		for range 10 {
			l.RecordFailure("w0", "i/0", "i", start)
		}
		assertQuarantined(t, l, "w0", false)
	})
}

// An intent that fails on every worker must not get its workers quarantined;
// they are paused, and its remaining tasks are refused.
func TestIntentIsToBlame(t *testing.T) {
	l := NewLedger()
	for i := range 30 {
		l.RecordFailure(fmt.Sprintf("w%d", i%3), fmt.Sprintf("i/%d", i), "i", start)
	}
	for i := range 3 {
		assertQuarantined(t, l, fmt.Sprintf("w%d", i), false)
	}
	t.Run("its failures pause the workers for a while", func(t *testing.T) {
		if !l.Paused("w0", start.Add(time.Second)) || l.Paused("w0", start.Add(time.Hour)) {
			t.Error("want a pause that ends within an hour")
		}
	})
	t.Run("the remaining tasks are refused after three refusals", func(t *testing.T) {
		for n := 1; n <= 3; n++ {
			if refuseRest := l.RecordRefusal("i"); refuseRest != (n == 3) {
				t.Errorf("refusal %d: refuse the remaining tasks %t", n, refuseRest)
			}
		}
	})
}

// A quarantined worker gets a task as a health check after a delay, which
// doubles when the check fails. A success ends the quarantine.
func TestProbe(t *testing.T) {
	l := NewLedger()
	l.RestoreQuarantine("w0", "restored", start)
	later := start.Add(firstProbeDelay)
	if l.MayProbe("w0", start) || !l.MayProbe("w0", later) {
		t.Error("want the first health check after firstProbeDelay, not before")
	}
	l.RecordFailure("w0", "i/0", "i", later)
	if l.MayProbe("w0", later.Add(firstProbeDelay)) || !l.MayProbe("w0", later.Add(2*firstProbeDelay)) {
		t.Error("want the delay to double after a failed health check")
	}
	if released, _ := l.RecordSuccess("w0", "i", later); !released {
		t.Error("want a success to end the quarantine")
	}
	assertQuarantined(t, l, "w0", false)
}
