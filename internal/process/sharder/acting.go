package sharder

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// startsPerSecond and startsBurst limit the rate of starts in a shard.
	startsPerSecond = 200
	startsBurst     = 200
	// commandBackoff is the delay before a failed command about a task is
	// repeated.
	commandBackoff = 500 * time.Millisecond
	// maxStartAttempts is the number of starts that a reachable worker may
	// leave unanswered before the task is placed elsewhere.
	maxStartAttempts = 5
	// roomTimeout bounds how long an assigned task waits for room at its
	// worker.
	roomTimeout = 5 * time.Second
	// unknownThrottle marks a throttle that is being lowered. Until the worker
	// has answered, the processors that it may still withhold don't count as
	// free.
	unknownThrottle = -1
)

// sendCommands sends the commands that the durable state of the tasks asks for.
func (s *Sharder) sendCommands(now time.Time) {
	for _, w := range s.workers {
		if w.agent == nil {
			continue
		}
		if !w.reachable() {
			s.unassignUnsent(w)
			continue
		}
		s.stopOrphans(w)
		for _, e := range byRank(s.table.byWorker[w.name]) {
			if w.commands >= commandsPerWorker {
				break
			}
			if !e.busy {
				s.sendNextCommand(w, e, now)
			}
		}
	}
}

// sendNextCommand sends the next command about one task, if one is due.
func (s *Sharder) sendNextCommand(w *worker, e *entry, now time.Time) {
	cancelled := e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING
	switch {
	case (cancelled || e.removal != nil) && !e.sent:
		s.endUnsent(e, now)
	case cancelled:
		if e.isDurable() {
			s.advanceRemoval(w, e, now)
		}
	case e.removal != nil:
		s.advanceRemoval(w, e, now)
	case !e.task.Started:
		s.start(w, e, now)
	case !now.Before(e.notBefore):
		s.setThrottle(w, e)
	}
}

// unassignUnsent takes back the assignments to an unreachable worker whose
// start was never sent.
func (s *Sharder) unassignUnsent(w *worker) {
	for _, e := range sorted(s.table.byWorker[w.name]) {
		if !e.sent && !e.busy && e.task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED && w.failures > 0 {
			s.table.set(e, e.task.Unassign())
		}
	}
}

// endUnsent ends an assignment whose start was never sent, because the task is
// cancelled or leaves its worker.
func (s *Sharder) endUnsent(e *entry, now time.Time) {
	target := ""
	if e.removal != nil {
		target = e.removal.target
	}
	cancelled := e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING
	next := e.task.Unassign()
	switch {
	case cancelled:
		next = next.Cancel(now)
		s.recordTask(EventTaskEnded, e, next.Reason)
	case target != "":
		next = next.Move(target, now)
	}
	s.table.set(e, next)
}

// start sends the start of a task to its worker. It waits until the assignment
// is durable, so that a later owner knows of the run.
func (s *Sharder) start(w *worker, e *entry, now time.Time) {
	lease := s.usableLease(now)
	if !e.isDurable() || lease == 0 || !s.mayStart(now) || now.Before(e.notBefore) {
		return
	}
	if !s.hasRoomToStart(w, e, now) {
		s.unassignIfOverdue(e, now)
		return
	}
	if !s.startLimiter.AllowN(now, 1) {
		return
	}
	command := commander.Start{
		ID:         runID(e),
		Fence:      s.fence(),
		Lease:      lease,
		Resources:  commander.Resources(e.task.Declared),
		Class:      e.task.Class,
		Team:       e.task.Team,
		Checkpoint: e.task.Checkpoint,
		Work:       e.task.ExpectedRun,
	}
	agent := w.agent
	s.command(w, e, func(ctx context.Context) error {
		if !s.beginStart(e, lease) {
			return errs.ErrNotOwner
		}
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		return agent.Start(ctx, command)
	}, func(now time.Time, err error) {
		s.applyStart(w, e, command.ID, lease, now, err)
	})
}

// unassignIfOverdue takes back an assignment if its worker has had no room for
// the task for roomTimeout.
func (s *Sharder) unassignIfOverdue(e *entry, now time.Time) {
	if e.roomBy.IsZero() {
		e.roomBy = now.Add(roomTimeout)
	}
	if now.After(e.roomBy) && !e.sent {
		s.table.set(e, e.task.Unassign())
	}
}

// beginStart checks once more, on this daemon's own clock, that the start is
// allowed, and marks the start as sent, since from here on it may reach the
// worker.
func (s *Sharder) beginStart(e *entry, lease time.Duration) bool {
	now := s.options.Now()
	if !s.mayStart(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED || e.removal != nil {
		return false
	}
	e.sent = true
	e.leaseUntil = later(e.leaseUntil, lapseTime(now, lease))
	return true
}

// applyStart applies the outcome of a start.
func (s *Sharder) applyStart(w *worker, e *entry, id commander.RunID, lease time.Duration, now time.Time, err error) {
	if !e.task.Assigned() || e.task.Run != id.Run {
		return
	}
	if err != nil {
		e.notBefore = now.Add(commandBackoff)
		if e.sent {
			e.attempts++
			e.leaseUntil = later(e.leaseUntil, lapseTime(now, lease))
			w.requestReport()
		}
		return
	}
	e.runningSince = now
	s.table.set(e, e.task.MarkStarted())
	s.recordTask(EventTaskStarted, e, "")
}

// command sends a command about one task, which is busy until the command is
// over. It reports whether the pool had a free slot.
func (s *Sharder) command(w *worker, e *entry, send func(ctx context.Context) error, done func(now time.Time, err error)) bool {
	s.table.begin(e)
	w.commands++
	ok := s.call(w, send, func(now time.Time, err error) {
		w.commands--
		s.table.end(e)
		done(now, err)
	})
	if !ok {
		w.commands--
		s.table.end(e)
	}
	return ok
}

// setThrottle has the worker withhold the wanted percentage of a task's
// processors, which is the larger of serviceThrottle and roomThrottle. It
// reports whether the command was sent.
func (s *Sharder) setThrottle(w *worker, e *entry) bool {
	percent := max(e.serviceThrottle, e.roomThrottle)
	if e.busy || e.throttle == percent || !e.task.Started {
		return false
	}
	if percent < e.throttle {
		e.throttle = unknownThrottle
	}
	agent, id := w.agent, runID(e)
	return s.command(w, e, func(ctx context.Context) error {
		return agent.Throttle(ctx, s.fence(), id, percent)
	}, func(now time.Time, err error) {
		if e.task.Run != id.Run || !e.task.Assigned() {
			return
		}
		if err != nil {
			e.notBefore = now.Add(commandBackoff)
			w.requestReport()
			return
		}
		e.throttle = percent
		if percent == 0 {
			e.unthrottledAt = now
		}
		s.record(EventThrottled, recorder.Fields{"task": id.Task, "worker": w.name, "percent": itoa(int64(percent))})
	})
}
