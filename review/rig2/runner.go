package rig2

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/platform/standin"
)

// A Runner is a stand-in for a runner with its listener and its entry in the registry.
type Runner struct {
	*standin.Runner
	Service string
	Zone    string
	address string
	late    *LateOrders
	cutOff  atomic.Bool

	mu     sync.Mutex
	server *http.Server // nil while the runner is down
	downAt time.Time
	// Crashes holds the times at which the runner has crashed.
	crashes []time.Time
}

// listen serves the runner's API at its address, or at a free one if it has none.
func (r *Runner) listen() (err error) {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("runner %s: %w", r.ID, err)
	}
	r.address = listener.Addr().String()
	server := &http.Server{Handler: r.late.handler(r), ReadHeaderTimeout: 5 * time.Second}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the server
	return nil
}

// isUp reports whether the runner works, and if not, since when.
func (r *Runner) isUp() (up bool, downAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server != nil, r.downAt
}

// Cut cuts the runner off from the daemons, or ends that. It goes on, and reaches the store.
func (r *Runner) Cut(cut bool) { r.cutOff.Store(cut) }

func (r *Runner) isCutOff() bool { return r.cutOff.Load() }

// Crash ends the runner with all that it runs. It reports whether the runner was up.
func (r *Runner) Crash() bool {
	r.mu.Lock()
	server := r.server
	r.server, r.downAt = nil, time.Now()
	if server != nil {
		r.crashes = append(r.crashes, r.downAt)
	}
	r.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close() // the error is that of the listener, which is gone
	r.Restart()
	return true
}

// Return starts the runner again after a crash, at the same address and under the same id.
func (r *Runner) Return() error {
	r.Restart()
	return r.listen()
}

// Crashes returns the times at which the runner has crashed.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}
