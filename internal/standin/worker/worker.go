// Package worker is a stand-in for the platform's agent on a worker. It refuses a command only if
// its fencing token is lower than one seen before, and records every violated guarantee.
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
	// Lag is how old the measurements that Usage returns are.
	Lag time.Duration
	// Log receives the starts and ends of runs; nil gives the worker a log of its own.
	Log *judge.Log
}

// A run is one run of one task at this worker, either running or ended.
type run struct {
	start commander.Start
	state commander.RunState
	// deadline is when the lease lapses.
	deadline time.Time
	// completed is the part of start.Work that has been done, also by earlier runs of the task.
	completed time.Duration
	// throttle is the percentage of the run's CPU that is withheld.
	throttle int
	// checkpoint is the last checkpoint that the run saved, or the one that it started from.
	checkpoint string
	result     []byte
	reason     string
}

// A sample is the set of measurements that is valid from an instant until the next sample.
type sample struct {
	from   time.Time
	usages []commander.Usage
}

// A Worker is the state of one worker. It is safe for concurrent use.
type Worker struct {
	options Options
	log     *judge.Log

	mu sync.Mutex
	// fence is the highest fencing token seen.
	fence commander.Fence
	model Model
	runs  map[commander.RunID]*run
	// last is the instant up to which the progress of the runs has been computed.
	last time.Time
	// latestStart is the instant after which a start is a breach, or zero.
	latestStart time.Time
	samples     []sample
	breaches    []judge.Breach
}

// New returns a worker without runs.
func New(options Options) *Worker {
	log := options.Log
	if log == nil {
		log = &judge.Log{}
	}
	return &Worker{options: options, log: log, runs: map[commander.RunID]*run{}}
}

// SetModel replaces the performance model of the runs.
func (w *Worker) SetModel(now time.Time, model Model) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.model = model
	w.measure(now)
}

// SetLatestStart makes the worker record each start after an instant as a breach; the zero time
// removes this limit.
func (w *Worker) SetLatestStart(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latestStart = at
}

// Breaches returns the violated guarantees that were recorded at this worker.
func (w *Worker) Breaches() []judge.Breach {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.breaches)
}

// Records returns the starts and ends of runs up to now, including those at other workers that
// share the log.
func (w *Worker) Records(now time.Time) []judge.Record {
	w.Advance(now)
	return w.log.Records()
}

// Advance ends the runs that finish or whose lease lapses up to now.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

// Crash ends all runs and discards the worker's state, as the loss of its host would.
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

