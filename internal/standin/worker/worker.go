// Package worker is a stand-in of the platform's agent on a worker. It refuses
// only lower fences and records every breach of a promise.
package worker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// Options describe one worker.
type Options struct {
	Name       string
	DataCentre string
	Capacity   commander.Resources
	// Lag is the age of the measurements that Usage returns.
	Lag time.Duration
	// Log receives the starts and ends; nil gives the worker its own.
	Log *judge.Log
}

// A run is one run of one task at this worker, ended ones included.
type run struct {
	start      commander.Start
	state      commander.RunState
	deadline   time.Time
	done       time.Duration
	throttle   int
	checkpoint string
	result     []byte
	reason     string
}

// A sample is the set of measurements that holds from an instant on.
type sample struct {
	from   time.Time
	usages []commander.Usage
}

// A Worker is the state of one worker. It is safe for concurrent use.
type Worker struct {
	options Options
	log     *judge.Log

	mu       sync.Mutex
	fence    commander.Fence
	model    Model
	runs     map[commander.RunID]*run
	last     time.Time
	outAfter time.Time
	samples  []sample
	breaches []judge.Breach
}

// New returns an empty worker.
func New(options Options) *Worker {
	log := options.Log
	if log == nil {
		log = &judge.Log{}
	}
	return &Worker{options: options, log: log, runs: map[commander.RunID]*run{}}
}

// SetModel replaces the model of how runs behave.
func (w *Worker) SetModel(now time.Time, model Model) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.model = model
	w.measure(now)
}

// SetOutAfter makes starts after an instant breaches, until it is set to zero.
func (w *Worker) SetOutAfter(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outAfter = at
}

// Breaches returns the promises that were broken at this worker.
func (w *Worker) Breaches() []judge.Breach {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.breaches)
}

// Records returns the starts and ends up to now of all workers of the log.
func (w *Worker) Records(now time.Time) []judge.Record {
	w.Advance(now)
	return w.log.Records()
}

// Advance ends the runs that finish or lapse up to now.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

// Crash ends all runs and forgets everything, as the loss of the host does.
func (w *Worker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, each := range w.running() {
		w.end(each, now, commander.RunLapsed, "host lost")
	}
	w.runs = map[commander.RunID]*run{}
	w.fence = 0
}

// Start starts a run. A run that the worker knows already is left as it is.
func (w *Worker) Start(now time.Time, start commander.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(start.Fence); err != nil {
		return err
	}
	if _, ok := w.runs[start.ID]; ok {
		return nil
	}
	started := &run{
		start:      start,
		state:      commander.RunRunning,
		deadline:   now.Add(start.Lease),
		done:       progressOf(start.Checkpoint),
		checkpoint: start.Checkpoint,
	}
	w.runs[start.ID] = started
	w.record(judge.KindStart, started, now)
	w.judge(now, started)
	w.measure(now)
	return nil
}

// Fail ends a running run as failed.
func (w *Worker) Fail(now time.Time, id commander.RunID, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if found, ok := w.runs[id]; ok && found.state == commander.RunRunning {
		w.end(found, now, commander.RunFailed, reason)
		w.measure(now)
	}
}

// Renew drops the runs to forget, extends leases, and returns the runs that
// don't run here.
func (w *Worker) Renew(now time.Time, renewal commander.Renewal) (renewed commander.RenewalResult, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(renewal.Fence); err != nil {
		return commander.RenewalResult{}, err
	}
	w.forget(renewal.Forget)
	for _, id := range renewal.IDs {
		found, ok := w.runs[id]
		switch {
		case !ok:
			renewed.Unknown = append(renewed.Unknown, id)
		case found.state != commander.RunRunning:
			renewed.Ended = append(renewed.Ended, found.outcome())
		default:
			found.deadline = now.Add(renewal.Lease)
		}
	}
	return renewed, nil
}

// forget drops ended runs. The lock has to be held.
func (w *Worker) forget(ids []commander.RunID) {
	for _, id := range ids {
		if found, ok := w.runs[id]; ok && found.state != commander.RunRunning {
			delete(w.runs, id)
		}
	}
}

// Checkpoint saves the progress of a run.
func (w *Worker) Checkpoint(now time.Time, fence commander.Fence, id commander.RunID) (name string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(fence); err != nil {
		return "", err
	}
	found, ok := w.runs[id]
	if !ok {
		return "", errs.ErrNotFound
	}
	if found.state == commander.RunRunning {
		found.checkpoint = checkpointName(id, found.done)
	}
	return found.checkpoint, nil
}

// Throttle withholds a percentage of a run's processors.
func (w *Worker) Throttle(now time.Time, fence commander.Fence, id commander.RunID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(fence); err != nil {
		return err
	}
	found, ok := w.runs[id]
	if !ok || found.state != commander.RunRunning {
		return errs.ErrNotFound
	}
	found.throttle = min(max(percent, 0), fullPercent)
	w.measure(now)
	return nil
}

