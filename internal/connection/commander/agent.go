// Package commander defines the commands and reports of the platform's agent on a
// worker, and implements a client that sends them over HTTP.
package commander

import (
	"context"
	"encoding"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// A Fence is the fencing token of an owner's commands: the owner's epoch. The
// agent rejects commands with a fence lower than the highest that it has received.
type Fence int64

// A RunID identifies one run of one task. Its text form is "<task>#<run>".
type RunID struct {
	Task string
	Run  int32
}

var (
	_ encoding.TextMarshaler   = RunID{}
	_ encoding.TextUnmarshaler = (*RunID)(nil)
)

// runSeparator separates the task from the run in the text form of a RunID.
const runSeparator = "#"

// MarshalText implements encoding.TextMarshaler.
func (r RunID) MarshalText() ([]byte, error) {
	return strconv.AppendInt([]byte(r.Task+runSeparator), int64(r.Run), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *RunID) UnmarshalText(text []byte) error {
	written := string(text)
	separator := strings.LastIndex(written, runSeparator)
	if separator < 0 {
		return fmt.Errorf("run %q has no number", written)
	}
	run, err := strconv.ParseInt(written[separator+len(runSeparator):], 10, 32)
	if err != nil {
		return fmt.Errorf("run %q: %w", written, err)
	}
	*r = RunID{Task: written[:separator], Run: int32(run)}
	return nil
}

// Resources are amounts of CPU, memory and accelerators.
type Resources struct {
	MilliCores   int64 `json:"milliCores,omitempty"`
	MemoryBytes  int64 `json:"memoryBytes,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// A Start commands a worker to run a task under a lease.
type Start struct {
	ID         RunID         `json:"id"`
	Fence      Fence         `json:"fence"`
	Lease      time.Duration `json:"lease"` // nanoseconds
	Resources  Resources     `json:"resources"`
	Class      string        `json:"class"`
	Team       string        `json:"team"`
	Checkpoint string        `json:"checkpoint,omitempty"` // to resume from
	// Work is the duration of the whole task at full speed; if it is zero, the task
	// runs until it is stopped.
	Work time.Duration `json:"work"`
}

// A RunState is the state of a run on its worker.
type RunState string

// States of a run.
const (
	RunRunning  RunState = "running"
	RunFinished RunState = "finished"
	RunFailed   RunState = "failed"
	RunStopped  RunState = "stopped"
	// RunLapsed means that the worker ended the run because its lease lapsed.
	RunLapsed RunState = "lapsed"
)

// A Run is a worker's report of one run.
type Run struct {
	ID         RunID     `json:"id"`
	State      RunState  `json:"state"`
	Class      string    `json:"class,omitempty"`
	Team       string    `json:"team,omitempty"`
	Resources  Resources `json:"resources,omitzero"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Result     []byte    `json:"result,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	// ThrottlePercent is the percentage of the run's CPU that is withheld.
	ThrottlePercent int `json:"throttlePercent,omitempty"`
}

// A Renewal extends the leases of the runs in IDs, and removes the ended runs in
// Forget from the worker's reports.
type Renewal struct {
	Fence  Fence
	IDs    []RunID
	Lease  time.Duration
	Forget []RunID
}

// A RenewalResult is a worker's response to a Renewal.
type RenewalResult struct {
	// Ended are the runs of the renewal that have ended. Values that their Start
	// gave, such as the class, are left out.
	Ended []Run
	// Unknown are the runs of the renewal that the worker doesn't know.
	Unknown []RunID
}

// A Report lists the runs of a worker. Ended runs are included until a Renewal
// names them in Forget.
type Report struct {
	Worker   string    `json:"worker"`
	Fence    Fence     `json:"fence"`
	Capacity Resources `json:"capacity"`
	Runs     []Run     `json:"runs"`
}

// A Usage is a measurement of one run. It lags behind the present.
type Usage struct {
	ID        RunID     `json:"id"`
	Resources Resources `json:"resources"`
	// LatencyMicros is the p99 response time of a service's run, in microseconds.
	LatencyMicros int64 `json:"latencyMicros,omitempty"`
	// SpeedPercent is the run's speed relative to its speed when it runs alone.
	SpeedPercent int       `json:"speedPercent"`
	At           time.Time `json:"at"`
}

// An Agent sends commands to one worker. A method may return an error although
// the command took effect. A command may be repeated for the same run without
// further effect.
type Agent interface {
	// Start starts a run; a repeated start of the same run has no effect.
	Start(ctx context.Context, start Start) error
	// Renew extends the leases of runs and returns those that the worker doesn't
	// run.
	Renew(ctx context.Context, renewal Renewal) (RenewalResult, error)
	// Checkpoint saves a run's progress and returns the checkpoint's name.
	Checkpoint(ctx context.Context, fence Fence, id RunID) (string, error)
	// Throttle withholds a percentage of a run's CPU.
	Throttle(ctx context.Context, fence Fence, id RunID, percent int) error
	// Stop ends a run. If it returns nil, the run has stopped.
	Stop(ctx context.Context, fence Fence, id RunID) error
	// Report lists the worker's runs and raises the worker's fence to the given
	// one.
	Report(ctx context.Context, fence Fence) (Report, error)
	// Usage returns measurements of the worker's runs, which lag behind the present.
	Usage(ctx context.Context) ([]Usage, error)
}

// A Dialer returns the agent of the worker at an address.
type Dialer interface {
	Agent(address string) Agent
}
