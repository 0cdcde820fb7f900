// Package blamer decides from the outcomes of runs whether an intent or a
// worker is the cause of failures.
package blamer

import (
	"fmt"
	"slices"
	"time"
)

const (
	// quarantineFailures is the number of different tasks that have to fail on a
	// worker, without a success in between, before it is quarantined.
	quarantineFailures = 3
	// maxRefusedTasks is the number of refused tasks after which the remaining
	// tasks of an intent are refused too, unless one of its runs has succeeded.
	maxRefusedTasks = 3
	// suspicionPause is the time for which a worker gets no new tasks after
	// failures that don't prove the worker faulty. It doubles with each further task
	// that fails there.
	suspicionPause = 10 * time.Second
	// maxDoublings bounds the doublings of suspicionPause.
	maxDoublings = 5
	// firstProbeDelay and maxProbeDelay bound the time until a quarantined worker
	// gets one task as a health check.
	firstProbeDelay = 5 * time.Minute
	maxProbeDelay   = time.Hour
	// HealthyRunTime is the time after which a run that has not finished yet
	// counts as a success of its intent.
	HealthyRunTime = 30 * time.Second
)

// A workerRecord holds the recent failures of one worker and its quarantine.
type workerRecord struct {
	// failed maps the tasks that failed on the worker since the last success there
	// to their intents.
	failed      map[string]string
	quarantined bool
	// reason is the reason for the quarantine.
	reason string
	// probeAt is the time from which a quarantined worker gets a task as a health
	// check.
	probeAt     time.Time
	probeDelay  time.Duration
	pausedUntil time.Time
}

// An intentRecord holds the outcomes of the runs of one intent.
type intentRecord struct {
	// goodWorkers is the set of workers on which a run has succeeded, badWorkers
	// that on which a run has failed. A worker can be in both.
	goodWorkers map[string]bool
	badWorkers  map[string]bool
	// refused is the number of refused tasks.
	refused int
}

// A Ledger records the outcomes of runs. It is not safe for concurrent use.
type Ledger struct {
	workers map[string]*workerRecord
	intents map[string]*intentRecord
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{workers: make(map[string]*workerRecord), intents: make(map[string]*intentRecord)}
}

func (l *Ledger) worker(name string) *workerRecord {
	r, ok := l.workers[name]
	if !ok {
		r = &workerRecord{failed: make(map[string]string), probeDelay: firstProbeDelay}
		l.workers[name] = r
	}
	return r
}

func (l *Ledger) intent(id string) *intentRecord {
	r, ok := l.intents[id]
	if !ok {
		r = &intentRecord{goodWorkers: make(map[string]bool), badWorkers: make(map[string]bool)}
		l.intents[id] = r
	}
	return r
}

// RecordSuccess records a run of an intent that succeeded on a worker. It reports
// whether this ends the quarantine of that worker, and returns the workers that
// the success puts in quarantine: it shows that the intent can run, so that
// earlier failures of the intent are blamed on the workers where they happened.
func (l *Ledger) RecordSuccess(worker, intent string, now time.Time) (released bool, quarantined []string) {
	known := l.intent(intent)
	isFirstHere := !known.goodWorkers[worker]
	known.goodWorkers[worker] = true
	r := l.worker(worker)
	released = r.quarantined
	*r = workerRecord{failed: make(map[string]string), probeDelay: firstProbeDelay}
	if !isFirstHere {
		return released, nil
	}
	for name, other := range l.workers {
		if l.quarantine(name, other, now) {
			quarantined = append(quarantined, name)
		}
	}
	slices.Sort(quarantined)
	return released, quarantined
}

// RecordFailure records a run that failed on a worker, and reports whether this
// puts the worker in quarantine. If the worker is in quarantine already, the
// delay until its next health check doubles, up to maxProbeDelay.
func (l *Ledger) RecordFailure(worker, task, intent string, now time.Time) (quarantined bool) {
	l.intent(intent).badWorkers[worker] = true
	r := l.worker(worker)
	if r.quarantined {
		r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
		r.probeAt = now.Add(r.probeDelay)
		return false
	}
	r.failed[task] = intent
	if l.quarantine(worker, r, now) {
		return true
	}
	if len(r.failed) >= quarantineFailures {
		doublings := min(len(r.failed)-quarantineFailures, maxDoublings)
		r.pausedUntil = now.Add(suspicionPause << doublings)
	}
	return false
}

// quarantine puts a worker in quarantine if enough different tasks have failed
// there and the worker is at fault. It reports whether it did so.
func (l *Ledger) quarantine(name string, r *workerRecord, now time.Time) bool {
	if r.quarantined || len(r.failed) < quarantineFailures || !l.isWorkerAtFault(name, r) {
		return false
	}
	r.quarantined = true
	r.reason = fmt.Sprintf("%d tasks of intents that are healthy elsewhere failed in a row", len(r.failed))
	r.probeAt = now.Add(r.probeDelay)
	return true
}

// isWorkerAtFault reports whether the worker rather than the intents causes the
// failures: either enough of the failed tasks belong to intents that succeeded
// elsewhere, or they belong to enough different intents that fail on no other
// worker.
func (l *Ledger) isWorkerAtFault(worker string, r *workerRecord) bool {
	proven := 0
	onlyHere := make(map[string]bool)
	for _, id := range r.failed {
		intent := l.intent(id)
		if countOthers(intent.goodWorkers, worker) > 0 {
			proven++
		}
		if countOthers(intent.badWorkers, worker) == 0 {
			onlyHere[id] = true
		}
	}
	return proven >= quarantineFailures || len(onlyHere) >= quarantineFailures
}

// countOthers returns the number of workers in a set besides the given one.
func countOthers(set map[string]bool, worker string) int {
	if set[worker] {
		return len(set) - 1
	}
	return len(set)
}

// RestoreQuarantine restores a quarantine that a previous owner recorded.
func (l *Ledger) RestoreQuarantine(worker, reason string, now time.Time) {
	r := l.worker(worker)
	r.quarantined = true
	r.reason = reason
	r.probeAt = now.Add(r.probeDelay)
}

// Quarantined reports whether a worker is quarantined, and returns the reason.
func (l *Ledger) Quarantined(worker string) (reason string, quarantined bool) {
	r, ok := l.workers[worker]
	if !ok {
		return "", false
	}
	return r.reason, r.quarantined
}

// MayProbe reports whether a quarantined worker may get one task as a health
// check.
func (l *Ledger) MayProbe(worker string, now time.Time) bool {
	r, ok := l.workers[worker]
	return ok && r.quarantined && !now.Before(r.probeAt)
}

// Paused reports whether a worker gets no new tasks for a while, because of
// failures that don't prove the worker faulty.
func (l *Ledger) Paused(worker string, now time.Time) bool {
	r, ok := l.workers[worker]
	return ok && now.Before(r.pausedUntil)
}

// RecordRefusal records that a task was refused and reports whether the
// remaining tasks of its intent are to be refused too.
func (l *Ledger) RecordRefusal(intent string) (refuseRest bool) {
	r := l.intent(intent)
	r.refused++
	return r.refused >= maxRefusedTasks && len(r.goodWorkers) == 0
}

// Forget drops the outcomes of an intent's runs.
func (l *Ledger) Forget(intent string) { delete(l.intents, intent) }
