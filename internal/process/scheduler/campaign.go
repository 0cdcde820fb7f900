package scheduler

import (
	"math"
	"time"
)

// Waits in an election, besides those of the options.
const (
	// unconfiguredDelay is how long a daemon that has not read the configuration waits
	// in favour of those that have: it could start nothing.
	unconfiguredDelay = 300 * time.Millisecond
	// noticeSpread is how far apart daemons notice that a part is vacant, at most.
	noticeSpread = 100 * time.Millisecond
)

// campaignDelay returns how long this daemon waits in the election for a part, given
// the number of parts that it owns.
//
// Load: daemons that restart in turn while the store is out. The records of owners may
// be readable again before the configuration is.
func (d *duties) campaignDelay(part, owned int) time.Duration {
	delay := d.s.opts.CampaignDelay(part, owned) + shortageDelay(d.s.opts.Cores, d.split.Cores, owned)
	if _, ok := d.s.config.Get(); !ok {
		delay += unconfiguredDelay
	}
	return delay + d.departures.delay(part, time.Now())
}

// shortageDelay returns how long a daemon waits in an election in favour of those with
// as many cores as the split was chosen for: noticeSpread for each halving from these
// to its own cores, and for each doubling of its parts beyond two. It is zero if either
// number of cores is not known.
//
// Load: a few large daemons among many small ones, some of which notice a vacant part
// first. The large ones still leave parts to others before they are overloaded.
func shortageDelay(cores, splitCores float64, owned int) time.Duration {
	if cores <= 0 || splitCores <= 0 {
		return 0
	}
	halvings := max(0, math.Log2(splitCores/cores)) + math.Log2(max(1, float64(1+owned)/2))
	return time.Duration(halvings * float64(noticeSpread))
}
