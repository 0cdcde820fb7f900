package pledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawPledgeSet returns a pledge set with a list of n guarantors, whose lease was
// renewed at the given time.
func drawPledgeSet(renewed time.Time, n int) *pledgeSet {
	own := newPledgeSet(1)
	own.leaseRenewedAt = renewed
	own.revision = 2
	own.lists = [][]Guarantor{make([]Guarantor, n)}
	for i := range n {
		own.lists[0][i] = Guarantor{Daemon: fmt.Sprintf("d%d", i), Incarnation: int64(i)}
	}
	return own
}

// TestEvictedIsNotExtended checks that a successor never acts while pledges still
// extend the lease of its predecessor. The successor blocks only as many guarantors
// as required and waits for their pledges; the others keep granting pledges.
func TestEvictedIsNotExtended(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Now()
		n := rapid.IntRange(1, 9).Draw(r, "guarantors")
		own := drawPledgeSet(now, n)
		order := rapid.Permutation(own.lists[0]).Draw(r, "order")
		var waits []time.Duration
		for i, g := range order {
			if i >= BlocksNeeded(n) {
				own.requestedAt[g] = now.Add(time.Hour) // Keeps granting pledges.
				continue
			}
			sinceGrant := time.Duration(rapid.IntRange(0, 3000).Draw(r, "given before")) * time.Millisecond
			delay := time.Duration(rapid.IntRange(0, 700).Draw(r, "under way")) * time.Millisecond
			own.requestedAt[g] = now.Add(-sinceGrant - delay)
			waits = append(waits, PledgeTTL-sinceGrant)
		}
		slices.Sort(waits)
		successorActs := now.Add(remainingWait(waits, List{Guarantors: order}))
		if own.isLeaseExtended(successorActs) {
			r.Errorf("both daemons act %s after the blocks", successorActs.Sub(now))
		}
	})
}

// TestExtended checks which pledges extend a lease.
func TestExtended(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		change func(own *pledgeSet)
		want   bool
	}{
		{"pledges of more than half of the guarantors extend it", func(*pledgeSet) {}, true},
		{"pledges of half of the guarantors do not", func(own *pledgeSet) { delete(own.requestedAt, own.lists[0][0]) }, false},
		{"pledges without a stored list do not", func(own *pledgeSet) { own.revision = 0 }, false},
		{"pledges after a successor has closed the list do not", func(own *pledgeSet) { own.isClosed = true }, false},
		{"pledges for only one of two lists that may be stored do not", func(own *pledgeSet) {
			own.lists = append(own.lists, []Guarantor{{Daemon: "other"}})
		}, false},
		{"pledges beyond the longest extension do not", func(own *pledgeSet) { own.leaseRenewedAt = now.Add(-MaxExtension) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own := drawPledgeSet(now, 4)
			for _, g := range own.lists[0][:PledgesNeeded(4)] {
				own.requestedAt[g] = now.Add(-time.Second)
			}
			c.change(own)
			if got := own.isLeaseExtended(now); got != c.want {
				t.Errorf("extended %t, want %t", got, c.want)
			}
		})
	}
}

// TestWaitForPledges checks how long a successor waits for pledges to expire.
func TestWaitForPledges(t *testing.T) {
	waits := []time.Duration{0, time.Second, 2 * time.Second}
	three := make([]Guarantor, 3)
	cases := []struct {
		name  string
		waits []time.Duration
		list  List
		want  time.Duration
	}{
		{"until as many pledges as required have expired", waits, List{Guarantors: three}, time.Second},
		{"not if there are too few, because the longest extension has passed", waits[:1], List{Guarantors: three}, 0},
		{"not without guarantors", nil, List{}, 0},
		{"until all known pledges of an incarnation declared dead have expired", waits, List{Guarantors: three, Dead: true}, 2 * time.Second},
		{"not if no pledge of an incarnation declared dead is known", nil, List{Guarantors: three, Dead: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := remainingWait(c.waits, c.list); got != c.want {
				t.Errorf("waits %s, want %s", got, c.want)
			}
		})
	}
}
