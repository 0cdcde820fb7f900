package slotter

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// serviceWeight is the weight of the newest use in the mean use of a slot.
const serviceWeight = 0.02

// An upstream is the part of the table for one upstream. It is guarded by the
// table's lock.
type upstream struct {
	declared declarer.Upstream
	isStated bool // the declarations name the upstream
	// hasHistory is true once runners were listed.
	hasHistory bool
	runners    []*runner
	byName     map[string]*runner
	queue      *queuer.Queue[*waiter]
	// longest is the longest time any version let a request hold a slot.
	longest time.Duration
	// service is the mean time that a slot is in use.
	service time.Duration
	// isMeasured is false until service was seen here.
	isMeasured bool
	// hasSlots is true while runners may be used.
	hasSlots bool
	// median is the typical latency of the runners; zero if unknown.
	median time.Duration
	// fastest is the latency of the fastest runner; zero if unknown.
	fastest time.Duration
	offset  int
	// candidates is reused between choices.
	candidates []picker.Candidate
}

// newUpstream returns an upstream without runners.
func newUpstream(declared declarer.Upstream) *upstream {
	return &upstream{
		byName:  make(map[string]*runner),
		queue:   queuer.New[*waiter](declared.QueueLength),
		service: initialService,
	}
}

// unlist marks everything as absent until it is stated again.
func (up *upstream) unlist() {
	up.isStated = false
	for _, r := range up.runners {
		r.listed = false
	}
}

// declare takes over what the operators declare.
func (up *upstream) declare(declared declarer.Upstream) {
	up.declared = declared
	up.isStated = true
	up.longest = max(up.longest, declared.MaxDuration)
	up.queue.SetCapacity(declared.QueueLength)
}

// list takes over an entry of the host list. A runner that joins, that comes
// back or that has a new address starts slowly, unless all runners are new.
func (up *upstream) list(host lister.Host, out bool, now time.Time) {
	r := up.byName[host.Name]
	isFirst := !up.hasHistory
	if r == nil {
		r = &runner{}
		up.byName[host.Name] = r
		up.runners = append(up.runners, r)
	}
	isBack := r.host.State == lister.StateLeaving && host.State == lister.StateLive
	if r.host.Address != host.Address || isBack {
		r.health = picker.Health{}
		if !isFirst {
			r.health = r.health.WithSlowStart(now)
		}
	}
	r.host = host
	r.partition = PartitionOf(host)
	r.listed = true
	r.out = out
}

// forget drops runners that are listed no more and hold nothing.
func (up *upstream) forget() {
	kept := up.runners[:0]
	for _, r := range up.runners {
		if r.listed || r.inFlight > 0 || len(r.idle) > 0 {
			kept = append(kept, r)
			continue
		}
		delete(up.byName, r.host.Name)
	}
	up.hasHistory = up.hasHistory || len(kept) > 0
	clear(up.runners[len(kept):])
	up.runners = kept
	sortRunners(up.runners)
}

// isGone reports whether the upstream can be dropped.
func (up *upstream) isGone() bool {
	return !up.isStated && len(up.runners) == 0 && up.queue.Len() == 0
}

// slotLimit returns the slots of one runner that its owner uses. At most half
// of a runner's connections are used, so that a former owner's connections
// have room until they are closed.
func (up *upstream) slotLimit() int {
	return max(1, min(up.declared.SlotsPerRunner, up.declared.ConnectionsPerRunner/2))
}

// refuseAll ends all waiting.
func (up *upstream) refuseAll(reason error) {
	for entry := up.queue.First(); entry != nil; entry = up.queue.First() {
		up.queue.Remove(entry)
		entry.Item.Value.refuse(reason)
	}
}

// noteService takes over the time for which a slot was in use.
func (up *upstream) noteService(used time.Duration) {
	if !up.isMeasured {
		up.service = used
		up.isMeasured = true
	}
	up.service += time.Duration(serviceWeight * float64(used-up.service))
}

// isTooLate reports whether a request has less time left than even the fastest
// runner takes: it would occupy a slot for an answer that comes too late.
// Nothing is too late but its deadline until runners have answered.
func (up *upstream) isTooLate(ask Ask, now time.Time) bool {
	return !now.Add(up.fastest).Before(ask.Deadline)
}
