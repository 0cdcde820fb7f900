package sharder

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/blamer"
	"github.com/kumquatstack/kumquatstack/internal/version/lifecycler"
)

const (
	// minRestartBackoff and maxRestartBackoff bound the back-off delay before a
	// failed task starts again.
	minRestartBackoff = time.Second
	maxRestartBackoff = time.Minute
	// lateStartMargin is how long a worker keeps the stop of a run whose start
	// was not answered, so that a late start has no effect.
	lateStartMargin = time.Minute
	// resultTimeout bounds how long a batch task whose worker stopped answering
	// waits for the worker's report before it runs again.
	resultTimeout = 15 * time.Second
)

// applyReport compares a worker's report with the table. Entries about which a
// command was sent or answered after the report was requested are left to the
// next report.
func (s *Sharder) applyReport(w *worker, report commander.Report, since uint64, now time.Time) {
	w.hasReported = true
	w.orphans = make(map[commander.RunID]*orphan)
	seen := make(map[string]bool, len(report.Runs))
	for _, run := range report.Runs {
		e := s.table.entries[run.ID.Task]
		if e != nil && s.isCurrentRun(w, e, run.ID) {
			seen[run.ID.Task] = true
			if !e.busy && e.lastCommandSequence <= since {
				s.applyRun(e, run, now)
			}
			continue
		}
		s.applyOrphan(w, e, run, now)
	}
	for _, e := range sorted(s.table.byWorker[w.name]) {
		if !seen[e.task.ID] && e.sent && !e.busy && e.lastCommandSequence <= since {
			s.applyAbsence(e, now)
		}
	}
}

// applyEnded applies the ends of runs that a worker named in its answer to a
// renewal. Entries about which a command was sent or answered since the renewal
// was sent are left to a report.
func (s *Sharder) applyEnded(w *worker, ended []commander.Run, since uint64, now time.Time) {
	for _, run := range ended {
		e := s.table.entries[run.ID.Task]
		if e == nil || !s.isCurrentRun(w, e, run.ID) {
			continue
		}
		if e.busy || e.lastCommandSequence > since {
			w.requestReport()
			continue
		}
		s.endRun(e, run, now)
	}
}

// isCurrentRun reports whether a run is the one for which the entry's task is
// assigned to the worker.
func (s *Sharder) isCurrentRun(w *worker, e *entry, id commander.RunID) bool {
	return e.task.Assigned() && e.task.Worker == w.name && e.task.Run == id.Run
}

// applyRun applies what a worker reports of a task's current run.
func (s *Sharder) applyRun(e *entry, run commander.Run, now time.Time) {
	if run.State != commander.RunRunning {
		s.endRun(e, run, now)
		return
	}
	e.throttle = run.ThrottlePercent
	if e.runningSince.IsZero() {
		e.runningSince = now
	}
	if e.replayed {
		e.roomThrottle = run.ThrottlePercent
		s.recordTask(EventTaskAdopted, e, "")
	}
	e.sent, e.replayed = true, false
	if e.removal != nil && e.removal.stopped {
		e.removal.stopped = false
		e.notBefore = now.Add(commandBackoff)
	}
	s.table.set(e, e.task.MarkStarted())
}

// applyAbsence handles a report that lacks a task's current run. The report has
// raised the worker's fence, so no earlier owner can start the run there any
// more. If this owner's start was not answered, it is sent again.
func (s *Sharder) applyAbsence(e *entry, now time.Time) {
	unanswered := !e.replayed && !e.task.Started
	stopped := e.removal != nil && e.removal.stopped
	if unanswered && !stopped {
		if e.attempts >= maxStartAttempts && e.removal == nil {
			e.removal = &removal{}
		}
		return
	}
	s.endRun(e, commander.Run{ID: runID(e), State: commander.RunLapsed, Reason: "unknown to the worker"}, now)
}

