// Package runner is a stand-in of one replica of a back end. It records every
// request and connection beyond its capacity.
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
	Name        string
	Slots       int
	Connections int
	// Mean is the mean service time. Sigma is the standard deviation of its
	// logarithm; zero gives a fixed time.
	Mean  time.Duration
	Sigma float64
	// Seed fixes the random service times and faults.
	Seed uint64
}

// Counts are what a runner has seen.
type Counts struct {
	Runner string `json:"runner"`
	// Requests arrived, Executed ran to their end, Cancelled lost their
	// connection before that.
	Requests  int64 `json:"requests"`
	Executed  int64 `json:"executed"`
	Cancelled int64 `json:"cancelled"`
	// InFlight and Connections are present numbers with their peaks.
	InFlight        int `json:"inFlight"`
	PeakInFlight    int `json:"peakInFlight"`
	Connections     int `json:"connections"`
	PeakConnections int `json:"peakConnections"`
}

// A Runner is the state of one runner. It is safe for concurrent use.
type Runner struct {
	options Options

	mu          sync.Mutex
	faults      Faults
	counts      Counts
	breaches    []judge.Breach
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

// Counts returns what the runner has seen.
func (r *Runner) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Breaches returns the promises that were broken at this runner.
func (r *Runner) Breaches() []judge.Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.breaches)
}

// Executions returns how often each named request began to run.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make(map[string]int, len(r.executions))
	for id, times := range r.executions {
		executions[id] = times
	}
	return executions
}

// Prepare makes a server count its connections.
func (r *Runner) Prepare(server *http.Server) {
	server.ConnState = r.track
}

// track counts open connections and records each beyond the limit.
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
		r.breach(judge.RuleConnection, fmt.Sprintf("%d connections of %d", len(r.connections), r.options.Connections))
	}
}

// enter takes a slot, recording a breach if there is none, and decides what
// happens to the request.
func (r *Runner) enter() (fault, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.counts.InFlight++
	r.counts.PeakInFlight = max(r.counts.PeakInFlight, r.counts.InFlight)
	if r.counts.InFlight > r.options.Slots {
		r.breach(judge.RuleNinthRequest, fmt.Sprintf("%d requests in %d slots", r.counts.InFlight, r.options.Slots))
	}
	return r.faults.draw(r.random), r.serviceTime()
}

// begin notes that a named request runs.
func (r *Runner) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != "" {
		r.executions[id]++
	}
}

// leave frees a slot.
func (r *Runner) leave(executed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.InFlight--
	if executed {
		r.counts.Executed++
	} else {
		r.counts.Cancelled++
	}
}

// serviceTime draws a service time. The lock has to be held.
func (r *Runner) serviceTime() time.Duration {
	mean := float64(r.options.Mean)
	if sigma := r.options.Sigma; sigma > 0 {
		mean *= math.Exp(sigma*r.random.NormFloat64() - sigma*sigma/2)
	}
	return time.Duration(mean)
}

// scaled returns a service time slowed by the faults.
func (r *Runner) scaled(service time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.SlowPercent == 0 {
		return service
	}
	return service * time.Duration(r.faults.SlowPercent) / hundredPercent
}

// breach records a broken promise. The lock has to be held.
func (r *Runner) breach(rule judge.Rule, detail string) {
	r.breaches = append(r.breaches, judge.Breach{Rule: rule, At: time.Now(), Subject: r.options.Name, Detail: detail})
}