// Stop ends a run. An unknown run is remembered as stopped, so that a late
// start of it has no effect.
func (w *Worker) Stop(now time.Time, fence commander.Fence, id commander.RunID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(fence); err != nil {
		return err
	}
	found, ok := w.runs[id]
	if !ok {
		w.runs[id] = &run{start: commander.Start{ID: id}, state: commander.RunStopped, reason: "stopped before its start"}
		return nil
	}
	if found.state == commander.RunRunning {
		w.end(found, now, commander.RunStopped, "stopped")
		w.measure(now)
	}
	return nil
}

// Report lists the runs and raises the fence.
func (w *Worker) Report(now time.Time, fence commander.Fence) (report commander.Report, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.raise(fence); err != nil {
		return commander.Report{}, err
	}
	report = commander.Report{Worker: w.options.Name, Fence: w.fence, Capacity: w.options.Capacity}
	for _, each := range w.runs {
		report.Runs = append(report.Runs, each.view())
	}
	slices.SortFunc(report.Runs, func(a, b commander.Run) int {
		return cmp.Or(cmp.Compare(a.ID.Task, b.ID.Task), cmp.Compare(a.ID.Run, b.ID.Run))
	})
	return report, nil
}

// Usage returns the measurements as they were one lag ago.
func (w *Worker) Usage(now time.Time) []commander.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	at := now.Add(-w.options.Lag)
	var usages []commander.Usage
	for _, each := range w.samples {
		if !each.from.After(at) {
			usages = each.usages
		}
	}
	usages = slices.Clone(usages)
	for i := range usages {
		usages[i].At = at
	}
	return usages
}

// raise accepts a fence that is not lower than the highest seen.
func (w *Worker) raise(fence commander.Fence) error {
	if fence < w.fence {
		return fmt.Errorf("fence %d is lower than %d: %w", fence, w.fence, errs.ErrFenced)
	}
	w.fence = fence
	return nil
}

// judge records the breaches that a start causes at this worker.
func (w *Worker) judge(now time.Time, started *run) {
	var sum commander.Resources
	for _, each := range w.running() {
		sum = plus(sum, each.start.Resources)
	}
	if capacity := w.options.Capacity; exceeds(sum, capacity) {
		w.breach(judge.RuleOverCapacity, now, started, fmt.Sprintf("given %+v of %+v", sum, capacity))
	}
	for _, each := range w.running() {
		if each != started && each.start.ID.Task == started.start.ID.Task {
			w.breach(judge.RuleTwoPlaces, now, started, fmt.Sprintf("runs %d and %d", each.start.ID.Run, started.start.ID.Run))
		}
	}
	if !w.outAfter.IsZero() && now.After(w.outAfter) {
		w.breach(judge.RuleLateStart, now, started, fmt.Sprintf("started %s too late", now.Sub(w.outAfter)))
	}
}

// breach records a broken promise. The lock has to be held.
func (w *Worker) breach(rule judge.Rule, now time.Time, of *run, detail string) {
	subject := fmt.Sprintf("%s at %s", of.start.ID.Task, w.options.Name)
	w.breaches = append(w.breaches, judge.Breach{Rule: rule, At: now, Subject: subject, Detail: detail})
}

// record logs a start or an end. The lock has to be held.
func (w *Worker) record(kind judge.Kind, of *run, at time.Time) {
	record := judge.Record{
		Kind: kind, At: at,
		Task: of.start.ID.Task, Run: of.start.ID.Run, Class: of.start.Class,
		Worker: w.options.Name, DataCentre: w.options.DataCentre, Checkpoint: of.checkpoint,
	}
	if kind == judge.KindEnd {
		record.State = string(of.state)
	}
	w.log.Add(record)
}

// view returns the run as the report shows it.
func (r *run) view() commander.Run {
	return commander.Run{
		ID: r.start.ID, State: r.state, Class: r.start.Class, Team: r.start.Team,
		Resources: r.start.Resources, Checkpoint: r.checkpoint, Result: r.result,
		Reason: r.reason, ThrottlePercent: r.throttle,
	}
}

// outcome returns how the run ended.
func (r *run) outcome() commander.Run {
	return commander.Run{ID: r.start.ID, State: r.state, Checkpoint: r.checkpoint, Result: r.result, Reason: r.reason}
}

// result returns what a finished run leaves behind.
func resultOf(r *run) []byte {
	result := struct {
		Task       string `json:"task"`
		Run        int32  `json:"run"`
		WorkMillis int64  `json:"workMillis"`
	}{r.start.ID.Task, r.start.ID.Run, r.start.Work.Milliseconds()}
	encoded, err := json.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// plus adds resources.
func plus(a, b commander.Resources) commander.Resources {
	return commander.Resources{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// exceeds reports whether any resource is larger than its bound.
func exceeds(a, bound commander.Resources) bool {
	return a.MilliCores > bound.MilliCores || a.MemoryBytes > bound.MemoryBytes || a.Accelerators > bound.Accelerators
}