// applyOrphan handles a run that is not the current run of a task. It is
// stopped if it is running; otherwise its result is accepted if it still can
// be, and the worker may forget it.
func (s *Sharder) applyOrphan(w *worker, e *entry, run commander.Run, now time.Time) {
	if run.State == commander.RunRunning {
		w.orphans[run.ID] = &orphan{run: run}
		s.record(EventStray, recorder.Fields{"task": run.ID.Task, "worker": w.name, "run": itoa(int64(run.ID.Run))})
		return
	}
	if e != nil && run.State == commander.RunFinished && run.ID.Run < e.task.Run && mayAcceptResult(e) {
		s.finish(e, e.task.EndRun(run, "", now), run, now)
	}
	w.allowForgetting(run.ID, now)
}

// mayAcceptResult reports whether the result of an earlier run can be accepted
// because the current one has provably not been sent to a worker.
func mayAcceptResult(e *entry) bool {
	if e.task.State == kumquatv1.TaskState_TASK_STATE_PENDING {
		return true
	}
	return e.task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED && !e.sent && !e.busy
}

// allowForgetting lets the worker forget an ended run after the given time. It
// leaves an earlier time for the same run unchanged.
func (w *worker) allowForgetting(id commander.RunID, after time.Time) {
	if _, ok := w.forgettable[id]; !ok {
		w.forgettable[id] = after
	}
}

// endRun applies the end of a task's current run.
func (s *Sharder) endRun(e *entry, run commander.Run, now time.Time) {
	target := ""
	if e.removal != nil {
		target = e.removal.target
	}
	w := s.ensureWorker(e.task.Worker)
	forgetAfter := now
	if !e.task.Started {
		forgetAfter = now.Add(lateStartMargin)
	}
	w.allowForgetting(run.ID, forgetAfter)
	w.probing = false
	workerAtFault := s.recordOutcome(w, e, run, now)
	next := e.task.EndRun(run, target, now)
	if workerAtFault {
		next = next.DropFailedWorker(w.name)
		if next.State == kumquatv1.TaskState_TASK_STATE_REFUSED {
			next = e.task.EndLostRun(now)
		}
	}
	s.finish(e, next, run, now)
}

// finish sets a task's state after the end of a run and records an event.
func (s *Sharder) finish(e *entry, next lifecycler.Task, run commander.Run, now time.Time) {
	detail := fmt.Sprintf("%s %s", run.State, run.Reason)
	if next.State == kumquatv1.TaskState_TASK_STATE_PENDING {
		s.recordTask(EventTaskResumes, e, detail)
	} else {
		s.recordTask(EventTaskEnded, e, detail)
	}
	s.table.set(e, next)
	if run.State == commander.RunFailed && next.State == kumquatv1.TaskState_TASK_STATE_PENDING {
		e.notBefore = now.Add(min(minRestartBackoff<<min(e.failures, 10), maxRestartBackoff))
		e.failures++
	}
	if next.State == kumquatv1.TaskState_TASK_STATE_REFUSED {
		s.recordRefusal(e, now)
	}
}

// recordOutcome records in the ledger how a run ended. It reports whether the
// worker is at fault for a failure.
func (s *Sharder) recordOutcome(w *worker, e *entry, run commander.Run, now time.Time) (workerAtFault bool) {
	switch run.State {
	case commander.RunFinished:
		s.recordSuccess(w, e, now)
	case commander.RunFailed:
		if s.ledger.RecordFailure(w.name, e.task.ID, e.task.Intent, now) {
			s.quarantine(w.name)
		}
		_, workerAtFault = s.ledger.Quarantined(w.name)
	}
	return workerAtFault
}

// recordHealthyRuns records runs that have gone on for blamer.HealthyRunTime as
// successes of their worker.
func (s *Sharder) recordHealthyRuns(w *worker, ids []commander.RunID, now time.Time) {
	for _, id := range ids {
		e, ok := s.table.entries[id.Task]
		if !ok || e.countedAsSuccess || e.task.Run != id.Run || e.runningSince.IsZero() || now.Sub(e.runningSince) < blamer.HealthyRunTime {
			continue
		}
		e.countedAsSuccess = true
		s.recordSuccess(w, e, now)
	}
}

