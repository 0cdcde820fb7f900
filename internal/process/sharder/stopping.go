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

// takeOff takes a task off its worker: checkpoint, unless it is cancelled,
// then stop; the report that follows tells how the run ended. Each step may be
// repeated by a later owner.
func (s *Sharder) takeOff(w *worker, e *entry, now time.Time) {
	if e.removal == nil {
		e.removal = &removal{}
	}
	if e.removal.stopped {
		w.wantReport()
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
			s.noteCheckpoint(e, id, name)
		}
		return checkpointError(err)
	}, func(now time.Time, err error) {
		if e.removal == nil || !e.task.Assigned() {
			return
		}
		if e.checkpointedAt.IsZero() {
			e.notBefore = now.Add(startRetry)
			s.recordTask(EventCheckpointFailed, e, fmt.Sprint(err))
			return
		}
		e.removal.checkpointBy = time.Time{}
	})
}

// checkpointError keeps a failed checkpoint from counting as a lost worker: it
// may fail or take too long at a worker that answers.
func checkpointError(err error) error {
	if err == nil || errors.Is(err, errs.ErrFenced) {
		return err
	}
	return &noVerdictError{cause: err}
}

// noteCheckpoint keeps the name of a checkpoint of the present run.
func (s *Sharder) noteCheckpoint(e *entry, id commander.RunID, name string) {
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

// stop stops a task's present run. A stop of a run that the worker doesn't
// know keeps a late start of it from having effect.
func (s *Sharder) stop(w *worker, e *entry) {
	agent, id := w.agent, runID(e)
	s.command(w, e, func(ctx context.Context) error {
		return agent.Stop(ctx, s.fence(), id)
	}, func(now time.Time, err error) {
		if e.removal == nil || e.task.Run != id.Run {
			return
		}
		if err != nil && !errors.Is(err, errs.ErrNotFound) {
			e.notBefore = now.Add(startRetry)
			return
		}
		e.removal.stopped = true
		w.wantReport()
	})
}

// stopStrays stops runs that no task needs. They count against the worker's
// capacity until a report no longer shows them.
func (s *Sharder) stopStrays(w *worker) {
	for id, stray := range w.strays {
		if stray.stopping || w.commands >= commandsPerWorker {
			continue
		}
		agent := w.agent
		stray.stopping = s.call(w, func(ctx context.Context) error {
			return agent.Stop(ctx, s.fence(), id)
		}, func(_ time.Time, _ error) {
			w.commands--
			w.wantReport()
		})
		if stray.stopping {
			w.commands++
		}
	}
}

// forgettable returns the ended runs whose outcome is durable, so that the worker
// may forget them.
func (s *Sharder) forgettable(w *worker, now time.Time) []commander.RunID {
	var ids []commander.RunID
	for id, after := range w.forgettable {
		e := s.table.entries[id.Task]
		if now.After(after) && (e == nil || e.settled()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove decides that a task leaves its worker, for another data centre if
// target is not empty.
func (s *Sharder) remove(e *entry, target, why string, now time.Time) {
	if e.removal != nil || e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
		return
	}
	e.removal = &removal{target: target}
	if e.task.Started {
		e.removal.checkpointBy = now.Add(checkpointTimeout)
	}
	e.checkpointedAt = time.Time{}
	s.recordTask(EventEvicting, e, why)
}
