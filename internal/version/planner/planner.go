// Package planner works out what an intent would do. It is a pure function of
// the declarations, the shards' state and the present time.
package planner

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// A Request is everything a plan is made from.
type Request struct {
	Intent *declarer.Intent
	// Document is the intent's YAML document.
	Document string
	Version  *declarer.Version
	Shards   []*kumquatv1.ShardStatusResponse
	Policy   placer.Policy
}

// Plan returns what confirming the intent would do.
func Plan(request Request, now time.Time) *kumquatv1.Plan {
	d := request.Version.Declarations
	workers := eligible(request.Shards, d, request.Intent.DataCentres)
	snapshot := newSnapshot(workers, request.Shards, d)
	tasks := newTasks(request.Intent, now)
	decision := request.Policy.Place(snapshot, tasks, now)

	plan := newHeader(request, now)
	describe(plan, decision, snapshot)
	allocate(plan, centresOf(d, request.Intent.DataCentres))
	addQuota(plan, snapshot, d)
	addTimes(plan, request.Intent, now)
	plan.Basis = digest(plan)
	plan.Id = idOf(plan)
	return plan
}

// idOf returns the identity of a plan, which follows from what it says.
func idOf(plan *kumquatv1.Plan) string {
	return fmt.Sprintf("%s-%s-%d", plan.Intent, digest(plan), plan.PlannedUnixMillis)
}

// IsIntact reports whether a plan says what it said when it was made.
func IsIntact(plan *kumquatv1.Plan) bool { return plan.Id == idOf(plan) }

// newHeader copies what the intent says into a plan.
func newHeader(request Request, now time.Time) *kumquatv1.Plan {
	intent := request.Intent
	plan := &kumquatv1.Plan{
		Intent:               intent.Name,
		Team:                 intent.Team,
		Class:                intent.Class,
		Kind:                 kindOf(intent.Kind),
		Count:                int32(intent.Count),
		Resources:            resourcesOf(intent.Resources),
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

// newTasks returns the tasks of an intent, all alike.
func newTasks(intent *declarer.Intent, now time.Time) []placer.Task {
	tasks := make([]placer.Task, intent.Count)
	for i := range tasks {
		tasks[i] = placer.Task{
			ID:              TaskID(intent.Name, i),
			Intent:          intent.Name,
			Team:            intent.Team,
			Class:           intent.Class,
			Size:            sizeOf(resourcesOf(intent.Resources)),
			LatencyCritical: intent.Kind == declarer.KindKeepRunning,
			Urgent:          intent.Kind == declarer.KindRunNow,
			Spread:          intent.Kind == declarer.KindKeepRunning,
			Submitted:       now,
			Deadline:        intent.DeadlineAt(now),
		}
	}
	return tasks
}

// TaskID returns the id of an intent's n-th task, counted from 0.
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

func resourcesOf(r declarer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{
		MilliCores:   r.MilliCores(),
		MemoryBytes:  r.MemoryBytes(),
		Accelerators: int64(r.Accelerators),
	}
}

func sizeOf(r *kumquatv1.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func messageOf(r placer.Resources) *kumquatv1.Resources {
	return &kumquatv1.Resources{
		MilliCores:   r.MilliCores,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
	}
}