// Start starts a run. It has no effect on a run that the worker already knows.
func (w *Worker) Start(now time.Time, start commander.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(start.Fence); err != nil {
		return err
	}
	if _, ok := w.runs[start.ID]; ok {
		return nil
	}
	started := &run{
		start:      start,
		state:      commander.RunRunning,
		deadline:   now.Add(start.Lease),
		completed:  progressOf(start.Checkpoint),
		checkpoint: start.Checkpoint,
	}
	w.runs[start.ID] = started
	w.record(judge.KindStart, started, now)
	w.checkStart(now, started)
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

// Renew discards the ended runs in Forget, extends the leases of the running ones in IDs, and
// returns the runs of IDs that have ended or are unknown here.
func (w *Worker) Renew(now time.Time, renewal commander.Renewal) (renewed commander.RenewalResult, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(renewal.Fence); err != nil {
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

// forget discards the given runs that have ended. The caller must hold the lock.
func (w *Worker) forget(ids []commander.RunID) {
	for _, id := range ids {
		if found, ok := w.runs[id]; ok && found.state != commander.RunRunning {
			delete(w.runs, id)
		}
	}
}

// Checkpoint saves the progress of a running run and returns the name of its last checkpoint.
func (w *Worker) Checkpoint(now time.Time, fence commander.Fence, id commander.RunID) (name string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(fence); err != nil {
		return "", err
	}
	found, ok := w.runs[id]
	if !ok {
		return "", errs.ErrNotFound
	}
	if found.state == commander.RunRunning {
		found.checkpoint = checkpointName(id, found.completed)
	}
	return found.checkpoint, nil
}

// Throttle withholds a percentage of a run's CPU.
func (w *Worker) Throttle(now time.Time, fence commander.Fence, id commander.RunID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(fence); err != nil {
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

// Stop ends a run. An unknown run is recorded as stopped, so that a start command that arrives
// later has no effect.
func (w *Worker) Stop(now time.Time, fence commander.Fence, id commander.RunID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(fence); err != nil {
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

// Report returns all runs, and refuses later commands with a lower fencing token.
func (w *Worker) Report(now time.Time, fence commander.Fence) (report commander.Report, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if err := w.acceptFence(fence); err != nil {
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

// Usage returns the measurements that were valid Options.Lag ago.
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

// acceptFence refuses a fencing token that is lower than the highest seen, and otherwise stores the
// token as the highest. The caller must hold the lock.
func (w *Worker) acceptFence(fence commander.Fence) error {
	if fence < w.fence {
		return fmt.Errorf("fencing token %d is lower than %d: %w", fence, w.fence, errs.ErrFenced)
	}
	w.fence = fence
	return nil
}

// checkStart records the breaches that a start causes at this worker: too many resources allocated,
// two runs of one task at a time, or a start after the latest allowed one. The caller must hold the
// lock.
func (w *Worker) checkStart(now time.Time, started *run) {
	var sum commander.Resources
	for _, each := range w.running() {
		sum = add(sum, each.start.Resources)
	}
	if capacity := w.options.Capacity; exceeds(sum, capacity) {
		w.recordBreach(judge.RuleOverCapacity, now, started, fmt.Sprintf("%+v allocated of %+v", sum, capacity))
	}
	for _, each := range w.running() {
		if each != started && each.start.ID.Task == started.start.ID.Task {
			w.recordBreach(judge.RuleTwoPlaces, now, started, fmt.Sprintf("runs %d and %d", each.start.ID.Run, started.start.ID.Run))
		}
	}
	if !w.latestStart.IsZero() && now.After(w.latestStart) {
		w.recordBreach(judge.RuleLateStart, now, started, fmt.Sprintf("started %s after the latest allowed start", now.Sub(w.latestStart)))
	}
}

// recordBreach records a violated guarantee. The caller must hold the lock.
func (w *Worker) recordBreach(rule judge.Rule, now time.Time, target *run, detail string) {
	subject := fmt.Sprintf("%s at %s", target.start.ID.Task, w.options.Name)
	w.breaches = append(w.breaches, judge.Breach{Rule: rule, At: now, Subject: subject, Detail: detail})
}

// record logs a start or an end. The caller must hold the lock.
func (w *Worker) record(kind judge.Kind, target *run, at time.Time) {
	record := judge.Record{
		Kind: kind, At: at,
		Task: target.start.ID.Task, Run: target.start.ID.Run, Class: target.start.Class,
		Worker: w.options.Name, DataCentre: w.options.DataCentre, Checkpoint: target.checkpoint,
	}
	if kind == judge.KindEnd {
		record.State = string(target.state)
	}
	w.log.Add(record)
}

// view returns the run as Report states it.
func (r *run) view() commander.Run {
	return commander.Run{
		ID: r.start.ID, State: r.state, Class: r.start.Class, Team: r.start.Team,
		Resources: r.start.Resources, Checkpoint: r.checkpoint, Result: r.result,
		Reason: r.reason, ThrottlePercent: r.throttle,
	}
}

// outcome returns the final state of an ended run.
func (r *run) outcome() commander.Run {
	return commander.Run{ID: r.start.ID, State: r.state, Checkpoint: r.checkpoint, Result: r.result, Reason: r.reason}
}

// resultOf returns the result of a finished run, as JSON.
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

// add returns the sum of two sets of resources.
func add(a, b commander.Resources) commander.Resources {
	return commander.Resources{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// exceeds reports whether any resource is above its bound.
func exceeds(a, bound commander.Resources) bool {
	return a.MilliCores > bound.MilliCores || a.MemoryBytes > bound.MemoryBytes || a.Accelerators > bound.Accelerators
}
