package forwarder

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func drawLoad(t *rapid.T) Load {
	slots := rapid.IntRange(0, 50).Draw(t, "slots")
	return Load{
		Slots:       slots,
		Free:        rapid.IntRange(0, slots).Draw(t, "free"),
		Queued:      rapid.IntRange(0, 100).Draw(t, "queued"),
		MeanService: time.Duration(rapid.IntRange(1, 100).Draw(t, "service")) * time.Millisecond,
		ReportedAt:  start.Add(-time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second),
		SentSince:   rapid.IntRange(0, 20).Draw(t, "sentSince"),
	}
}

func TestChooseTakesTheBestKnownPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := drawLoad(t)
		candidates := make([]Candidate, rapid.IntRange(0, 7).Draw(t, "peers"))
		for i := range candidates {
			candidates[i] = Candidate{IsLocal: rapid.Bool().Draw(t, "near"), Remote: rapid.Bool().Draw(t, "remote"), Load: drawLoad(t)}
		}
		index, ok := Choose(own, candidates, rapid.IntRange(0, 100).Draw(t, "offset"), start)
		if !ok {
			for _, c := range candidates {
				if !c.Remote && c.Load.isKnown(start) && c.Load.Spare() > 0 {
					t.Fatalf("not forwarded although a peer has spare slots: %+v", c)
				}
			}
			return
		}
		chosen := candidates[index]
		if chosen.Remote || !chosen.Load.isKnown(start) || chosen.Load.SentSince >= chosen.Load.Slots {
			t.Fatalf("chose a peer that is remote, full or without a recent report: %+v", chosen)
		}
		if own.Slots > 0 && chosen.Load.Spare() <= 0 && chosen.Load.Wait() >= own.Wait() {
			t.Fatalf("chose a peer whose wait is not shorter: %+v, own %+v", chosen.Load, own)
		}
	})
}

func TestChooseRemote(t *testing.T) {
	free := Candidate{Remote: true, Load: Load{Slots: 8, Free: 8, ReportedAt: start}}
	t.Run("only if the link is faster than the wait", func(t *testing.T) {
		if _, ok := ChooseRemote(5*time.Millisecond, 16*time.Millisecond, []Candidate{free}, start); ok {
			t.Error("chose a remote peer although the wait is shorter than the link's delay")
		}
		if _, ok := ChooseRemote(50*time.Millisecond, 16*time.Millisecond, []Candidate{free}, start); !ok {
			t.Error("chose no remote peer although the wait is longer than the link's delay")
		}
	})
	t.Run("only with spare slots", func(t *testing.T) {
		full := free
		full.Load.Free = 0
		if _, ok := ChooseRemote(time.Second, 0, []Candidate{full}, start); ok {
			t.Error("chose a remote peer without spare slots")
		}
	})
}

func TestParseLoad(t *testing.T) {
	for _, value := range []string{"", "8/4/0", "8/4/0/x", "-1/0/0/0", "8/4/0/50000/1"} {
		if _, ok := parseLoad(value, start); ok {
			t.Errorf("load %q was accepted", value)
		}
	}
	load, ok := parseLoad("8/4/1/50000", start)
	if want := (Load{Slots: 8, Free: 4, Queued: 1, MeanService: 50 * time.Millisecond, ReportedAt: start}); !ok || load != want {
		t.Errorf("load = %+v, want %+v", load, want)
	}
}
