package keyvalue

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults that a test injects into the service.
type Faults struct {
	// DelayMillis is the delay before each call takes effect, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// Outage makes every call fail without effect and ends all watches.
	Outage bool `json:"outage"`
	// Hang makes calls during an outage wait instead of failing at once.
	Hang bool `json:"hang"`
	// LapseDuringOutage lets leases lapse during an outage; otherwise each lease is renewed for its
	// full time to live when the outage ends.
	LapseDuringOutage bool `json:"lapseDuringOutage"`
	// LoseAnswers is how many of the next writes take effect but lose their response.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersPercent is the percentage of all writes that take effect but lose their response.
	LoseAnswersPercent int `json:"loseAnswersPercent"`
	// LoseRequests is how many of the next writes are lost before they take effect. A client can't
	// tell this from a lost response.
	LoseRequests int `json:"loseRequests"`
	// LateWrites is how many of the next writes lose their response and take effect LateMillis
	// later, as when the network delays them.
	LateWrites int   `json:"lateWrites"`
	LateMillis int64 `json:"lateMillis"`
}

// WithOutage returns a copy of the faults with Outage set to the given value.
func (f Faults) WithOutage(outage bool) Faults {
	f.Outage = outage
	return f
}

// Counts are the counters of the calls to the service.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// KeepAlives is the number of lease renewals, which are also counted as writes.
	KeepAlives int64 `json:"keepAlives"`
	// Watches is the number of watches that have been started.
	Watches int64 `json:"watches"`
	// WatchesWaiting is the number of watches that are open at present.
	WatchesWaiting int64 `json:"watchesWaiting"`
	// Refused is the number of calls that failed because of an outage.
	Refused int64 `json:"refused"`
	// AnswersLost is the number of writes whose response was lost, including those that take effect
	// late.
	AnswersLost int64 `json:"answersLost"`
	// RequestsLost is the number of writes that were lost before they took effect.
	RequestsLost int64 `json:"requestsLost"`
}

// A writeEffect is what the faults do to one write.
type writeEffect int

const (
	effectApplied writeEffect = iota
	effectResponseLost
	effectRequestLost
	effectDelayed
)

// A delayedWrite is a write that takes effect once it is due.
type delayedWrite struct {
	due   time.Time
	apply func(now time.Time)
}

// A faultInjector holds the faults, the counters and the delayed writes of a Fake.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
	random *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	delayed []delayedWrite
}

func newFaultInjector() *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(1, 2)), changed: make(chan struct{})}
}

// set replaces the faults. An outage without LapseDuringOutage pauses the expiry of the table's
// leases, any other faults resume it.
func (i *faultInjector) set(now time.Time, faults Faults, table *Table) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	if faults.Outage && !faults.LapseDuringOutage {
		table.PauseExpiry(now)
	} else {
		table.ResumeExpiry(now)
	}
	close(i.changed)
	i.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (i *faultInjector) get() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// count calls a function that changes the counters, under the lock.
func (i *faultInjector) count(change func(*Counts)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.counts)
}

// snapshot returns a copy of the counters.
func (i *faultInjector) snapshot() Counts {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counts
}

// drawEffect counts a write and decides what the faults do to it.
func (i *faultInjector) drawEffect() writeEffect {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts.Writes++
	switch {
	case i.faults.LoseRequests > 0:
		i.faults.LoseRequests--
		i.counts.RequestsLost++
		return effectRequestLost
	case i.faults.LoseAnswers > 0:
		i.faults.LoseAnswers--
		i.counts.AnswersLost++
		return effectResponseLost
	case i.faults.LateWrites > 0:
		i.faults.LateWrites--
		i.counts.AnswersLost++
		return effectDelayed
	case i.random.IntN(100) < i.faults.LoseAnswersPercent:
		i.counts.AnswersLost++
		return effectResponseLost
	}
	return effectApplied
}

// postpone delays a write by LateMillis.
func (i *faultInjector) postpone(now time.Time, apply func(now time.Time)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	due := now.Add(time.Duration(i.faults.LateMillis) * time.Millisecond)
	i.delayed = append(i.delayed, delayedWrite{due: due, apply: apply})
}

// applyDue applies the delayed writes that are due, in the order in which they were delayed.
func (i *faultInjector) applyDue(now time.Time) {
	i.mu.Lock()
	var due []delayedWrite
	waiting := i.delayed[:0:0]
	for _, write := range i.delayed {
		if write.due.After(now) {
			waiting = append(waiting, write)
		} else {
			due = append(due, write)
		}
	}
	i.delayed = waiting
	i.mu.Unlock()
	for _, write := range due {
		write.apply(now)
	}
}
