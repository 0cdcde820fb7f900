// Package budgeter keeps the traffic of this daemon between regions within its
// share of the link's bandwidth.
package budgeter

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// bitsPerMegabit converts the declared bandwidth.
	bitsPerMegabit = 1e6
	// requestShare is the share of the link that urgent requests may use.
	requestShare = 0.6
	// burst is the time whose share of the link may be used at once.
	burst = time.Second
	// largestShare is the largest part of a full burst that one request may take.
	largestShare = 0.25
)

// A Budget is the number of bytes that may cross between regions. It is safe
// for concurrent use.
type Budget struct {
	limiter *rate.Limiter
}

// New returns a budget of zero bytes.
func New() *Budget { return &Budget{limiter: rate.NewLimiter(0, 0)} }

// Set gives this daemon its share of a link that several daemons use.
func (b *Budget) Set(megabitsPerSecond float64, daemons int, now time.Time) {
	bytesPerSecond := megabitsPerSecond * bitsPerMegabit / 8 * requestShare / float64(max(1, daemons))
	b.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	b.limiter.SetBurstAt(now, int(bytesPerSecond*burst.Seconds()))
}

// Take reserves bytes and reports whether they may be sent now. A request that
// would use up much of the budget on its own is refused.
func (b *Budget) Take(bytes int64, now time.Time) bool {
	if float64(bytes) > largestShare*float64(b.limiter.Burst()) {
		return false
	}
	return b.limiter.AllowN(now, int(bytes))
}

// Charge accounts for bytes that were sent without having been reserved, such
// as those of an answer. Later reservations wait until they are paid off.
func (b *Budget) Charge(bytes int64, now time.Time) {
	for bytes > 0 && b.limiter.Burst() > 0 {
		part := min(bytes, int64(b.limiter.Burst()))
		b.limiter.ReserveN(now, int(part))
		bytes -= part
	}
}
