package member

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	firstPause = 100 * time.Millisecond
	longPause  = 2 * time.Second
	jitter     = 0.5
)

func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longPause
	pause.RandomizationFactor = jitter
	pause.Reset()
	return pause
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
