// Package launcher runs functions in the background until their owner closes.
package launcher

import "sync"

// A Group runs functions in goroutines of their own. Unlike a sync.WaitGroup it
// may be used while it closes. The zero value is ready. It is safe for concurrent
// use.
type Group struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs a function in the background, or not at all once the group is closed.
func (g *Group) Go(run func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(run)
	}
}

// Close waits for the functions that run. It must not be called by one of them.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
