// Package runner is a stand-in for one replica of a back end. It serves requests and connections
// beyond its capacity too, and records each of them as a breach.
package runner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// Options describe one runner.
type Options struct {
	Name string
	// Slots is the number of requests that the runner may run at a time, and Connections the number
	// of connections that it may have open.
	Slots       int
	Connections int
	// Mean is the mean of the log-normal service time, and Sigma is the standard deviation of its
	// logarithm. A Sigma of zero gives a fixed time.
	Mean  time.Duration
	Sigma float64
	// Seed is the seed of the random service times and faults.
	Seed uint64
}

// Counts are the counters of a runner.
type Counts struct {
	Runner string `json:"runner"`
	// Requests is the number of requests that arrived. Executed is the number of requests that ran
	// to their end, and Cancelled the number of requests that ended otherwise, such as by a closed
	// connection.
	Requests  int64 `json:"requests"`
	Executed  int64 `json:"executed"`
	Cancelled int64 `json:"cancelled"`
	// InFlight and Connections are the present numbers of running requests and open
	// connections; PeakInFlight and PeakConnections are their maxima.
	InFlight        int `json:"inFlight"`
	PeakInFlight    int `json:"peakInFlight"`
	Connections     int `json:"connections"`
	PeakConnections int `json:"peakConnections"`
}

// A Runner is the state of one runner. It is safe for concurrent use.
type Runner struct {
	options Options

	mu       sync.Mutex
	faults   Faults
	counts   Counts
	breaches []judge.Breach
	// executions holds how often each request began to run, by the request's ID.
	executions  map[string]int
	connections map[net.Conn]struct{}
	random      *rand.Rand
}

// New returns a runner without faults.
func New(options Options) *Runner {
	return &Runner{
		options:     options,
		counts:      Counts{Runner: options.Name},
		executions:  map[string]int{},
		connections: map[net.Conn]struct{}{},
		random:      rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// SetFaults replaces the faults.
func (r *Runner) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Counts returns the counters of the runner.
func (r *Runner) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Breaches returns the violated guarantees that were recorded at this runner.
func (r *Runner) Breaches() []judge.Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.breaches)
}

// Executions returns how often each request began to run, by the request's ID.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make(map[string]int, len(r.executions))
	for id, times := range r.executions {
		executions[id] = times
	}
	return executions
}

// Prepare makes a server report its connections to the runner, which counts them. It must be called
// before the server starts.
func (r *Runner) Prepare(server *http.Server) {
	server.ConnState = r.track
}

// track counts the open connections and records a breach for each connection beyond the limit. It
// is the ConnState callback of the server.
func (r *Runner) track(connection net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.connections[connection] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(r.connections, connection)
	}
	r.counts.Connections = len(r.connections)
	r.counts.PeakConnections = max(r.counts.PeakConnections, len(r.connections))
	if state == http.StateNew && len(r.connections) > r.options.Connections {
		r.recordBreach(judge.RuleTooManyConnections, fmt.Sprintf("%d connections open, %d allowed", len(r.connections), r.options.Connections))
	}
}

// acquireSlot takes a slot for a request and records a breach if none is free. It returns the fault
// of the request and its service time.
func (r *Runner) acquireSlot() (fault, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.counts.InFlight++
	r.counts.PeakInFlight = max(r.counts.PeakInFlight, r.counts.InFlight)
	if r.counts.InFlight > r.options.Slots {
		r.recordBreach(judge.RuleSlotsExceeded, fmt.Sprintf("%d requests running, %d slots", r.counts.InFlight, r.options.Slots))
	}
	return r.faults.draw(r.random), r.serviceTime()
}

// countExecution counts an execution of the request with an ID; an empty ID isn't counted.
func (r *Runner) countExecution(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != "" {
		r.executions[id]++
	}
}

// releaseSlot frees a slot and counts the request as executed or cancelled.
func (r *Runner) releaseSlot(executed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.InFlight--
	if executed {
		r.counts.Executed++
	} else {
		r.counts.Cancelled++
	}
}

// serviceTime draws a random service time. The caller must hold the lock.
func (r *Runner) serviceTime() time.Duration {
	mean := float64(r.options.Mean)
	if sigma := r.options.Sigma; sigma > 0 {
		mean *= math.Exp(sigma*r.random.NormFloat64() - sigma*sigma/2)
	}
	return time.Duration(mean)
}

// scaledTime returns a service time scaled by Faults.SlowPercent.
func (r *Runner) scaledTime(service time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.SlowPercent == 0 {
		return service
	}
	return service * time.Duration(r.faults.SlowPercent) / fullPercent
}

// recordBreach records a violated guarantee. The caller must hold the lock.
func (r *Runner) recordBreach(rule judge.Rule, detail string) {
	r.breaches = append(r.breaches, judge.Breach{Rule: rule, At: time.Now(), Subject: r.options.Name, Detail: detail})
}
