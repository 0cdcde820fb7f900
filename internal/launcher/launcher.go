// Package launcher runs functions in the background and waits for them on
// shutdown.
package launcher

import "sync"

// A Group runs functions in new goroutines. Unlike the methods of a
// sync.WaitGroup, Go may be called concurrently with Close. The zero value is
// ready to use. A Group is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs a function in a new goroutine. Once Close was called, it does nothing.
func (g *Group) Go(run func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(run)
	}
}

// Close prevents further functions from starting and waits for the running ones.
// It must not be called by one of them.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
