// Package blamer decides, from runs that failed and runs that went well,
// whether a job or a worker is to blame.
package blamer

import (
	"fmt"
	"slices"
	"time"
)

const (
	// quarantineFailures is the number of different tasks that have to fail in
	// a row on a worker before it is quarantined.
	quarantineFailures = 3
	// refusedTasks is the number of refused tasks of an intent, with none that
	// went well, after which the rest of it is refused.
	refusedTasks = 3
	// suspicionPause is the pause of new starts on a worker after failures
	// that don't prove it bad; it doubles with each further failure.
	suspicionPause = 10 * time.Second
	// maxDoublings bounds the doublings of the pause.
	maxDoublings = 5
	// firstProbe and lastProbe bound the time until a quarantined worker gets
	// one task to prove itself.
	firstProbe = 5 * time.Minute
	lastProbe  = time.Hour
	// HealthyRunTime is the time after which a run counts as gone well for its
	// intent although it has not finished.
	HealthyRunTime = 30 * time.Second
)

// A record is what is known of one worker.
type record struct {
	// failed maps the tasks that failed in a row to their intents.
	failed      map[string]string
	quarantined bool
	reason      string
	probeAt     time.Time
	probePause  time.Duration
	pausedUntil time.Time
}

// An intentRecord is what is known of one intent.
type intentRecord struct {
	goodWorkers map[string]bool
	badWorkers  map[string]bool
	refused     int
}

// A Ledger keeps the outcomes of runs. It is not safe for concurrent use.
type Ledger struct {
	workers map[string]*record
	intents map[string]*intentRecord
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{workers: make(map[string]*record), intents: make(map[string]*intentRecord)}
}

func (l *Ledger) worker(name string) *record {
	r, ok := l.workers[name]
	if !ok {
		r = &record{failed: make(map[string]string), probePause: firstProbe}
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

// RecordSuccess notes a run that went well. It reports whether that ends the worker's
// quarantine, and which other workers are quarantined because what failed
// there is now known to run elsewhere.
func (l *Ledger) RecordSuccess(worker, intent string, now time.Time) (released bool, quarantined []string) {
	known := l.intent(intent)
	fresh := !known.goodWorkers[worker]
	known.goodWorkers[worker] = true
	r := l.worker(worker)
	released = r.quarantined
	*r = record{failed: make(map[string]string), probePause: firstProbe}
	if !fresh {
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

// RecordFailure notes a run that failed. It reports whether the worker is quarantined
// for it now.
func (l *Ledger) RecordFailure(worker, task, intent string, now time.Time) (quarantined bool) {
	l.intent(intent).badWorkers[worker] = true
	r := l.worker(worker)
	if r.quarantined {
		r.probePause = min(2*r.probePause, lastProbe)
		r.probeAt = now.Add(r.probePause)
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

// quarantine quarantines a worker if enough speaks against it, and reports
// whether it did.
func (l *Ledger) quarantine(name string, r *record, now time.Time) bool {
	if r.quarantined || len(r.failed) < quarantineFailures || !l.speaksAgainst(name, r) {
		return false
	}
	r.quarantined = true
	r.reason = fmt.Sprintf("%d tasks that run elsewhere failed in a row", len(r.failed))
	r.probeAt = now.Add(r.probePause)
	return true
}

// speaksAgainst reports whether the failures are the worker's fault: enough of
// the failed tasks belong to intents that went well elsewhere, or they belong
// to several intents that fail nowhere else.
func (l *Ledger) speaksAgainst(worker string, r *record) bool {
	proven := 0
	onlyHere := make(map[string]bool)
	for _, id := range r.failed {
		intent := l.intent(id)
		if others(intent.goodWorkers, worker) > 0 {
			proven++
		}
		if others(intent.badWorkers, worker) == 0 {
			onlyHere[id] = true
		}
	}
	return proven >= quarantineFailures || len(onlyHere) >= quarantineFailures
}

// others counts the workers in a set besides one.
func others(set map[string]bool, worker string) int {
	if set[worker] {
		return len(set) - 1
	}
	return len(set)
}

// RestoreQuarantine restores a quarantine that an earlier owner recorded.
func (l *Ledger) RestoreQuarantine(worker, reason string, now time.Time) {
	r := l.worker(worker)
	r.quarantined = true
	r.reason = reason
	r.probeAt = now.Add(r.probePause)
}

// Quarantined reports whether a worker is quarantined, and why.
func (l *Ledger) Quarantined(worker string) (reason string, quarantined bool) {
	r, ok := l.workers[worker]
	if !ok {
		return "", false
	}
	return r.reason, r.quarantined
}

// MayProbe reports whether a quarantined worker may get one task to prove
// itself.
func (l *Ledger) MayProbe(worker string, now time.Time) bool {
	r, ok := l.workers[worker]
	return ok && r.quarantined && !now.Before(r.probeAt)
}

// Paused reports whether a worker takes no new tasks for a while because of
// failures that don't prove it bad.
func (l *Ledger) Paused(worker string, now time.Time) bool {
	r, ok := l.workers[worker]
	return ok && now.Before(r.pausedUntil)
}

// RecordRefusal notes a task that was refused. It reports whether the rest of its
// intent is to be refused too.
func (l *Ledger) RecordRefusal(intent string) (whole bool) {
	r := l.intent(intent)
	r.refused++
	return r.refused >= refusedTasks && len(r.goodWorkers) == 0
}

// Forget drops what is known of an intent.
func (l *Ledger) Forget(intent string) { delete(l.intents, intent) }
