// Package counter keeps the metrics of one daemon as expvar variables. Several
// daemons in one process have a set each.
package counter

import (
	"expvar"
	"net/http"
	"runtime/metrics"
)

// A Name names a metric; docs/reference/metrics.md is the catalogue. Packages
// declare theirs as constants in a file metrics.go.
type Name string

// A Set holds the metrics of one daemon. It is safe for concurrent use.
type Set struct {
	vars *expvar.Map
}

// New returns an empty set.
func New() *Set { return &Set{vars: new(expvar.Map).Init()} }

// Counter returns the counter of a name, which is created at its first use.
func (s *Set) Counter(name Name) *expvar.Int {
	if counter, ok := s.vars.Get(string(name)).(*expvar.Int); ok {
		return counter
	}
	s.vars.Add(string(name), 0)
	counter, ok := s.vars.Get(string(name)).(*expvar.Int)
	if !ok {
		// A gauge has the name; count into the void rather than fail.
		return new(expvar.Int)
	}
	return counter
}

// Gauge publishes a value that is read when it is asked for.
func (s *Set) Gauge(name Name, read func() int64) {
	s.vars.Set(string(name), expvar.Func(func() any { return read() }))
}

// Publish adds a variable of any kind, for example a map by upstream.
func (s *Set) Publish(name Name, variable expvar.Var) { s.vars.Set(string(name), variable) }

// PublishRuntime adds gauges of the Go runtime.
func (s *Set) PublishRuntime() {
	for name, sample := range map[Name]string{
		RuntimeHeapBytes:  "/memory/classes/heap/objects:bytes",
		RuntimeTotalBytes: "/memory/classes/total:bytes",
		RuntimeGoroutines: "/sched/goroutines:goroutines",
	} {
		s.Gauge(name, func() int64 { return readSample(sample) })
	}
}

func readSample(name string) int64 {
	samples := []metrics.Sample{{Name: name}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64())
}

var _ http.Handler = (*Set)(nil)

// ServeHTTP writes the metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// The caller has gone if the write fails.
	_, _ = w.Write([]byte(s.vars.String() + "\n"))
}
