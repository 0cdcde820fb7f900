package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
)

// When a daemon gives up a part that another one may have more processor time for.
const (
	// strainAfter is how long a daemon keeps such a part at first. It doubles each time the
	// daemon gives the part up.
	strainAfter = 5 * time.Second
	// strainCheckInterval is the pause between two looks at whether it still is one.
	strainCheckInterval = time.Second
	// maxStrained is how often a daemon gives up a part for that reason.
	maxStrained = 5
	// strainedDelay is how much longer a daemon waits in the election for a part that it has
	// given up, as it is the first to notice that the part is vacant.
	strainedDelay = noticeSpread
	// departureMemory is for how long a daemon lets others go first.
	departureMemory = 30 * time.Second
)

// leaveIfStrained gives up the part of a term, after some time, if this daemon has little
// processor time for it: it owns others, or has less than half of the cores that the split was
// chosen for. The election decides whether another one has more.
//
// Load: a store that most daemons don't reach for some seconds. One that does takes several
// parts, or a small one takes a part, and would keep them afterwards.
func (d *duties) leaveIfStrained(ctx context.Context, term *elector.Term) {
	left := d.departures.strained(term.Owner.Part)
	if left >= maxStrained || !pauser.Sleep(ctx, strainAfter<<left) {
		return
	}
	for time.Since(term.ConfirmedAt()) >= maxConfirmationAge || !d.isStrained(term.Owner) {
		if !pauser.Sleep(ctx, strainCheckInterval) {
			return
		}
	}
	now := time.Now()
	d.departures.note(term.Owner.Part, departure{at: now, delay: strainedDelay, strained: left + 1})
	term.Resign(now, "the daemon has little processor time for it")
}

// isStrained reports whether this daemon has little processor time for a part. Of several
// parts, that is the one that it has won last.
func (d *duties) isStrained(owner elector.Owner) bool {
	if cores := d.s.opts.Cores; cores > 0 && cores < d.split.Cores/2 {
		return true
	}
	owned := d.elector.Owned()
	for _, other := range owned {
		if other.Fence > owner.Fence {
			return false
		}
	}
	return len(owned) > 1
}

// departures are the last times that a daemon has given up parts, by part. The zero value is
// ready to use. It is safe for concurrent use.
type departures struct {
	mu   sync.Mutex
	last map[int]departure
}

// A departure is a time at which a daemon has given up a part.
type departure struct {
	at time.Time
	// delay is how long the daemon waits in the next election.
	delay time.Duration
	// strained is how often the daemon has given up the part for want of processor time.
	strained int
}

func (d *departures) note(part int, last departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil {
		d.last = make(map[int]departure)
	}
	d.last[part] = last
}

// strained returns how often the daemon has given up a part for want of processor time.
func (d *departures) strained(part int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last[part].strained
}

// delay returns how long the daemon waits in the election for a part for having given it up.
func (d *departures) delay(part int, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.last[part]; ok && now.Sub(last.at) < departureMemory {
		return last.delay
	}
	return 0
}
