package lifecycler

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// TaskID returns the id of the n-th task of an intent.
func TaskID(intent string, n int32) string { return fmt.Sprintf("%s/%d", intent, n) }

// FromIntent returns the n-th task of an intent, which is pending before its
// first run.
func FromIntent(intent *kumquatv1.IntentRecord, n int32) Task {
	return Task{
		ID:          TaskID(intent.GetId(), n),
		Intent:      intent.GetId(),
		Team:        intent.GetTeam(),
		Class:       intent.GetClass(),
		Kind:        intent.GetKind(),
		Declared:    fromResources(intent.GetResources()),
		Spread:      intent.GetSpread(),
		DataCentres: intent.GetDataCentres(),
		Submitted:   fromMillis(intent.GetConfirmedUnixMillis()),
		Deadline:    fromMillis(intent.GetDeadlineUnixMillis()),
		ExpectedRun: time.Duration(intent.GetExpectedRunMillis()) * time.Millisecond,
		State:       kumquatv1.TaskState_TASK_STATE_PENDING,
		Run:         FirstRun,
	}
}

// FromProto decodes a task with all its fields.
func FromProto(p *kumquatv1.Task) Task {
	return Task{
		ID:            p.GetId(),
		Intent:        p.GetIntent(),
		Team:          p.GetTeam(),
		Class:         p.GetClass(),
		Kind:          p.GetKind(),
		Declared:      fromResources(p.GetDeclared()),
		Spread:        p.GetSpread(),
		DataCentres:   p.GetDataCentres(),
		Submitted:     fromMillis(p.GetSubmittedUnixMillis()),
		Deadline:      fromMillis(p.GetDeadlineUnixMillis()),
		ExpectedRun:   time.Duration(p.GetExpectedRunMillis()) * time.Millisecond,
		State:         p.GetState(),
		Run:           max(p.GetRun(), FirstRun),
		Worker:        p.GetWorker(),
		Started:       p.GetStarted(),
		Checkpoint:    p.GetCheckpoint(),
		Purpose:       kumquatv1.StopPurpose(p.GetStopPurpose()),
		TargetShard:   p.GetTargetShard(),
		Reason:        p.GetReason(),
		Result:        p.GetResult(),
		FailedWorkers: p.GetFailedWorkers(),
		EndedAt:       fromMillis(p.GetEndedUnixMillis()),
	}
}

// Proto encodes all fields of the task, and the name of the shard that holds it.
func (t Task) Proto(shard string) *kumquatv1.Task {
	return &kumquatv1.Task{
		Id:                  t.ID,
		Intent:              t.Intent,
		Team:                t.Team,
		Class:               t.Class,
		Kind:                t.Kind,
		Declared:            toResources(t.Declared),
		Spread:              t.Spread,
		DataCentres:         t.DataCentres,
		SubmittedUnixMillis: millis(t.Submitted),
		DeadlineUnixMillis:  millis(t.Deadline),
		ExpectedRunMillis:   t.ExpectedRun.Milliseconds(),
		State:               t.State,
		Run:                 t.Run,
		Worker:              t.Worker,
		Started:             t.Started,
		Checkpoint:          t.Checkpoint,
		StopPurpose:         int32(t.Purpose),
		TargetShard:         t.TargetShard,
		Reason:              t.Reason,
		Result:              t.Result,
		FailedWorkers:       t.FailedWorkers,
		EndedUnixMillis:     millis(t.EndedAt),
		Shard:               shard,
	}
}

// Progress encodes the fields of the task that change during its life.
func (t Task) Progress() *kumquatv1.TaskProgress {
	return &kumquatv1.TaskProgress{
		Task:            t.ID,
		State:           t.State,
		Run:             t.Run,
		Worker:          t.Worker,
		Started:         t.Started,
		Checkpoint:      t.Checkpoint,
		Purpose:         t.Purpose,
		TargetShard:     t.TargetShard,
		Reason:          t.Reason,
		Result:          t.Result,
		FailedWorkers:   t.FailedWorkers,
		EndedUnixMillis: millis(t.EndedAt),
	}
}

// WithProgress returns the task with the fields that change during its life
// replaced.
func (t Task) WithProgress(p *kumquatv1.TaskProgress) Task {
	t.State = p.GetState()
	t.Run = p.GetRun()
	t.Worker = p.GetWorker()
	t.Started = p.GetStarted()
	t.Checkpoint = p.GetCheckpoint()
	t.Purpose = p.GetPurpose()
	t.TargetShard = p.GetTargetShard()
	t.Reason = p.GetReason()
	t.Result = p.GetResult()
	t.FailedWorkers = p.GetFailedWorkers()
	t.EndedAt = fromMillis(p.GetEndedUnixMillis())
	return t
}

func fromResources(p *kumquatv1.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   p.GetMilliCores(),
		MemoryBytes:  p.GetMemoryBytes(),
		Accelerators: p.GetAccelerators(),
	}
}

func toResources(r placer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{
		MilliCores:   r.MilliCores,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
	}
}
