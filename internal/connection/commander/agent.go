// Package commander speaks to the platform's agent on a worker.
package commander

import (
	"context"
	"encoding"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// A Fence is the epoch under which an owner commands a worker. The agent
// refuses commands with a fence lower than the highest it has seen.
type Fence int64

// A RunID names one run of one task. It is written as "<task>#<run>".
type RunID struct {
	Task string
	Run  int32
}

var (
	_ encoding.TextMarshaler   = RunID{}
	_ encoding.TextUnmarshaler = (*RunID)(nil)
)

// runMark separates the task from the run in a written RunID.
const runMark = "#"

// MarshalText implements encoding.TextMarshaler.
func (r RunID) MarshalText() ([]byte, error) {
	return strconv.AppendInt([]byte(r.Task+runMark), int64(r.Run), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *RunID) UnmarshalText(text []byte) error {
	written := string(text)
	mark := strings.LastIndex(written, runMark)
	if mark < 0 {
		return fmt.Errorf("run %q has no number", written)
	}
	run, err := strconv.ParseInt(written[mark+len(runMark):], 10, 32)
	if err != nil {
		return fmt.Errorf("run %q: %w", written, err)
	}
	*r = RunID{Task: written[:mark], Run: int32(run)}
	return nil
}

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	MilliCores   int64 `json:"milliCores,omitempty"`
	MemoryBytes  int64 `json:"memoryBytes,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// A Start asks a worker to run a task under a lease.
type Start struct {
	ID         RunID         `json:"id"`
	Fence      Fence         `json:"fence"`
	Lease      time.Duration `json:"lease"` // nanoseconds
	Resources  Resources     `json:"resources"`
	Class      string        `json:"class"`
	Team       string        `json:"team"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// Work is the length of the whole task at full speed; zero runs until stopped.
	Work time.Duration `json:"work"`
}

// A RunState is the state of a run at its worker.
type RunState string

// States of a run.
const (
	RunRunning  RunState = "running"
	RunFinished RunState = "finished"
	RunFailed   RunState = "failed"
	RunStopped  RunState = "stopped"
	// RunLapsed is a run that its worker ended because its lease lapsed.
	RunLapsed RunState = "lapsed"
)

// A Run is what a worker reports of one run.
type Run struct {
	ID         RunID     `json:"id"`
	State      RunState  `json:"state"`
	Class      string    `json:"class,omitempty"`
	Team       string    `json:"team,omitempty"`
	Resources  Resources `json:"resources,omitzero"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Result     []byte    `json:"result,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	// ThrottlePercent is the share of its processors that is withheld.
	ThrottlePercent int `json:"throttlePercent,omitempty"`
}

// A Renewal extends the leases of runs, and lets the worker forget others that
// have ended.
type Renewal struct {
	Fence  Fence
	IDs    []RunID
	Lease  time.Duration
	Forget []RunID
}

// A RenewalResult is a worker's answer to a Renewal.
type RenewalResult struct {
	// Ended are runs of the renewal that have ended, without what their start
	// said of them.
	Ended []Run
	// Unknown are runs of the renewal that the worker doesn't know.
	Unknown []RunID
}

// A Report lists the runs of a worker, ended ones included until forgotten.
type Report struct {
	Worker   string    `json:"worker"`
	Fence    Fence     `json:"fence"`
	Capacity Resources `json:"capacity"`
	Runs     []Run     `json:"runs"`
}

// A Usage is a lagging measurement of one run.
type Usage struct {
	ID        RunID     `json:"id"`
	Resources Resources `json:"resources"`
	// LatencyMicros is the p99 response time of a service run, in microseconds.
	LatencyMicros int64 `json:"latencyMicros,omitempty"`
	// SpeedPercent is the speed relative to running alone.
	SpeedPercent int       `json:"speedPercent"`
	At           time.Time `json:"at"`
}

// An Agent commands one worker. Every method may fail after it took effect;
// all commands are idempotent by run.
type Agent interface {
	// Start starts a run; a repeated start of the same run has no effect.
	Start(ctx context.Context, start Start) error
	// Renew extends the leases of runs and returns those the worker doesn't run.
	Renew(ctx context.Context, renewal Renewal) (RenewalResult, error)
	// Checkpoint saves a run's progress and returns the checkpoint's name.
	Checkpoint(ctx context.Context, fence Fence, id RunID) (string, error)
	// Throttle withholds a percentage of a run's processors.
	Throttle(ctx context.Context, fence Fence, id RunID, percent int) error
	// Stop ends a run; after it returns nil the run has stopped.
	Stop(ctx context.Context, fence Fence, id RunID) error
	// Report lists the worker's runs and raises its fence.
	Report(ctx context.Context, fence Fence) (Report, error)
	// Usage returns lagging measurements.
	Usage(ctx context.Context) ([]Usage, error)
}

// A Dialer returns the agent of a worker by its address.
type Dialer interface {
	Agent(address string) Agent
}
