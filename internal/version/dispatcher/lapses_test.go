package dispatcher

import (
	"testing"
	"time"
)

func TestLapses(t *testing.T) {
	h := newHarness(t, 0, 2)
	h.pollAll(2)
	h.advance(time.Second)
	assertLapse := func(id string, want time.Duration) {
		t.Helper()
		lapse, ok := h.table.Lapses(h.now)[id]
		if got := lapse.Sub(h.now); ok != (want > 0) || (ok && got != want) {
			t.Errorf("leases on %s lapse after %s (listed: %t), want %s", id, got, ok, want)
		}
	}
	longest := scaleDrift(testLimits.MaxLease) + lapseMargin // a former owner may have renewed them
	t.Run("from the last answer on", func(t *testing.T) {
		assertLapse("r1", longest-time.Second)
	})
	t.Run("not listed once they have lapsed", func(t *testing.T) {
		h.advance(longest)
		assertLapse("r1", 0)
	})
	t.Run("starts that a restarted runner may carry out", func(t *testing.T) {
		h := newHarness(t, 0, 1)
		h.advance(longest) // those of former owners have lapsed
		h.poll("r0")
		h.startUnanswered()
		h.restart("r0")
		if got := h.table.Lapses(h.now)["r0"].Sub(h.now); got < maxCallDelay {
			t.Errorf("lapse after %s, want after those of orders on their way", got)
		}
	})
	t.Run("not known without the roster", func(t *testing.T) {
		h := newHarness(t, 1, 1)
		h.table.ExpectOtherRunners()
		if lapses := h.table.Lapses(h.now); lapses != nil {
			t.Errorf("lapses %v, want none as others may have leases", lapses)
		}
	})
}

// Guards against a new owner that counts on the longest lease at a runner that never
// answers it, although its predecessor has reported when the leases there lapse.
func TestNewOwnerIsToldOfLapses(t *testing.T) {
	const left = 2 * time.Second
	for _, c := range []struct {
		name    string
		leases  map[string]time.Duration
		expects func(table *Table) // sets what else the new owner counts on
		want    time.Duration      // until the first start
	}{
		{"lapsed", map[string]time.Duration{}, nil, 0},
		{"not lapsed", map[string]time.Duration{"r1": left}, nil, left},
		{"not reported", nil, nil, scaleDrift(testLimits.MaxLease) + lapseMargin},
		{"unknown runner", map[string]time.Duration{"other": left}, (*Table).ExpectOtherRunners, left},
		{
			"earlier owners may act",
			map[string]time.Duration{},
			func(table *Table) { table.SetEarlierOwnersEnd(epoch.Add(time.Second)) },
			time.Second + scaleDrift(testLimits.MaxLease) + lapseMargin,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newTakeoverHarness(t, 2)
			if c.expects != nil {
				c.expects(h.table)
			}
			h.table.MarkSettled([]string{"r0"}, h.now)
			h.table.ExpectLapses(lapsesFrom(h.now, c.leases))
			assertFirstStart(t, h, c.want, "r0")
		})
	}
}

// assertFirstStart polls some runners, and checks when the first task starts.
func assertFirstStart(t *testing.T, h *harness, want time.Duration, polled ...string) {
	t.Helper()
	const step = 100 * time.Millisecond
	began := h.now
	for h.now.Sub(began) <= want+2*step {
		for _, id := range polled {
			h.poll(id)
		}
		if len(h.starts()) > 0 {
			if got := h.now.Sub(began); got < want {
				t.Errorf("started after %s, want after %s at the earliest", got, want)
			}
			return
		}
		h.advance(step)
	}
	t.Errorf("not started within %s", want+2*step)
}

// lapsesFrom returns the lapses of leases that last for some time from now, or nil.
func lapsesFrom(now time.Time, leases map[string]time.Duration) map[string]time.Time {
	if leases == nil {
		return nil
	}
	lapses := make(map[string]time.Time, len(leases))
	for id, left := range leases {
		lapses[id] = now.Add(left)
	}
	return lapses
}
