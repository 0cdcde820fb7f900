package worker

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// A Fleet is a set of fake workers that share a log. It is safe for concurrent use.
type Fleet struct {
	log judge.Log
	mu  sync.Mutex
	// fakes holds the workers by address.
	fakes map[string]*Fake
}

var _ commander.Dialer = (*Fleet)(nil)

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{fakes: map[string]*Fake{}}
}

// Add creates a worker with an address and returns the worker, which logs to the fleet's log.
func (f *Fleet) Add(address string, options Options) *Fake {
	options.Log = &f.log
	fake := NewFake(options)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fakes[address] = fake
	return fake
}

// Agent implements commander.Dialer. For an unknown address it returns an agent that is
// unreachable.
func (f *Fleet) Agent(address string) commander.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fake, ok := f.fakes[address]; ok {
		return fake
	}
	lost := NewFake(Options{Name: address})
	lost.SetFaults(Faults{Unreachable: true})
	return lost
}

// Records returns the starts and ends of runs at all workers up to now.
func (f *Fleet) Records() []judge.Record {
	for _, fake := range f.all() {
		fake.Advance(fake.Now())
	}
	return f.log.Records()
}

// Breaches returns all violated guarantees, including those that only the records of several
// workers show.
func (f *Fleet) Breaches() []judge.Breach {
	breaches := judge.Check(f.Records())
	for _, fake := range f.all() {
		breaches = append(breaches, fake.Breaches()...)
	}
	return breaches
}

// Usage returns the measurements of all reachable workers.
func (f *Fleet) Usage(ctx context.Context) (usages []commander.Usage) {
	for _, fake := range f.all() {
		found, err := fake.Usage(ctx)
		if err == nil {
			usages = append(usages, found...)
		}
	}
	return usages
}

// SetClock replaces the clock of all workers.
func (f *Fleet) SetClock(clock func() time.Time) {
	for _, fake := range f.all() {
		fake.SetClock(clock)
	}
}

// all returns the workers in no particular order.
func (f *Fleet) all() []*Fake {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fakes []*Fake
	for _, fake := range f.fakes {
		fakes = append(fakes, fake)
	}
	return fakes
}
