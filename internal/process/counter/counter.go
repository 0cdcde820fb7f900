// Package counter keeps the metrics of a daemon as expvar variables. Each daemon has a set of its
// own, also if several daemons run in one process.
package counter

import (
	"expvar"
	"net/http"
	"runtime/metrics"
)

// A Name is the name of a metric; docs/reference/metrics.md is the catalogue. Each package declares
// its names as constants in a file metrics.go.
type Name string

// A Set holds the metrics of a daemon. It is safe for concurrent use.
type Set struct {
	vars *expvar.Map
}

// New returns an empty set.
func New() *Set { return &Set{vars: new(expvar.Map).Init()} }

// Counter returns the counter with a name, and creates the counter at the first use of the name.
func (s *Set) Counter(name Name) *expvar.Int {
	if counter, ok := s.vars.Get(string(name)).(*expvar.Int); ok {
		return counter
	}
	s.vars.Add(string(name), 0)
	counter, ok := s.vars.Get(string(name)).(*expvar.Int)
	if !ok {
		// The name is already in use for another kind of metric, such as a gauge. The caller
		// gets a counter that isn't published, instead of a failure.
		return new(expvar.Int)
	}
	return counter
}

// Gauge publishes a value that is read each time the metrics are read.
func (s *Set) Gauge(name Name, read func() int64) {
	s.vars.Set(string(name), expvar.Func(func() any { return read() }))
}

// Publish publishes a variable of any kind, for example a map by upstream.
func (s *Set) Publish(name Name, variable expvar.Var) { s.vars.Set(string(name), variable) }

// PublishRuntime publishes gauges of the Go runtime.
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
	// A write fails only if the client has disconnected.
	_, _ = w.Write([]byte(s.vars.String() + "\n"))
}
