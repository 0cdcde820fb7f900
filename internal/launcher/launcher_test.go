package launcher

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestNothingRunsAfterClose checks that Go may be called concurrently with Close.
// That happens when a daemon passes a cancellation to a conductor that it obtained
// before the conductor's term ended; the race detector reported it.
func TestNothingRunsAfterClose(t *testing.T) {
	t.Parallel()
	group := &Group{}
	var running atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
					group.Go(func() {
						running.Add(1)
						time.Sleep(time.Millisecond)
						running.Add(-1)
					})
				}
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	group.Close()
	if n := running.Load(); n != 0 {
		t.Errorf("%d functions run after Close", n)
	}
	group.Go(func() { t.Error("a function was run after Close") })
	close(stop)
	callers.Wait()
}
