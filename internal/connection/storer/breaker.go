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
	// breakerShortest and breakerLongest bound the time between probes before
	// jitter, which spreads the probes of many daemons.
	breakerShortest = 100 * time.Millisecond
	breakerLongest  = time.Second
	// probeTimeout is the time after which the next probe is allowed even if the
	// current one has not ended.
	probeTimeout = 10 * time.Second
)

// A breaker is a circuit breaker. While the store is unavailable, it refuses all
// calls but one probe per jittered interval. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int // in a row
	open     bool
	probeAt  time.Time // when the next probe is due, while open
	interval *backoff.ExponentialBackOff
}

func newBreaker() *breaker {
	return &breaker{interval: pauser.NewBackoff(breakerShortest, breakerLongest)}
}

// allow reports whether a call may be made. While the circuit is open, it allows
// one call as a probe when the next probe is due.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Before(b.probeAt) {
		return false
	}
	b.probeAt = now.Add(probeTimeout)
	return true
}

// recordSuccess records that the store has responded and reports whether that closed
// the circuit.
func (b *breaker) recordSuccess() (closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	closed = b.open
	b.open = false
	b.failures = 0
	b.interval.Reset()
	return closed
}

// recordFailure records a failed call and reports whether that opened the circuit.
func (b *breaker) recordFailure(now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.failures < breakerThreshold && !b.open {
		return false
	}
	opened = !b.open
	b.open = true
	b.probeAt = now.Add(b.interval.NextBackOff())
	return opened
}

// release allows the next probe at once. It is called if a probe ended without
// showing whether the store is available.
func (b *breaker) release(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open {
		b.probeAt = now
	}
}
