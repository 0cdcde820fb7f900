// Package hlc implements a hybrid logical clock, which orders the events of all daemons causally:
// an event that could have caused another one has the lower reading.
package hlc

import (
	"sync"
	"time"
)

const (
	// counterBits is the number of low bits that count events within one tick.
	counterBits = 16
	counterMask = 1<<counterBits - 1
	// MaxAhead is how far a remote reading may be ahead of the local wall clock. Readings further
	// ahead are ignored.
	MaxAhead = time.Minute
)

// A Clock is a hybrid logical clock. A reading is the nanoseconds since 1970, with the lowest 16
// bits replaced by a counter of events. The zero value is ready for use. A Clock is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last uint64
}

// Now returns a reading greater than all earlier readings of this clock.
func (c *Clock) Now(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now)
}

// Observe merges the remote reading of another clock, so that later readings of this clock are
// greater than it, and returns this clock's new reading. It reports whether the remote reading was
// plausible, that is, at most MaxAhead ahead of now; an implausible one is ignored.
func (c *Clock) Observe(remote uint64, now time.Time) (reading uint64, plausible bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	plausible = remote <= physical(now.Add(MaxAhead))
	if plausible {
		c.last = max(c.last, remote)
	}
	return c.advance(now), plausible
}

// advance moves the clock to its next reading and returns it. The caller holds mu.
func (c *Clock) advance(now time.Time) uint64 {
	c.last = max(c.last+1, physical(now))
	return c.last
}

// Time returns the wall time of a reading.
func Time(reading uint64) time.Time {
	return time.Unix(0, int64(reading&^counterMask))
}

// physical returns the wall time as a reading whose event counter is zero.
func physical(now time.Time) uint64 {
	return uint64(max(now.UnixNano(), 0)) &^ counterMask
}
