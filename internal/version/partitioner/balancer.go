package partitioner

import (
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Load is the processor capacity of a partition and the demand for it by
// running and waiting tasks, in milliCores.
type Load struct {
	// Capacity is the capacity of the usable runners.
	Capacity int64 `json:"capacity"`
	// Reserved is the demand of reserving tasks, that is, of all but best-effort
	// tasks.
	Reserved int64 `json:"reserved"`
	// LongRunning is the part of Reserved that long-running tasks demand.
	LongRunning int64 `json:"longRunning"`
	// Filling is the demand of best-effort tasks, which use what the others leave
	// unused.
	Filling int64 `json:"filling"`
}

// DemandOf returns the load that a submission adds to its partition, without a
// capacity: the demand of the step with the largest demand, separately for
// reserving and best-effort steps.
func DemandOf(sub *submitter.Submission) (demand Load) {
	for i := range sub.Steps {
		step := &sub.Steps[i]
		wanted := int64(step.Count) * step.MilliCores
		if step.Fills {
			demand.Filling = max(demand.Filling, wanted)
			continue
		}
		demand.Reserved = max(demand.Reserved, wanted)
		if step.LongRunning {
			demand.LongRunning = max(demand.LongRunning, wanted)
		}
	}
	return demand
}

// plus returns the load with a demand added.
func (l Load) plus(demand Load) Load {
	l.Reserved += demand.Reserved
	l.LongRunning += demand.LongRunning
	l.Filling += demand.Filling
	return l
}

// utilisationFor returns the fraction of the capacity that is taken from the
// point of view of a demand: best-effort tasks compete with all others, reserving
// tasks only with each other, and long-running ones only with each other, as the short
// ones soon leave their room.
func (l Load) utilisationFor(demand Load) float64 {
	taken := l.Reserved
	switch {
	case demand.Filling > demand.Reserved:
		taken += l.Filling
	case demand.LongRunning > demand.Reserved/2:
		taken = l.LongRunning
	}
	return float64(taken) / float64(max(1, l.Capacity))
}

// maxLoadAge is the age from which the load of a partition is read again.
const maxLoadAge = 2 * time.Second

// A reportedLoad is what a daemon knows of the load of a partition.
type reportedLoad struct {
	Load
	// isKnown is true once the owner has reported a load.
	isKnown bool
	// isSilent is true if the owner did not answer since.
	isSilent bool
	// askedAt is when the owner was asked last.
	askedAt time.Time
}

// A Balancer chooses the partitions of submissions by the loads that partition
// owners report. It is safe for concurrent use.
//
// Load: long-running tasks that take most of the processors. Partitions chosen
// by hash alone differ in load by a tenth and more, so that one has no room for
// a task that another could run. A partition that loses its runners or its owner for
// some time: its load has to be read again, as no submission goes there meanwhile.
type Balancer struct {
	mu    sync.Mutex
	loads map[int]reportedLoad // by partition
	// inabilities holds by partition what it could not run.
	inabilities map[int][]inability
}

// NewBalancer returns a balancer without any reported loads.
func NewBalancer() *Balancer {
	return &Balancer{loads: make(map[int]reportedLoad), inabilities: make(map[int][]inability)}
}

// UpdateLoad stores the load that the owner of a partition reports. An owner that has no
// usable runner, or does not know any yet, reports no capacity.
func (b *Balancer) UpdateLoad(part int, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[part] = reportedLoad{Load: load, isKnown: true, askedAt: now}
}

// MarkSilent notes that the owner of a partition did not answer.
func (b *Balancer) MarkSilent(part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := b.loads[part]
	load.isSilent = true
	b.loads[part] = load
}

// Outdated returns those of the given partitions whose owners have to be asked for their
// loads. The caller asks each of them.
func (b *Balancer) Outdated(parts []int, now time.Time) (outdated []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range parts {
		load := b.loads[part]
		if now.Sub(load.askedAt) < maxLoadAge {
			continue
		}
		load.askedAt = now
		b.loads[part] = load
		outdated = append(outdated, part)
	}
	return outdated
}

// Choose returns the one of the given partitions with the lowest utilisation, or
// the first one if utilisations are equal or not known. Partitions whose owners do not
// answer or have no usable runner come last. It adds the demand of a submission to the
// load of that partition until its owner reports again.
func (b *Balancer) Choose(parts []int, demand Load) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := parts[0]
	for _, part := range parts[1:] {
		if b.loads[part].isBetter(b.loads[best], demand) {
			best = part
		}
	}
	if load, ok := b.loads[best]; ok {
		load.Load = load.plus(demand)
		b.loads[best] = load
	}
	return best
}

// isOut reports whether a partition can't start anything now, as far as is known.
func (l reportedLoad) isOut() bool { return l.isSilent || (l.isKnown && l.Capacity <= 0) }

// isBetter reports whether a demand goes rather to a partition with this load than to one
// with another.
func (l reportedLoad) isBetter(other reportedLoad, demand Load) bool {
	if l.isOut() != other.isOut() {
		return other.isOut()
	}
	return l.isKnown && other.isKnown && l.utilisationFor(demand) < other.utilisationFor(demand)
}
