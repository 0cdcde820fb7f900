package cli

import (
	"sync"
	"time"
)

// progressInterval is the time between two messages about a call in progress.
const progressInterval = 2 * time.Second

// showProgress calls notify at every interval with the time waited, until stop is
// called. No call of notify is in progress when stop returns.
func showProgress(interval time.Duration, notify func(waited time.Duration)) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ticks := 1; ; ticks++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				notify(time.Duration(ticks) * interval)
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}
