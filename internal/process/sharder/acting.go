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
	// startsPerSecond and startsBurst bound the starts of a shard.
	startsPerSecond = 200
	startsBurst     = 200
	// startRetry is the pause before a start that was not answered is repeated.
	startRetry = 500 * time.Millisecond
	// maxStartAttempts is the number of starts that a reachable worker may fail
	// to answer before the task is placed elsewhere.
	maxStartAttempts = 5
	// roomTimeout bounds how long an assigned task waits for room at its worker.
	roomTimeout = 5 * time.Second
	// unknownThrottle stands for a throttle that is being lowered: what the
	// worker withholds in the meantime is not counted on.
	unknownThrottle = -1
)

// act commands what the durable state asks for.
func (s *Sharder) act(now time.Time) {
	for _, w := range s.workers {
		if w.agent == nil {
			continue
		}
		if !w.reachable() {
			s.unassignUnsent(w)
			continue
		}
		s.stopStrays(w)
		for _, e := range byRank(s.table.byWorker[w.name]) {
			if w.commands >= commandsPerWorker {
				break
			}
			if !e.busy {
				s.actOn(w, e, now)
			}
		}
	}
}

// actOn sends the next command about one task, if there is one.
func (s *Sharder) actOn(w *worker, e *entry, now time.Time) {
	cancelled := e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING
	switch {
	case (cancelled || e.removal != nil) && !e.sent:
		s.endUnsent(e, now)
	case cancelled:
		if e.settled() {
			s.takeOff(w, e, now)
		}
	case e.removal != nil:
		s.takeOff(w, e, now)
	case !e.task.Started:
		s.start(w, e, now)
	case !now.Before(e.notBefore):
		s.setThrottle(w, e)
	}
}

// unassignUnsent takes back assignments to a worker that doesn't answer whose
// start was never sent.
func (s *Sharder) unassignUnsent(w *worker) {
	for _, e := range sorted(s.table.byWorker[w.name]) {
		if !e.sent && !e.busy && e.task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED && w.failures > 0 {
			s.table.set(e, e.task.Unassign())
		}
	}
}

// endUnsent ends an assignment whose start was never sent.
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

// start starts a task at its worker. It is durable that the run belongs there.
func (s *Sharder) start(w *worker, e *entry, now time.Time) {
	lease := s.usableLease(now)
	if !e.settled() || lease == 0 || !s.mayStart(now) || now.Before(e.notBefore) {
		return
	}
	if !s.roomToStart(w, e, now) {
		s.giveUpWaiting(e, now)
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

// giveUpWaiting takes back an assignment for which no room is made in time.
func (s *Sharder) giveUpWaiting(e *entry, now time.Time) {
	if e.roomBy.IsZero() {
		e.roomBy = now.Add(roomTimeout)
	}
	if now.After(e.roomBy) && !e.sent {
		s.table.set(e, e.task.Unassign())
	}
}

// beginStart checks the authority to start once more, on this daemon's own
// clock, and notes that the start may reach the worker.
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
		e.notBefore = now.Add(startRetry)
		if e.sent {
			e.attempts++
			e.leaseUntil = later(e.leaseUntil, lapseTime(now, lease))
			w.wantReport()
		}
		return
	}
	e.runningSince = now
	s.table.set(e, e.task.MarkStarted())
	s.recordTask(EventTaskStarted, e, "")
}

// command runs a command about one task; the task is busy until it is over. It
// reports whether there was room for it.
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

// setThrottle has the worker withhold the percentage of a task's processors that
// is wanted. It reports whether the command was sent.
func (s *Sharder) setThrottle(w *worker, e *entry) bool {
	percent := max(e.calmed, e.yielded)
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
			e.notBefore = now.Add(startRetry)
			w.wantReport()
			return
		}
		e.throttle = percent
		if percent == 0 {
			e.liftedAt = now
		}
		s.record(EventThrottled, recorder.Fields{"task": id.Task, "worker": w.name, "percent": itoa(int64(percent))})
	})
}