// recordSuccess records in the ledger that a run went well.
func (s *Sharder) recordSuccess(w *worker, e *entry, now time.Time) {
	released, quarantined := s.ledger.RecordSuccess(w.name, e.task.Intent, now)
	if released {
		s.setQuarantine(w.name, "", false)
	}
	for _, name := range quarantined {
		s.quarantine(name)
	}
}

// quarantine handles a worker that the ledger has quarantined.
func (s *Sharder) quarantine(name string) {
	reason, _ := s.ledger.Quarantined(name)
	s.setQuarantine(name, reason, true)
	s.dropFailedWorker(name)
}

// setQuarantine records the start or the end of a worker's quarantine.
func (s *Sharder) setQuarantine(name, reason string, active bool) {
	quarantine := &kumquatv1.Quarantine{Worker: name, Active: active, Reason: reason}
	s.quarantines[name] = quarantine
	if !active {
		delete(s.quarantines, name)
	}
	s.flusher.extras = append(s.flusher.extras, &kumquatv1.Record{
		Change: &kumquatv1.Record_Quarantine{Quarantine: quarantine},
	})
	number := EventWorkerReleased
	if active {
		number = EventWorkerQuarantined
	}
	s.record(number, recorder.Fields{"worker": name, "reason": reason})
}

// dropFailedWorker removes a quarantined worker from the failed workers of
// pending tasks, since the failures there were the worker's fault.
func (s *Sharder) dropFailedWorker(name string) {
	for _, e := range sorted(s.table.pending) {
		s.table.set(e, e.task.DropFailedWorker(name))
	}
}

// recordRefusal records the refusal of a task in the ledger. If the ledger then
// holds the whole intent to be faulty, it refuses the intent's other pending
// tasks too.
func (s *Sharder) recordRefusal(e *entry, now time.Time) {
	if !s.ledger.RecordRefusal(e.task.Intent) {
		return
	}
	reason := "other tasks of the intent " + e.task.Reason
	for _, other := range sorted(s.table.byIntent[e.task.Intent]) {
		if other.task.State == kumquatv1.TaskState_TASK_STATE_PENDING {
			s.table.set(other, other.task.Refuse(reason, now))
			s.recordTask(EventTaskEnded, other, reason)
		}
	}
}

// resumeLapsed resumes tasks whose worker doesn't answer and whose lease has
// provably lapsed. A start that was not answered may still reach the worker, so
// such a task waits for the worker's report, or until the platform no longer
// lists the worker.
func (s *Sharder) resumeLapsed(now time.Time) {
	for name, w := range s.workers {
		if w.renewing || (w.failures == 0 && w.agent != nil) {
			continue
		}
		for _, e := range sorted(s.table.byWorker[name]) {
			if !e.sent || e.busy || !now.After(e.leaseUntil) {
				continue
			}
			if e.task.Started || (!w.isListed && s.hostListRead) {
				s.recordTask(EventTaskLapsed, e, "")
				s.endRun(e, commander.Run{ID: runID(e), State: commander.RunLapsed, Reason: "worker lost"}, now)
				e.lostWorker, e.lostSince = name, now
			}
		}
	}
}

// mayHaveFinished reports whether a batch task waits for the result of its last
// run, which may have finished at a worker that no longer answers. The worker
// keeps the result and is asked for it once it answers again.
func (s *Sharder) mayHaveFinished(e *entry, now time.Time) bool {
	w, ok := s.workers[e.lostWorker]
	if ok && w.isListed && e.rank() == batchRank && now.Sub(e.lostSince) < resultTimeout && !w.reportedAt.After(e.lostSince) {
		return true
	}
	e.lostWorker = ""
	return false
}
