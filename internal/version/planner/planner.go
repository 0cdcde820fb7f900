// Package planner computes what confirming an intent would do: which tasks start
// now and where, which ones wait or are rejected, and which tasks are displaced.
// A plan depends only on the intent, the declarations, the state of the shards
// and the current time.
package planner

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// A Request holds the inputs of a plan, apart from the current time.
type Request struct {
	Intent *declarer.Intent
	// Document is the intent's YAML document.
	Document string
	// Version holds the declarations in force.
	Version *declarer.Version
	// Shards holds the status of each shard that is included in the plan.
	Shards []*kumquatv1.ShardStatusResponse
	Policy placer.Policy
}

// Plan returns the plan of an intent: what confirming the intent would do.
func Plan(request Request, now time.Time) *kumquatv1.Plan {
	d := request.Version.Declarations
	workers := eligibleWorkers(request.Shards, d, request.Intent.DataCentres)
	snapshot := newSnapshot(workers, request.Shards, d)
	tasks := newTasks(request.Intent, now)
	decision := request.Policy.Place(snapshot, tasks, now)

	plan := newPlan(request, now)
	addDecision(plan, decision, snapshot)
	assignToShards(plan, usableDataCentres(d, request.Intent.DataCentres))
	addQuota(plan, snapshot, d)
	addTimes(plan, request.Intent, now)
	plan.Basis = digest(plan)
	plan.Id = planID(plan)
	return plan
}

// planID computes a plan's id from its intent, its digest and the time at which it
// was planned.
func planID(plan *kumquatv1.Plan) string {
	return fmt.Sprintf("%s-%s-%d", plan.Intent, digest(plan), plan.PlannedUnixMillis)
}

// IsIntact reports whether a plan's content still matches its id, that is,
// whether it is unchanged since Plan returned it.
func IsIntact(plan *kumquatv1.Plan) bool { return plan.Id == planID(plan) }

// newPlan returns a plan with the fields that are copied from the request.
func newPlan(request Request, now time.Time) *kumquatv1.Plan {
	intent := request.Intent
	plan := &kumquatv1.Plan{
		Intent:               intent.Name,
		Team:                 intent.Team,
		Class:                intent.Class,
		Kind:                 kindOf(intent.Kind),
		Count:                int32(intent.Count),
		Resources:            declaredToProto(intent.Resources),
		ConfigurationVersion: request.Version.Number,
		Document:             request.Document,
		ExpectedRunMillis:    intent.ExpectedRun.Milliseconds(),
		PlannedUnixMillis:    now.UnixMilli(),
		DataCentres:          intent.DataCentres,
	}
	if deadline := intent.DeadlineAt(now); !deadline.IsZero() {
		plan.DeadlineUnixMillis = deadline.UnixMilli()
	}
	return plan
}

// newTasks returns the tasks of an intent, which differ only in their ids.
func newTasks(intent *declarer.Intent, now time.Time) []placer.Task {
	tasks := make([]placer.Task, intent.Count)
	for i := range tasks {
		tasks[i] = placer.Task{
			ID:              TaskID(intent.Name, i),
			Intent:          intent.Name,
			Team:            intent.Team,
			Class:           intent.Class,
			Size:            sizeFromProto(declaredToProto(intent.Resources)),
			LatencyCritical: intent.Kind == declarer.KindKeepRunning,
			Urgent:          intent.Kind == declarer.KindRunNow,
			Spread:          intent.Kind == declarer.KindKeepRunning,
			Submitted:       now,
			Deadline:        intent.DeadlineAt(now),
		}
	}
	return tasks
}

// TaskID returns the id of the n-th task of an intent, counted from 0.
func TaskID(intent string, n int) string {
	return fmt.Sprintf("%s/%d", intent, n)
}

func kindOf(kind declarer.Kind) kumquatv1.TaskKind {
	switch kind {
	case declarer.KindRunNow:
		return kumquatv1.TaskKind_TASK_KIND_RUN_NOW
	case declarer.KindKeepRunning:
		return kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING
	default:
		return kumquatv1.TaskKind_TASK_KIND_RUN_BY
	}
}

func declaredToProto(r declarer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{
		MilliCores:   r.MilliCores(),
		MemoryBytes:  r.MemoryBytes(),
		Accelerators: int64(r.Accelerators),
	}
}

func sizeFromProto(r *kumquatv1.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func sizeToProto(r placer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{
		MilliCores:   r.MilliCores,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
	}
}
