package lifecycler

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// MaxFailedWorkers is the number of good workers on which a task has to fail
// before it is refused.
const MaxFailedWorkers = 3

// Assign binds a waiting task to a worker.
func (t Task) Assign(worker string) Task {
	t.State = kumquatv1.TaskState_TASK_STATE_ASSIGNED
	t.Worker = worker
	t.Started = false
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.TargetShard = ""
	return t
}

// Unassign takes back an assignment whose start was provably never sent. The
// run number is used again.
func (t Task) Unassign() Task {
	t.State = kumquatv1.TaskState_TASK_STATE_PENDING
	t.Worker = ""
	t.Started = false
	return t
}

// MarkStarted notes that the worker has answered the start.
func (t Task) MarkStarted() Task {
	t.Started = true
	return t
}

// Cancel asks for the end of the task. A task that may be running is stopped
// first; the cancellation of a moved task is carried to its new shard.
func (t Task) Cancel(now time.Time) Task {
	switch t.State {
	case kumquatv1.TaskState_TASK_STATE_PENDING:
		return t.end(kumquatv1.TaskState_TASK_STATE_CANCELLED, "cancelled before its start", now)
	case kumquatv1.TaskState_TASK_STATE_ASSIGNED, kumquatv1.TaskState_TASK_STATE_STOPPING:
		t.State = kumquatv1.TaskState_TASK_STATE_STOPPING
		t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
		t.TargetShard = ""
	case kumquatv1.TaskState_TASK_STATE_MOVED:
		t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	}
	return t
}

// Refuse ends a waiting task that can never run.
func (t Task) Refuse(reason string, now time.Time) Task {
	return t.end(kumquatv1.TaskState_TASK_STATE_REFUSED, reason, now)
}

// Move hands a waiting task to another shard, as its next run: a shard tells a
// task that returns to it from a repeated move by the run.
func (t Task) Move(target string, now time.Time) Task {
	t = t.end(kumquatv1.TaskState_TASK_STATE_MOVED, "moved", now)
	t.Run++
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_MOVE
	t.TargetShard = target
	t.Worker = ""
	t.Started = false
	return t
}

// ConfirmMove notes that the target shard holds the task durably.
func (t Task) ConfirmMove() Task {
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	return t
}

// Adopt returns the state in which a shard takes in a task moved to it.
func (t Task) Adopt(now time.Time) Task {
	cancelled := t.Purpose == kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	t.State = kumquatv1.TaskState_TASK_STATE_PENDING
	t.Purpose = kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
	t.TargetShard, t.Worker, t.Reason = "", "", ""
	t.Started = false
	t.EndedAt = time.Time{}
	if cancelled {
		return t.Cancel(now)
	}
	return t
}

// EndLostRun returns what follows when the run provably doesn't run any more and
// left no report: the task resumes from its last known checkpoint.
func (t Task) EndLostRun(now time.Time) Task {
	return t.EndRun(commander.Run{State: commander.RunLapsed, Checkpoint: t.Checkpoint}, "", now)
}

// EndRun returns what follows from the end of the present run as its worker
// reports it. A stop for a move goes to the target shard, which may be empty
// if the task stays.
func (t Task) EndRun(run commander.Run, target string, now time.Time) Task {
	if run.Checkpoint != "" {
		t.Checkpoint = run.Checkpoint
	}
	keep := t.Kind == kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING
	cancelled := t.Purpose == kumquatv1.StopPurpose_STOP_PURPOSE_CANCEL
	if run.State == commander.RunFinished && !keep {
		t.Result = run.Result
		return t.end(kumquatv1.TaskState_TASK_STATE_FINISHED, "", now)
	}
	if cancelled {
		return t.end(kumquatv1.TaskState_TASK_STATE_CANCELLED, "cancelled", now)
	}
	if run.State == commander.RunFailed {
		t = t.blame(run.Reason)
		if !keep && len(t.FailedWorkers) >= MaxFailedWorkers {
			reason := fmt.Sprintf("failed on %d workers, at last: %s", len(t.FailedWorkers), run.Reason)
			return t.end(kumquatv1.TaskState_TASK_STATE_REFUSED, reason, now)
		}
	}
	if target != "" {
		return t.Move(target, now)
	}
	return t.nextRun()
}

// blame adds the present worker to those on which the task failed.
func (t Task) blame(reason string) Task {
	t.Reason = reason
	if !slices.Contains(t.FailedWorkers, t.Worker) {
		t.FailedWorkers = append(slices.Clip(t.FailedWorkers), t.Worker)
	}
	return t
}

// DropFailedWorker drops a worker that turned out bad from those that speak against the
// task.
func (t Task) DropFailedWorker(worker string) Task {
	kept := slices.DeleteFunc(slices.Clone(t.FailedWorkers), func(name string) bool { return name == worker })
	t.FailedWorkers = kept
	return t
}

// nextRun makes the task wait for its next run.
func (t Task) nextRun() Task {
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
