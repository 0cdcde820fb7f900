package keyvalue

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are what a test makes the service do wrong.
type Faults struct {
	// DelayMillis is added before each call takes effect, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// Outage makes all calls fail without effect and breaks all watches.
	Outage bool `json:"outage"`
	// Hang makes calls of an outage wait instead of failing at once.
	Hang bool `json:"hang"`
	// LapseDuringOutage lets leases lapse while the outage lasts; otherwise
	// they get their full time to live when it ends.
	LapseDuringOutage bool `json:"lapseDuringOutage"`
	// LoseAnswers is the number of next writes that take effect but whose
	// answers are lost.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersPercent is the share of all writes whose answers are lost.
	LoseAnswersPercent int `json:"loseAnswersPercent"`
	// LoseRequests is the number of next writes that are lost before they
	// take effect, which looks the same to the client as a lost answer.
	LoseRequests int `json:"loseRequests"`
	// LateWrites is the number of next writes whose answers are lost and that
	// take effect LateMillis later, as when a network holds them up.
	LateWrites int   `json:"lateWrites"`
	LateMillis int64 `json:"lateMillis"`
}

// WithOutage returns a copy with the outage on or off.
func (f Faults) WithOutage(outage bool) Faults {
	f.Outage = outage
	return f
}

// Counts are the calls that the service has seen.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// KeepAlives are renewals of leases, which are also writes.
	KeepAlives int64 `json:"keepAlives"`
	// Watches is the number of watches that were started.
	Watches int64 `json:"watches"`
	// WatchesWaiting is the number of watches that wait at this moment.
	WatchesWaiting int64 `json:"watchesWaiting"`
	// Refused are calls that failed in an outage.
	Refused int64 `json:"refused"`
	// AnswersLost are writes whose answer was lost after they took effect.
	AnswersLost int64 `json:"answersLost"`
	// RequestsLost are writes that were lost before they took effect.
	RequestsLost int64 `json:"requestsLost"`
}

// A fate is what happens to one write.
type fate int

const (
	fateApplied fate = iota
	fateAnswerLost
	fateRequestLost
	fateLate
)

// A lateWrite takes effect when it is due.
type lateWrite struct {
	due   time.Time
	apply func(now time.Time)
}

// A box holds the faults and counters shared by the fake and the server.
type box struct {
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	random  *rand.Rand
	changed chan struct{}
	late    []lateWrite
}

func newBox() *box {
	return &box{random: rand.New(rand.NewPCG(1, 2)), changed: make(chan struct{})}
}

// set replaces the faults and freezes or thaws the leases of the table.
func (b *box) set(now time.Time, faults Faults, table *Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
	if faults.Outage && !faults.LapseDuringOutage {
		table.Freeze(now)
	} else {
		table.Thaw(now)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (b *box) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

// count changes the counters.
func (b *box) count(change func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.counts)
}

// snapshot returns the counters.
func (b *box) snapshot() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// draw decides what happens to the next write.
func (b *box) draw() fate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Writes++
	switch {
	case b.faults.LoseRequests > 0:
		b.faults.LoseRequests--
		b.counts.RequestsLost++
		return fateRequestLost
	case b.faults.LoseAnswers > 0:
		b.faults.LoseAnswers--
		b.counts.AnswersLost++
		return fateAnswerLost
	case b.faults.LateWrites > 0:
		b.faults.LateWrites--
		b.counts.AnswersLost++
		return fateLate
	case b.random.IntN(100) < b.faults.LoseAnswersPercent:
		b.counts.AnswersLost++
		return fateAnswerLost
	}
	return fateApplied
}

// postpone lets a write take effect later.
func (b *box) postpone(now time.Time, apply func(now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := now.Add(time.Duration(b.faults.LateMillis) * time.Millisecond)
	b.late = append(b.late, lateWrite{due: due, apply: apply})
}

// settle applies the late writes that are due.
func (b *box) settle(now time.Time) {
	b.mu.Lock()
	var due []lateWrite
	waiting := b.late[:0:0]
	for _, write := range b.late {
		if write.due.After(now) {
			waiting = append(waiting, write)
		} else {
			due = append(due, write)
		}
	}
	b.late = waiting
	b.mu.Unlock()
	for _, write := range due {
		write.apply(now)
	}
}
