package cli

import (
	"sync"
	"time"
)

// progressInterval is the time between two notices about a wait.
const progressInterval = 2 * time.Second

// showProgress calls tell with the time waited, every interval, until stop is
// called; stop waits until tell has returned.
func showProgress(interval time.Duration, tell func(waited time.Duration)) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for looks := 1; ; looks++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				tell(time.Duration(looks) * interval)
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}
