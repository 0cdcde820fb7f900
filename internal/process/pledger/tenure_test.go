package pledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawTenure returns a tenure that was renewed at the time and has a list of n
// guarantors.
func drawTenure(renewed time.Time, n int) *tenure {
	own := newTenure(1)
	own.renewed = renewed
	own.revision = 2
	own.lists = [][]Guarantor{make([]Guarantor, n)}
	for i := range n {
		own.lists[0][i] = Guarantor{Daemon: fmt.Sprintf("d%d", i), Incarnation: int64(i)}
	}
	return own
}

// TestEvictedIsNotExtended lets a successor block the least number of
// guarantors while the others go on pledging.
func TestEvictedIsNotExtended(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Now()
		n := rapid.IntRange(1, 9).Draw(r, "guarantors")
		own := drawTenure(now, n)
		order := rapid.Permutation(own.lists[0]).Draw(r, "order")
		var waits []time.Duration
		for i, g := range order {
			if i >= BlocksNeeded(n) {
				own.sent[g] = now.Add(time.Hour) // Pledges anew at all times.
				continue
			}
			given := time.Duration(rapid.IntRange(0, 3000).Draw(r, "given before")) * time.Millisecond
			way := time.Duration(rapid.IntRange(0, 700).Draw(r, "under way")) * time.Millisecond
			own.sent[g] = now.Add(-given - way)
			waits = append(waits, Lifetime-given)
		}
		slices.Sort(waits)
		acts := now.Add(longest(waits, List{Guarantors: order}))
		if own.isExtended(acts) {
			r.Errorf("both act %s after the blocks", acts.Sub(now))
		}
	})
}

func TestExtended(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		change func(own *tenure)
		want   bool
	}{
		{"by more than half", func(*tenure) {}, true},
		{"not by half", func(own *tenure) { delete(own.sent, own.lists[0][0]) }, false},
		{"not without a stored list", func(own *tenure) { own.revision = 0 }, false},
		{"not after a successor closed the list", func(own *tenure) { own.closed = true }, false},
		{"not by one of two lists that may be stored", func(own *tenure) {
			own.lists = append(own.lists, []Guarantor{{Daemon: "other"}})
		}, false},
		{"not beyond the longest extension", func(own *tenure) { own.renewed = now.Add(-MaxExtension) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own := drawTenure(now, 4)
			for _, g := range own.lists[0][:PledgesNeeded(4)] {
				own.sent[g] = now.Add(-time.Second)
			}
			c.change(own)
			if got := own.isExtended(now); got != c.want {
				t.Errorf("extended %t, want %t", got, c.want)
			}
		})
	}
}

func TestWaitForPledges(t *testing.T) {
	waits := []time.Duration{0, time.Second, 2 * time.Second}
	three := make([]Guarantor, 3)
	cases := []struct {
		name  string
		waits []time.Duration
		list  List
		want  time.Duration
	}{
		{"the shortest that are enough", waits, List{Guarantors: three}, time.Second},
		{"too few: the longest extension has passed", waits[:1], List{Guarantors: three}, 0},
		{"no guarantors", nil, List{}, 0},
		{"all that are known of one declared dead", waits, List{Guarantors: three, Dead: true}, 2 * time.Second},
		{"none known of one declared dead", nil, List{Guarantors: three, Dead: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := longest(c.waits, c.list); got != c.want {
				t.Errorf("waits %s, want %s", got, c.want)
			}
		})
	}
}
