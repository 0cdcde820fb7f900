package slotter

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/request/queuer"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// serviceTimeWeight is the weight of the newest sample in the mean service time.
const serviceTimeWeight = 0.02

// An upstream holds the runners and the queue of one upstream. It is guarded by
// the table's lock.
type upstream struct {
	declared   declarer.Upstream
	isDeclared bool // the current declarations contain the upstream
	// hadRunners is true once a host list has contained runners of the upstream.
	hadRunners bool
	runners    []*runner
	byName     map[string]*runner // runners by name
	queue      *queuer.Queue[*waiter]
	// longestDuration is the largest maximum duration of all versions of the
	// declarations so far. A former owner's requests may run this long.
	longestDuration time.Duration
	// serviceTime is the mean service time: a moving average of the time for which a
	// request holds a slot.
	serviceTime time.Duration
	// hasServiceTime is true once serviceTime is based on a sample.
	hasServiceTime bool
	// hasSlots is true if the last maintenance pass found usable slots.
	hasSlots bool
	// median is the median of the runners' average latencies; zero if unknown.
	median time.Duration
	// fastest is the average latency of the fastest runner; zero if unknown.
	fastest time.Duration
	// offset rotates the choice among equally suitable runners.
	offset int
	// candidates is a buffer that is reused between choices.
	candidates []picker.Candidate
}

// newUpstream returns an upstream without runners.
func newUpstream(declared declarer.Upstream) *upstream {
	return &upstream{
		byName:      make(map[string]*runner),
		queue:       queuer.New[*waiter](declared.QueueLength),
		serviceTime: initialServiceTime,
	}
}

// markUnlisted marks the upstream as undeclared and its runners as absent from the host
// list, until rebuild has found them in the current declarations and host list.
func (up *upstream) markUnlisted() {
	up.isDeclared = false
	for _, r := range up.runners {
		r.isListed = false
	}
}

// setDeclared applies the operators' declaration of the upstream.
func (up *upstream) setDeclared(declared declarer.Upstream) {
	up.declared = declared
	up.isDeclared = true
	up.longestDuration = max(up.longestDuration, declared.MaxDuration)
	up.queue.SetCapacity(declared.QueueLength)
}

// setHost applies an entry of the host list. A runner that joins, returns or has a
// new address begins with a slow start, unless these are the upstream's first
// runners.
func (up *upstream) setHost(host lister.Host, isDataCentreOut bool, now time.Time) {
	r := up.byName[host.Name]
	isFirst := !up.hadRunners
	if r == nil {
		r = &runner{}
		up.byName[host.Name] = r
		up.runners = append(up.runners, r)
	}
	hasReturned := r.host.State == lister.StateLeaving && host.State == lister.StateLive
	if r.host.Address != host.Address || hasReturned {
		r.health = picker.Health{}
		if !isFirst {
			r.health = r.health.WithSlowStart(now)
		}
	}
	r.host = host
	r.partition = PartitionOf(host)
	r.isListed = true
	r.isDataCentreOut = isDataCentreOut
}

// removeUnlistedRunners removes runners that the host list no longer contains and that have
// neither requests in flight nor idle connections.
func (up *upstream) removeUnlistedRunners() {
	kept := up.runners[:0]
	for _, r := range up.runners {
		if r.isListed || r.inFlight > 0 || len(r.idle) > 0 {
			kept = append(kept, r)
			continue
		}
		delete(up.byName, r.host.Name)
	}
	up.hadRunners = up.hadRunners || len(kept) > 0
	clear(up.runners[len(kept):])
	up.runners = kept
	sortRunners(up.runners)
}

// isRemovable reports whether the upstream can be removed from the table.
func (up *upstream) isRemovable() bool {
	return !up.isDeclared && len(up.runners) == 0 && up.queue.Len() == 0
}

// slotLimit returns the number of slots that the owner of a runner may use. It is
// at most half of the runner's connections, so that the connections of a former
// owner fit beside them until they are closed.
func (up *upstream) slotLimit() int {
	return max(1, min(up.declared.SlotsPerRunner, up.declared.ConnectionsPerRunner/2))
}

// refuseAll refuses all queued requests.
func (up *upstream) refuseAll(reason error) {
	for entry := up.queue.First(); entry != nil; entry = up.queue.First() {
		up.queue.Remove(entry)
		entry.Item.Value.refuse(reason)
	}
}

// noteServiceTime updates the mean service time with a new sample.
func (up *upstream) noteServiceTime(used time.Duration) {
	if !up.hasServiceTime {
		up.serviceTime = used
		up.hasServiceTime = true
	}
	up.serviceTime += time.Duration(serviceTimeWeight * float64(used-up.serviceTime))
}

// isTooLate reports whether a request has no more time left than the fastest
// runner needs, so that it would occupy a slot for a response that misses the
// deadline. Until a latency is known, only a request whose deadline has passed is
// too late.
func (up *upstream) isTooLate(request SlotRequest, now time.Time) bool {
	return !now.Add(up.fastest).Before(request.Deadline)
}
