package storer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
)

const (
	// breakerThreshold is the number of failures in a row that open the circuit.
	breakerThreshold = 3
	// breakerShortest and breakerLongest bound the time between trials, before jitter.
	breakerShortest = 100 * time.Millisecond
	breakerLongest  = time.Second
	// breakerJitter spreads the trials of many daemons.
	// trialLimit is the time after which an unfinished trial is given up.
	trialLimit = 10 * time.Second
)

// A breaker refuses calls while the store is out, except for single trials at
// jittered intervals. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	trialAt  time.Time
	interval *backoff.ExponentialBackOff
}

func newBreaker() *breaker {
	return &breaker{interval: pauser.NewBackoff(breakerShortest, breakerLongest)}
}

// allow reports whether a call may be made. While the circuit is open, it
// admits one call at each trial time.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Before(b.trialAt) {
		return false
	}
	b.trialAt = now.Add(trialLimit)
	return true
}

// succeed notes an answer and reports whether that closed the circuit.
func (b *breaker) succeed() (closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	closed = b.open
	b.open = false
	b.failures = 0
	b.interval.Reset()
	return closed
}

// fail notes a failure and reports whether that opened the circuit.
func (b *breaker) fail(now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.failures < breakerThreshold && !b.open {
		return false
	}
	opened = !b.open
	b.open = true
	b.trialAt = now.Add(b.interval.NextBackOff())
	return opened
}

// release lets the next trial happen at once after one that told nothing.
func (b *breaker) release(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open {
		b.trialAt = now
	}
}
