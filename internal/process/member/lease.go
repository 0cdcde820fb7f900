package member

import (
	"time"
)

// A Lease is one granted lease of this daemon with the record that it holds.
// It is immutable.
type Lease struct {
	// Incarnation is the revision of the member record under the lease.
	Incarnation int64
	// Since is when the lease was asked for.
	Since time.Time
	// Renewed is when the last answered keep-alive was sent.
	Renewed time.Time
	// TTL is the time to live that the store answered.
	TTL time.Duration
}

// WithRenewal returns a copy that was renewed by a call sent at the time.
func (l Lease) WithRenewal(sent time.Time, ttl time.Duration) Lease {
	l.Renewed = sent
	l.TTL = ttl
	return l
}

// Holds reports whether the store can't have let the lease lapse yet.
func (l Lease) Holds(now time.Time) bool {
	return l.Incarnation != 0 && Elapsed(l.Renewed, now) < l.TTL-LeaseMargin
}

// Elapsed returns the time from one instant to another by the monotonic or by
// the wall clock, whichever shows more: the monotonic clock may stand still
// while a machine is suspended, and the wall clock may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
