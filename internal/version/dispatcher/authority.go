package dispatcher

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

const (
	// minPlacementLease is the shortest lease under which tasks are started.
	minPlacementLease = 2 * time.Second
	// quorumInterval is the time between two counts of the runners that accept an owner.
	quorumInterval = 100 * time.Millisecond
	// maxRosters bounds the rosters of which any may be the stored one.
	maxRosters = 8
)

// An authority is what an owner knows about the latest time at which no successor of it had
// a quorum.
//
// The store's answers show that there was no successor. While the store does not answer,
// the runners do: a successor makes them refuse this owner's fencing token, and it reads
// the stored roster. If keepQuorum of that roster have accepted a poll that was sent at a
// time, fewer than takeoverQuorum had accepted a successor before. No lease outlasts
// MaxLease from then on, so that a successor that takeoverQuorum have accepted need not wait
// longer.
type authority struct {
	// confirmedAt is when the store last named this owner.
	confirmedAt time.Time
	// suspended is for how long the host was suspended since then.
	suspended time.Duration
	// rosters are those of which one is stored. A write that has failed may be carried
	// out later.
	rosters []voters
	// quorumAt is the latest time at which this owner is known to have had a quorum, as
	// counted at countedAt.
	quorumAt, countedAt time.Time
}

// keepQuorum returns how many of a number of runners an owner needs to know that it has no
// successor: three quarters.
func keepQuorum(runners int) int { return runners - runners/4 }

// takeoverQuorum returns how many of them a successor needs, so that no former owner has
// keepQuorum of them any more.
//
// Load: an owner that is lost together with more than half of the runners. The others are
// all that can tell its successor that it has stopped.
func takeoverQuorum(runners int) int { return runners - keepQuorum(runners) + 1 }

// A set of voters holds the runners of a roster, with the incarnation of each.
type voters map[string]int64

func votersOf(roster []RunnerInfo) voters {
	v := make(voters, len(roster))
	for _, info := range roster {
		v[info.ID] = info.Lifetime
	}
	return v
}

// quorumAt returns the latest time such that a number of the voters have accepted a poll of
// the table's owner that was sent then or later, or zero if there is none. A runner that was
// restarted has forgotten which owners it has accepted and does not count.
func (v voters) quorumAt(t *Table, quorum int) (at time.Time) {
	if len(v) == 0 {
		return at
	}
	accepted := make([]time.Time, 0, len(v))
	for id, lifetime := range v {
		var sentAt time.Time
		if r, ok := t.runners[id]; ok && r.info.Lifetime == lifetime {
			sentAt = r.acceptedAt
		}
		accepted = append(accepted, sentAt)
	}
	slices.SortFunc(accepted, func(a, b time.Time) int { return b.Compare(a) })
	return accepted[quorum-1]
}

// Authorize records for how long the store has not named this owner, suspension of the host
// included, and for how long the host was suspended meanwhile. The caller calls it before it
// sends a lease.
func (t *Table) Authorize(unconfirmed, suspended time.Duration, now time.Time) {
	t.authority.confirmedAt, t.authority.suspended = now.Add(-unconfirmed), suspended
}

// RosterUnderWay records that a roster is about to be stored.
func (t *Table) RosterUnderWay(roster []RunnerInfo) {
	v := votersOf(roster)
	isKnown := func(other voters) bool { return maps.Equal(v, other) }
	if !slices.ContainsFunc(t.authority.rosters, isKnown) {
		t.authority.rosters = append(t.authority.rosters, v)
	}
}

// RosterStored records that a roster is stored and that no other write is under way.
func (t *Table) RosterStored(roster []RunnerInfo) {
	t.authority.rosters = []voters{votersOf(roster)}
}

// authorityAt returns the latest time at which no successor of this owner is known to have
// had a quorum.
func (t *Table) authorityAt(now time.Time) time.Time {
	a := &t.authority
	if now.Sub(a.confirmedAt) <= confirmationOverdue {
		return a.confirmedAt
	}
	if now.Sub(a.countedAt) >= quorumInterval {
		a.quorumAt, a.countedAt = t.quorumAt(), now
	}
	return later(a.confirmedAt, a.quorumAt.Add(-a.suspended))
}

// quorumAt returns the latest time at which this owner is known to have had a quorum, by
// each roster that may be stored.
func (t *Table) quorumAt() (at time.Time) {
	if len(t.authority.rosters) > maxRosters {
		return at
	}
	for i, v := range t.authority.rosters {
		if quorumAt := v.quorumAt(t, keepQuorum(len(v))); i == 0 || quorumAt.Before(at) {
			at = quorumAt
		}
	}
	return at
}

// leaseLeft returns how far beyond the current time a lease may be granted.
func (t *Table) leaseLeft(now time.Time) time.Duration {
	return min(t.leaseDuration(now), t.authorityAt(now).Add(t.limits.MaxLease).Sub(now))
}

// IsUnconfirmed reports whether the owner depends on the answers of runners to know that it
// has no successor.
func (t *Table) IsUnconfirmed(now time.Time) bool {
	return now.Sub(t.authority.confirmedAt) > confirmationOverdue
}

// HasQuorum reports whether takeoverQuorum of the roster that this owner has found have
// accepted its fencing token. From then on no earlier owner moves the end of a lease: those
// that have found or stored this roster need keepQuorum of it, and those before could move
// none any more when it was stored (see MayStoreRoster).
func (t *Table) HasQuorum() bool { return !t.quorumSince.IsZero() }

// MayStoreRoster reports whether this owner may replace the stored roster. While an earlier
// owner may still move the end of a lease, the roster that it relies on has to stay, so that
// successors need a quorum of that one.
func (t *Table) MayStoreRoster(now time.Time) bool {
	hasNone := t.formerRoster == nil && !t.expectsOthers
	return hasNone || t.HasQuorum() || !now.Before(t.formerOwnerEnd)
}

// checkQuorum notes when this owner has a quorum for the first time.
func (t *Table) checkQuorum(now time.Time) {
	v := t.formerRoster
	if t.HasQuorum() || v == nil || v.quorumAt(t, takeoverQuorum(len(v))).IsZero() {
		return
	}
	t.quorumSince = now
	if now.Before(t.earlierOwnersEnd) {
		t.earlierOwnersEnd = now
	}
	t.FormerOwnerEnded(now)
	t.rec.Record(now, EventQuorum, recorder.Fields{
		"runners": strconv.Itoa(len(v)), "waitedMs": age(now, t.ownedSince),
	})
}
