package lifecycler

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// MaxFailedWorkers is the number of workers on which a task has to fail before
// it is refused. Workers that turned out to be faulty don't count.
const MaxFailedWorkers = 3

// Assign binds a pending task to a worker.
func (t Task) Assign(worker string) Task {
	t.State = kumquatv1.TaskState_TASK_STATE_ASSIGNED
	t.Worker = worker
	t.Started = false
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.TargetShard = ""
	return t
}

// Unassign undoes an assignment for which certainly no start request was sent.
// The next assignment uses the same run number.
func (t Task) Unassign() Task {
	t.State = kumquatv1.TaskState_TASK_STATE_PENDING
	t.Worker = ""
	t.Started = false
	return t
}

// MarkStarted records that the worker has confirmed the start of the run.
func (t Task) MarkStarted() Task {
	t.Started = true
	return t
}

// Cancel requests the cancellation of the task. A pending task is cancelled at
// once, and a task that may be running is stopped first. The cancellation of a
// moved task is passed on to the target shard. A task that has ended otherwise
// stays as it is.
func (t Task) Cancel(now time.Time) Task {
	switch t.State {
	case kumquatv1.TaskState_TASK_STATE_PENDING:
		return t.end(kumquatv1.TaskState_TASK_STATE_CANCELLED, "cancelled before it started", now)
	case kumquatv1.TaskState_TASK_STATE_ASSIGNED, kumquatv1.TaskState_TASK_STATE_STOPPING:
		t.State = kumquatv1.TaskState_TASK_STATE_STOPPING
		t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
		t.TargetShard = ""
	case kumquatv1.TaskState_TASK_STATE_MOVED:
		t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	}
	return t
}

// Refuse ends a pending task that can never run.
func (t Task) Refuse(reason string, now time.Time) Task {
	return t.end(kumquatv1.TaskState_TASK_STATE_REFUSED, reason, now)
}

// Move hands a pending task over to another shard and increments its run
// number. By that number a shard distinguishes a task that returns to it from a
// repeated request for an earlier move.
func (t Task) Move(target string, now time.Time) Task {
	t = t.end(kumquatv1.TaskState_TASK_STATE_MOVED, "moved", now)
	t.Run++
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_MOVE
	t.TargetShard = target
	t.Worker = ""
	t.Started = false
	return t
}

// ConfirmMove records that the target shard has stored the task durably.
func (t Task) ConfirmMove() Task {
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	return t
}

// Adopt returns the state with which a shard takes over a task that was moved
// to it: pending, or cancelled if the task was cancelled during the move.
func (t Task) Adopt(now time.Time) Task {
	isCancelled := t.Purpose == kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	t.State = kumquatv1.TaskState_TASK_STATE_PENDING
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.TargetShard, t.Worker, t.Reason = "", "", ""
	t.Started = false
	t.EndedAt = time.Time{}
	if isCancelled {
		return t.Cancel(now)
	}
	return t
}

// EndLostRun returns the next state after a run that has certainly ended
// without a report: the task resumes from its last known checkpoint.
func (t Task) EndLostRun(now time.Time) Task {
	return t.EndRun(commander.Run{State: commander.RunLapsed, Checkpoint: t.Checkpoint}, "", now)
}

// EndRun returns the next state after the end of the current run, as reported
// by its worker. If target is not empty and the task has to run again, it is
// moved to that shard.
func (t Task) EndRun(run commander.Run, target string, now time.Time) Task {
	if run.Checkpoint != "" {
		t.Checkpoint = run.Checkpoint
	}
	keepsRunning := t.Kind == kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING
	isCancelled := t.Purpose == kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	if run.State == commander.RunFinished && !keepsRunning {
		t.Result = run.Result
		return t.end(kumquatv1.TaskState_TASK_STATE_FINISHED, "", now)
	}
	if isCancelled {
		return t.end(kumquatv1.TaskState_TASK_STATE_CANCELLED, "cancelled", now)
	}
	if run.State == commander.RunFailed {
		t = t.recordFailedWorker(run.Reason)
		if !keepsRunning && len(t.FailedWorkers) >= MaxFailedWorkers {
			reason := fmt.Sprintf("failed on %d workers, last failure: %s", len(t.FailedWorkers), run.Reason)
			return t.end(kumquatv1.TaskState_TASK_STATE_REFUSED, reason, now)
		}
	}
	if target != "" {
		return t.Move(target, now)
	}
	return t.awaitNextRun()
}

// recordFailedWorker adds the current worker to those on which the task has
// failed.
func (t Task) recordFailedWorker(reason string) Task {
	t.Reason = reason
	if !slices.Contains(t.FailedWorkers, t.Worker) {
		t.FailedWorkers = append(slices.Clip(t.FailedWorkers), t.Worker)
	}
	return t
}

// DropFailedWorker removes a worker that turned out to be faulty from those on
// which the task has failed, so that it doesn't count towards MaxFailedWorkers.
func (t Task) DropFailedWorker(worker string) Task {
	kept := slices.DeleteFunc(slices.Clone(t.FailedWorkers), func(name string) bool { return name == worker })
	t.FailedWorkers = kept
	return t
}

// awaitNextRun makes the task pending again, with the next run number.
func (t Task) awaitNextRun() Task {
	t.State = kumquatv1.TaskState_TASK_STATE_PENDING
	t.Run++
	t.Worker = ""
	t.Started = false
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.TargetShard = ""
	return t
}

// end puts the task into a final state.
func (t Task) end(state kumquatv1.TaskState, reason string, now time.Time) Task {
	t.State = state
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.Reason = reason
	t.EndedAt = now
	return t
}
