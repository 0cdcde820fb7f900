// Package pauser provides delays between attempts.
package pauser

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// jitter is the share by which back-off delays are lengthened or shortened at
// random, so that many processes don't retry at the same time.
const jitter = 0.5

// Sleep waits for a length of time or until the context ends, and reports whether
// the context has not ended.
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

// NewBackoff returns an exponential back-off with jitter. Its delays grow from
// first to longest, before jitter.
func NewBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = first
	delays.MaxInterval = longest
	delays.RandomizationFactor = jitter
	delays.Reset()
	return delays
}
