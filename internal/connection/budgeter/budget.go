// Package budgeter limits this daemon's traffic with other regions to its share of
// the link's bandwidth.
package budgeter

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// bitsPerMegabit converts the unit of the declared bandwidth.
	bitsPerMegabit = 1e6
	// requestShare is the share of the link that urgent requests may use.
	requestShare = 0.6
	// burst is the length of time whose bytes may be sent at once.
	burst = time.Second
	// largestShare is the largest share of a full burst that one request may use.
	largestShare = 0.25
)

// A Budget limits the bytes that this daemon sends to and receives from other
// regions. It is a token bucket with one token per byte. It is safe for
// concurrent use.
type Budget struct {
	limiter *rate.Limiter
}

// New returns a budget that allows no bytes until Set is called.
func New() *Budget { return &Budget{limiter: rate.NewLimiter(0, 0)} }

// Set sets the budget to this daemon's share of a link of the given bandwidth
// that a number of daemons use.
func (b *Budget) Set(megabitsPerSecond float64, daemons int, now time.Time) {
	bytesPerSecond := megabitsPerSecond * bitsPerMegabit / 8 * requestShare / float64(max(1, daemons))
	b.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	b.limiter.SetBurstAt(now, int(bytesPerSecond*burst.Seconds()))
}

// Reserve takes bytes from the budget and reports whether they may be sent now.
// It refuses requests of more than largestShare of a full burst, so that a single
// one can't use up the budget.
func (b *Budget) Reserve(bytes int64, now time.Time) bool {
	if float64(bytes) > largestShare*float64(b.limiter.Burst()) {
		return false
	}
	return b.limiter.AllowN(now, int(bytes))
}

// Charge takes bytes from the budget that were transferred without a reservation,
// such as those of a response. The budget may become negative; reservations are
// refused until it has been refilled.
func (b *Budget) Charge(bytes int64, now time.Time) {
	for bytes > 0 && b.limiter.Burst() > 0 {
		part := min(bytes, int64(b.limiter.Burst()))
		b.limiter.ReserveN(now, int(part))
		bytes -= part
	}
}
