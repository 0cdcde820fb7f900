package partitioner

import (
	"sync"

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

// A Balancer chooses the partitions of submissions by the loads that partition
// owners report. It is safe for concurrent use.
//
// Load: long-running tasks that take most of the processors. Partitions chosen
// by hash alone differ in load by a tenth and more, so that one has no room for
// a task that another could run.
type Balancer struct {
	mu    sync.Mutex
	loads map[int]Load // by partition
}

// NewBalancer returns a balancer without any reported loads.
func NewBalancer() *Balancer { return &Balancer{loads: make(map[int]Load)} }

// UpdateLoad stores the load that the owner of a partition reports.
func (b *Balancer) UpdateLoad(part int, load Load) {
	if load.Capacity <= 0 {
		return // a new owner does not know its runners yet
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[part] = load
}

// Choose returns the one of the given partitions with the lowest utilisation, or
// the first one if utilisations are equal or not known. It adds the demand of a
// submission to the load of that partition until its owner reports again.
func (b *Balancer) Choose(parts []int, demand Load) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := parts[0]
	for _, part := range parts[1:] {
		other, hasOther := b.loads[part]
		load, hasBest := b.loads[best]
		if hasOther && hasBest && other.utilisationFor(demand) < load.utilisationFor(demand) {
			best = part
		}
	}
	if load, ok := b.loads[best]; ok {
		b.loads[best] = load.plus(demand)
	}
	return best
}
