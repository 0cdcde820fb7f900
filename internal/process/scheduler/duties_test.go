package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
)

// Guards against a successor that takes a former owner for ended while that one still loads
// its records, and goes on to serve.
func TestFormerTermIsOver(t *testing.T) {
	t.Parallel()
	former := elector.Owner{Instance: "a", Fence: 7}
	for _, c := range []struct {
		name string
		term relayer.TermStatus
		want bool
	}{
		{"serves", relayer.TermStatus{Instance: "a", Serves: true}, false},
		{"does not serve yet", relayer.TermStatus{Instance: "a"}, false},
		{"an earlier term has ended", relayer.TermStatus{Instance: "a", Ended: 6}, false},
		{"has ended", relayer.TermStatus{Instance: "a", Ended: 7}, true},
		{"another process", relayer.TermStatus{Instance: "b"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := isOver(c.term, former); got != c.want {
				t.Errorf("over: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a new owner that counts only on the end of its predecessor, while an
// owner before that one is cut off and still acts.
func TestFormerOwnerEndCountsEarlierOwners(t *testing.T) {
	t.Parallel()
	const own, other = "host1", "host2"
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	earlierEnd := now.Add(7 * time.Second)
	for _, c := range []struct {
		name       string
		former     elector.Owner
		earlierEnd time.Time
		want       time.Duration
	}{
		{"no former owner", elector.Owner{}, time.Time{}, 0},
		{"another daemon", elector.Owner{Address: other, Fence: 7}, time.Time{}, elector.MaxUnconfirmed},
		{"another daemon and earlier owners", elector.Owner{Address: other, Fence: 7}, earlierEnd, elector.MaxUnconfirmed},
		{"this daemon", elector.Owner{Address: own, Fence: 7}, time.Time{}, 0},
		{"this daemon and earlier owners", elector.Owner{Address: own, Fence: 7}, earlierEnd, 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := formerOwnerEnd(c.former, c.earlierEnd, own, now).Sub(now); got != c.want {
				t.Errorf("earlier owners act for %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a mark that is written while an earlier owner may still act.
func TestAwaitEnds(t *testing.T) {
	t.Parallel()
	const formerEnd = 10 * time.Second
	for _, c := range []struct {
		name       string
		earlierEnd time.Duration // from the start; zero if all have ended
		hasEnded   bool
		quorumAt   time.Duration // zero if there is none
		want       time.Duration
	}{
		{"the former owner has ended", 0, true, 0, 0},
		{"the former owner has ended, earlier ones may act", 7 * time.Second, true, 0, 7 * time.Second},
		{"the former owner does not answer", 0, false, 0, formerEnd},
		{"the former owner does not answer, earlier ones may act", 7 * time.Second, false, 0, formerEnd},
		{"quorum", 0, false, 2 * time.Second, 2 * time.Second},
		{"quorum while earlier owners may act", 7 * time.Second, false, 2 * time.Second, 2 * time.Second},
		{"quorum after the end of the former owner", 7 * time.Second, true, 2 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var earlierEnd time.Time
				if c.earlierEnd > 0 {
					earlierEnd = start.Add(c.earlierEnd)
				}
				hasQuorum := func() bool { return c.quorumAt > 0 && time.Since(start) >= c.quorumAt }
				if !awaitEnds(t.Context(), start.Add(formerEnd), earlierEnd, func() bool { return c.hasEnded }, hasQuorum) {
					t.Fatal("the wait was cut short")
				}
				if waited := time.Since(start); waited < c.want || waited > c.want+askInterval {
					t.Errorf("waited %s, want %s to %s", waited, c.want, c.want+askInterval)
				}
			})
		})
	}
	t.Run("not after the end of the term", func(t *testing.T) {
		t.Parallel()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if awaitEnds(ctx, time.Now().Add(formerEnd), time.Time{}, never, never) {
			t.Error("the wait was not cut short")
		}
	})
}
