package member

import (
	"time"
)

// A Lease is a lease that the store granted to this daemon, with the incarnation that
// is registered under it. It is immutable.
type Lease struct {
	// Incarnation is the store revision of the member record under the lease.
	Incarnation int64
	// Since is when the lease was requested.
	Since time.Time
	// Renewed is when the last answered keep-alive, or the request for the lease, was
	// sent.
	Renewed time.Time
	// TTL is the time to live that the store granted last.
	TTL time.Duration
}

// WithRenewal returns a copy that was renewed by a call sent at the given time.
func (l Lease) WithRenewal(sent time.Time, ttl time.Duration) Lease {
	l.Renewed = sent
	l.TTL = ttl
	return l
}

// IsValid reports whether this daemon may rely on the lease: the store can't have let
// it lapse yet.
func (l Lease) IsValid(now time.Time) bool {
	return l.Incarnation != 0 && Elapsed(l.Renewed, now) < l.TTL-LeaseMargin
}

// Elapsed returns the time between two instants by the monotonic clock or by the wall
// clock, whichever shows more: the monotonic clock may stop while a machine is
// suspended, and the wall clock may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
