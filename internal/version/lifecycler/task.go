// Package lifecycler holds the life of one task as pure functions: which state
// follows from a cancellation, an eviction, or what a worker reports.
package lifecycler

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// FirstRun is the number of a task's first run.
const FirstRun = 1

// A Task is the state of one task. It is an immutable value: slices in it are
// replaced and never modified.
type Task struct {
	ID       string
	Intent   string
	Team     string
	Class    string
	Kind     kumquatv1.TaskKind
	Declared placer.Resources
	Spread   bool
	// DataCentres are those the task may run in; none means all.
	DataCentres []string
	Submitted   time.Time
	Deadline    time.Time
	ExpectedRun time.Duration

	State kumquatv1.TaskState
	// Run is the number of the present run, or of the next one if none is
	// assigned.
	Run int32
	// Worker runs the present run, or ran the last one.
	Worker string
	// Started is true once the worker has answered that it started the run.
	Started    bool
	Checkpoint string
	// Purpose tells what follows when the run has stopped. A moved task keeps
	// PurposeMove until the target shard has confirmed it.
	Purpose       kumquatv1.StopPurpose
	TargetShard   string
	Reason        string
	Result        []byte
	FailedWorkers []string
	EndedAt       time.Time
}

// Assigned reports whether the task is bound to a worker and may be running
// there.
func (t Task) Assigned() bool {
	return t.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED || t.State == kumquatv1.TaskState_TASK_STATE_STOPPING
}

// Ended reports whether the task never runs again in this shard.
func (t Task) Ended() bool {
	switch t.State {
	case kumquatv1.TaskState_TASK_STATE_FINISHED, kumquatv1.TaskState_TASK_STATE_CANCELLED,
		kumquatv1.TaskState_TASK_STATE_REFUSED, kumquatv1.TaskState_TASK_STATE_MOVED:
		return true
	}
	return false
}

// IsMoveUnconfirmed reports whether the task is moved to a shard that has not
// confirmed it yet.
func (t Task) IsMoveUnconfirmed() bool {
	return t.State == kumquatv1.TaskState_TASK_STATE_MOVED && t.Purpose != kumquatv1.StopPurpose_STOP_PURPOSE_UNSPECIFIED
}

// MayRunIn reports whether the task may run in a data centre.
func (t Task) MayRunIn(dataCentre string) bool {
	return len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dataCentre)
}

// SameProgress reports whether two states of one task are equal in all that is
// recorded of changes.
func (t Task) SameProgress(other Task) bool {
	return t.State == other.State && t.Run == other.Run && t.Worker == other.Worker &&
		t.Started == other.Started && t.Checkpoint == other.Checkpoint && t.Purpose == other.Purpose &&
		t.TargetShard == other.TargetShard && t.Reason == other.Reason &&
		slices.Equal(t.FailedWorkers, other.FailedWorkers) && t.EndedAt.Equal(other.EndedAt)
}

// millis returns a time as Unix milliseconds, or 0 for the zero time.
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
