package sharder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// advanceRemoval takes the next step in removing a task from its worker: a
// checkpoint, unless the task is cancelled, then a stop, then a report, which
// shows how the run ended. Each step may be repeated by a later owner.
func (s *Sharder) advanceRemoval(w *worker, e *entry, now time.Time) {
	if e.removal == nil {
		e.removal = &removal{}
	}
	if e.removal.stopped {
		w.requestReport()
		return
	}
	if now.Before(e.notBefore) {
		return
	}
	if e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING || now.After(e.removal.checkpointBy) {
		s.stop(w, e)
		return
	}
	s.checkpoint(w, e)
}

// checkpoint saves a task's progress before it is stopped.
func (s *Sharder) checkpoint(w *worker, e *entry) {
	agent, id, deadline := w.agent, runID(e), e.removal.checkpointBy
	s.command(w, e, func(ctx context.Context) error {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		name, err := agent.Checkpoint(ctx, s.fence(), id)
		if err == nil {
			s.saveCheckpointName(e, id, name)
		}
		return checkpointError(err)
	}, func(now time.Time, err error) {
		if e.removal == nil || !e.task.Assigned() {
			return
		}
		if e.checkpointedAt.IsZero() {
			e.notBefore = now.Add(commandBackoff)
			s.recordTask(EventCheckpointFailed, e, fmt.Sprint(err))
			return
		}
		e.removal.checkpointBy = time.Time{}
	})
}

// checkpointError wraps the error of a failed checkpoint, so that the worker
// doesn't count as unreachable: a checkpoint may fail or take too long at a
// worker that answers.
func checkpointError(err error) error {
	if err == nil || errors.Is(err, errs.ErrFenced) {
		return err
	}
	return &inconclusiveError{cause: err}
}

// saveCheckpointName sets the checkpoint from which the task resumes, if the
// run is still the current one.
func (s *Sharder) saveCheckpointName(e *entry, id commander.RunID, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.task.Run != id.Run || !e.task.Assigned() || name == "" {
		return
	}
	e.checkpointedAt = s.options.Now()
	next := e.task
	next.Checkpoint = name
	s.table.set(e, next)
}

// stop stops a task's current run. If the worker doesn't know the run, the stop
// keeps a late start of it from taking effect.
func (s *Sharder) stop(w *worker, e *entry) {
	agent, id := w.agent, runID(e)
	s.command(w, e, func(ctx context.Context) error {
		return agent.Stop(ctx, s.fence(), id)
	}, func(now time.Time, err error) {
		if e.removal == nil || e.task.Run != id.Run {
			return
		}
		if err != nil && !errors.Is(err, errs.ErrNotFound) {
			e.notBefore = now.Add(commandBackoff)
			return
		}
		e.removal.stopped = true
		w.requestReport()
	})
}

// stopOrphans stops runs that no task needs. What they use counts against the
// worker's capacity until a report no longer shows them.
func (s *Sharder) stopOrphans(w *worker) {
	for id, orphan := range w.orphans {
		if orphan.stopping || w.commands >= commandsPerWorker {
			continue
		}
		agent := w.agent
		orphan.stopping = s.call(w, func(ctx context.Context) error {
			return agent.Stop(ctx, s.fence(), id)
		}, func(_ time.Time, _ error) {
			w.commands--
			w.requestReport()
		})
		if orphan.stopping {
			w.commands++
		}
	}
}

// forgettable returns the ended runs that the worker may forget, because their
// outcome is durable.
func (s *Sharder) forgettable(w *worker, now time.Time) []commander.RunID {
	var ids []commander.RunID
	for id, after := range w.forgettable {
		e := s.table.entries[id.Task]
		if now.After(after) && (e == nil || e.isDurable()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// evict decides that a task leaves its worker. If target is not empty, the task
// moves to that data centre.
func (s *Sharder) evict(e *entry, target, reason string, now time.Time) {
	if e.removal != nil || e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
		return
	}
	e.removal = &removal{target: target}
	if e.task.Started {
		e.removal.checkpointBy = now.Add(checkpointTimeout)
	}
	e.checkpointedAt = time.Time{}
	s.recordTask(EventEvicting, e, reason)
}
