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

func TestWorkerIsToBlame(t *testing.T) {
	t.Run("several intents fail there and nowhere else", func(t *testing.T) {
		l := NewLedger()
		for i := range 3 {
			l.RecordFailure("w0", fmt.Sprintf("i%d/0", i), fmt.Sprintf("i%d", i), start)
		}
		assertQuarantined(t, l, "w0", true)
	})
	t.Run("the intent goes well elsewhere", func(t *testing.T) {
		l := NewLedger()
		for i := range 3 {
			l.RecordFailure("w0", fmt.Sprintf("i/%d", i), "i", start)
		}
		assertQuarantined(t, l, "w0", false)
		l.RecordSuccess("w1", "i", start)
		assertQuarantined(t, l, "w0", true)
	})
	t.Run("one task fails again and again", func(t *testing.T) {
		l := NewLedger()
		l.RecordSuccess("w1", "i", start)
		for range 10 {
			l.RecordFailure("w0", "i/0", "i", start)
		}
		assertQuarantined(t, l, "w0", false)
	})
}

func TestJobIsToBlame(t *testing.T) {
	l := NewLedger()
	for i := range 30 {
		l.RecordFailure(fmt.Sprintf("w%d", i%3), fmt.Sprintf("i/%d", i), "i", start)
	}
	for i := range 3 {
		assertQuarantined(t, l, fmt.Sprintf("w%d", i), false)
	}
	t.Run("its failures pause the workers", func(t *testing.T) {
		if !l.Paused("w0", start.Add(time.Second)) || l.Paused("w0", start.Add(time.Hour)) {
			t.Error("want a pause that ends")
		}
	})
	t.Run("the rest is refused after three", func(t *testing.T) {
		for n := 1; n <= 3; n++ {
			if whole := l.RecordRefusal("i"); whole != (n == 3) {
				t.Errorf("refusal %d: whole intent %t", n, whole)
			}
		}
	})
}

func TestProbe(t *testing.T) {
	l := NewLedger()
	l.RestoreQuarantine("w0", "restored", start)
	later := start.Add(firstProbe)
	if l.MayProbe("w0", start) || !l.MayProbe("w0", later) {
		t.Error("want a probe after the first pause only")
	}
	l.RecordFailure("w0", "i/0", "i", later)
	if l.MayProbe("w0", later.Add(firstProbe)) || !l.MayProbe("w0", later.Add(2*firstProbe)) {
		t.Error("want the pause to double after a failed probe")
	}
	if released, _ := l.RecordSuccess("w0", "i", later); !released {
		t.Error("want a good run to end the quarantine")
	}
	assertQuarantined(t, l, "w0", false)
}
