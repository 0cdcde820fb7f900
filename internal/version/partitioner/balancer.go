package partitioner

import (
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Load is what a part's tasks take or wait for, in milliCores.
type Load struct {
	// Capacity is that of the runners that may be used.
	Capacity int64 `json:"capacity"`
	// Reserved is kept by tasks that need their processors.
	Reserved int64 `json:"reserved"`
	// Filling is wanted by tasks that use what the others leave.
	Filling int64 `json:"filling"`
}

// DemandOf returns what a submission adds to a part's load at its widest step.
func DemandOf(sub *submitter.Submission) (demand Load) {
	for i := range sub.Steps {
		step := &sub.Steps[i]
		wanted := int64(step.Count) * step.MilliCores
		if step.Fills {
			demand.Filling = max(demand.Filling, wanted)
		} else {
			demand.Reserved = max(demand.Reserved, wanted)
		}
	}
	return demand
}

// plus returns the load with a demand added.
func (l Load) plus(demand Load) Load {
	l.Reserved += demand.Reserved
	l.Filling += demand.Filling
	return l
}

// shareFor returns the share of the capacity that counts for a demand: tasks
// that fill compete with all others, those that reserve with their like.
func (l Load) shareFor(demand Load) float64 {
	taken := l.Reserved
	if demand.Filling > demand.Reserved {
		taken += l.Filling
	}
	return float64(taken) / float64(max(1, l.Capacity))
}

// A Balancer chooses homes of submissions by the loads that owners report. It
// is safe for concurrent use.
//
// Load: tasks that last and take most of the processors. Homes by hash alone
// differ by a tenth and more, so that one part has no room for a task that
// another would hold.
type Balancer struct {
	mu    sync.Mutex
	loads map[int]Load
}

// NewBalancer returns a balancer that knows no loads.
func NewBalancer() *Balancer { return &Balancer{loads: make(map[int]Load)} }

// UpdateLoad takes in what a part's owner reports.
func (b *Balancer) UpdateLoad(part int, load Load) {
	if load.Capacity <= 0 {
		return // the owner has just begun
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[part] = load
}

// Choose returns the home with the least load, the first one among equals, and
// counts the demand there until its owner reports again.
func (b *Balancer) Choose(homes []int, demand Load) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := homes[0]
	for _, home := range homes[1:] {
		other, known := b.loads[home]
		load, both := b.loads[best]
		if known && both && other.shareFor(demand) < load.shareFor(demand) {
			best = home
		}
	}
	if load, ok := b.loads[best]; ok {
		b.loads[best] = load.plus(demand)
	}
	return best
}
