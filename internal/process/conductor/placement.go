package conductor

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Pauses between placement passes, in which changes accumulate and the table is free for
// reports, renewals of leases and orders.
const (
	minPlacementPause = 10 * time.Millisecond
	// placementPause is the least pause in relation to the duration of the last pass.
	placementPause = 1
)

// place runs a placement pass whenever one is due, apart from the changes that call for it.
//
// Load: bursts in which hundreds of steps wait, on a host with little processor time. If each
// change had its pass, reports, renewals of leases and orders would wait for seconds.
func (c *Conductor) place() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.placementDue:
		}
		var took time.Duration
		c.apply(func(t *dispatcher.Table, now time.Time) {
			t.Schedule(now)
			took = time.Since(now)
		})
		pauser.Sleep(c.ctx, max(minPlacementPause, placementPause*took))
	}
}

// signal lets the receiver of a channel go on, now or when it next receives.
func signal(pending chan<- struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}
