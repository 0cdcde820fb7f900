package planner

import (
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// centresOf returns the data centres in service that an intent may use.
func centresOf(d *declarer.Declarations, wanted []string) []string {
	var centres []string
	for _, name := range d.DataCentreNames() {
		if d.IsOut(name) || (len(wanted) > 0 && !slices.Contains(wanted, name)) {
			continue
		}
		centres = append(centres, name)
	}
	return centres
}

// eligible returns the reachable workers of the data centres that may be used.
func eligible(shards []*kumquatv1.ShardStatusResponse, d *declarer.Declarations, wanted []string) []*kumquatv1.WorkerStatus {
	centres := centresOf(d, wanted)
	var workers []*kumquatv1.WorkerStatus
	for _, shard := range shards {
		for _, worker := range shard.Workers {
			if worker.Reachable && slices.Contains(centres, worker.DataCentre) {
				workers = append(workers, worker)
			}
		}
	}
	return workers
}

// newSnapshot returns the placement snapshot of the shards' state.
func newSnapshot(workers []*kumquatv1.WorkerStatus, shards []*kumquatv1.ShardStatusResponse, d *declarer.Declarations) *placer.Snapshot {
	residents := make(map[string][]placer.Resident)
	quotas := newQuotas(d)
	for _, shard := range shards {
		for _, task := range shard.Tasks {
			if !isBound(task) {
				continue
			}
			residents[task.Worker] = append(residents[task.Worker], newResident(task))
			if quota, ok := quotas[task.Team]; ok {
				quota.Used = quota.Used.Plus(residentSize(task))
				quotas[task.Team] = quota
			}
		}
	}
	snapshot := &placer.Snapshot{Quotas: quotas}
	for _, worker := range workers {
		snapshot.Workers = append(snapshot.Workers, placer.Worker{
			Name:        worker.Worker,
			Rack:        worker.Rack,
			DataCentre:  worker.DataCentre,
			Capacity:    sizeOf(worker.Capacity),
			Residents:   residents[worker.Worker],
			Quarantined: worker.Quarantined,
		})
	}
	return snapshot
}

// isBound reports whether a task takes up room on a worker.
func isBound(task *kumquatv1.Task) bool {
	return task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED ||
		task.State == kumquatv1.TaskState_TASK_STATE_STOPPING
}

func newResident(task *kumquatv1.Task) placer.Resident {
	return placer.Resident{
		Task:            task.Id,
		Intent:          task.Intent,
		Team:            task.Team,
		Class:           task.Class,
		LatencyCritical: task.Kind == kumquatv1.TaskKind_TASK_KIND_KEEP_RUNNING,
		Urgent:          task.Kind == kumquatv1.TaskKind_TASK_KIND_RUN_NOW,
		Size:            residentSize(task),
		Declared:        sizeOf(task.Declared),
		Throttle:        int(task.ThrottlePercent),
		Pinned:          task.State == kumquatv1.TaskState_TASK_STATE_STOPPING,
	}
}

// residentSize returns the size of a task as its shard sees it.
func residentSize(task *kumquatv1.Task) placer.Resources {
	return sizeOf(task.Declared).Max(sizeOf(task.Size))
}

func newQuotas(d *declarer.Declarations) map[string]placer.Quota {
	quotas := make(map[string]placer.Quota, len(d.Teams))
	for _, team := range d.Teams {
		quotas[team.Name] = placer.Quota{Limit: sizeOf(resourcesOf(team.Quota)), Weight: team.Weight}
	}
	return quotas
}
