// Package pauser waits between attempts.
package pauser

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// jitter is the share by which pauses are lengthened or shortened at random, so
// that many processes don't return at once.
const jitter = 0.5

// Sleep waits and reports whether the context still runs.
func Sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// NewBackoff returns growing, jittered pauses between a first and a longest.
func NewBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = first
	pauses.MaxInterval = longest
	pauses.RandomizationFactor = jitter
	pauses.Reset()
	return pauses
}
