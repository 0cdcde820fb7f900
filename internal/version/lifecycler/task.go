// Package lifecycler implements the life cycle of a task as pure functions,
// which return the next state after a cancellation, an eviction, a move or the
// report of a worker.
package lifecycler

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// FirstRun is the number of a task's first run.
const FirstRun = 1

// A Task is the state of one task. It is an immutable value: its slices are
// replaced, never modified.
type Task struct {
	ID       string
	Intent   string
	Team     string
	Class    string
	Kind     kumquatv1.TaskKind
	Declared placer.Resources
	Spread   bool
	// DataCentres lists the data centres in which the task may run; empty means
	// all.
	DataCentres []string
	Submitted   time.Time
	Deadline    time.Time
	ExpectedRun time.Duration // expected time of one run

	State kumquatv1.TaskState
	// Run is the number of the current run, or of the next one if the task is not
	// assigned.
	Run int32
	// Worker is the worker of the current run, or of the last one.
	Worker string
	// Started is true once the worker has confirmed that it started the run.
	Started    bool
	Checkpoint string
	// Purpose is the reason for which the run is being stopped, and decides about
	// the next state. A moved task keeps a purpose, to move or to cancel, until the
	// target shard has confirmed the move.
	Purpose kumquatv1.StopPurpose
	// TargetShard is the shard that a moved task is handed over to.
	TargetShard string
	// Reason is the reason for the final state, or of the last failure.
	Reason string
	// Result is the result of a finished task.
	Result []byte
	// FailedWorkers lists the workers on which the task has failed.
	FailedWorkers []string
	EndedAt       time.Time
}

// Assigned reports whether the task is bound to a worker and may be running
// there.
func (t Task) Assigned() bool {
	return t.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED || t.State == kumquatv1.TaskState_TASK_STATE_STOPPING
}

// Ended reports whether the task will not run again in this shard.
func (t Task) Ended() bool {
	switch t.State {
	case kumquatv1.TaskState_TASK_STATE_FINISHED, kumquatv1.TaskState_TASK_STATE_CANCELLED,
		kumquatv1.TaskState_TASK_STATE_REFUSED, kumquatv1.TaskState_TASK_STATE_MOVED:
		return true
	}
	return false
}

// IsMoveUnconfirmed reports whether the task was moved to a shard that has not
// confirmed it yet.
func (t Task) IsMoveUnconfirmed() bool {
	return t.State == kumquatv1.TaskState_TASK_STATE_MOVED && t.Purpose != kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
}

// MayRunIn reports whether the task may run in a data centre.
func (t Task) MayRunIn(dataCentre string) bool {
	return len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dataCentre)
}

// SameProgress reports whether two states of one task agree in the fields that
// change during its life. Result is not compared, as it changes only together
// with State.
func (t Task) SameProgress(other Task) bool {
	return t.State == other.State && t.Run == other.Run && t.Worker == other.Worker &&
		t.Started == other.Started && t.Checkpoint == other.Checkpoint && t.Purpose == other.Purpose &&
		t.TargetShard == other.TargetShard && t.Reason == other.Reason &&
		slices.Equal(t.FailedWorkers, other.FailedWorkers) && t.EndedAt.Equal(other.EndedAt)
}

// millis returns a time in Unix milliseconds, or 0 for the zero time.
func millis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromMillis is the inverse of millis.
func fromMillis(unix int64) time.Time {
	if unix == 0 {
		return time.Time{}
	}
	return time.UnixMilli(unix)
}
