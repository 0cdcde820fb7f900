package planner

import (
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// usableDataCentres returns the data centres in service that an intent may use: the
// requested ones, or all if none are requested.
func usableDataCentres(d *declarer.Declarations, requested []string) []string {
	var centres []string
	for _, name := range d.DataCentreNames() {
		if d.IsOut(name) || (len(requested) > 0 && !slices.Contains(requested, name)) {
			continue
		}
		centres = append(centres, name)
	}
	return centres
}

// eligibleWorkers returns the reachable workers in the data centres that an intent
// with the requested data centres may use.
func eligibleWorkers(shards []*kumquatv1.ShardStatusResponse, d *declarer.Declarations, requested []string) []*kumquatv1.WorkerStatus {
	centres := usableDataCentres(d, requested)
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

// newSnapshot returns the input of a placement policy: the workers with the
// tasks that occupy them, and the teams' quotas with their usage.
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
			Capacity:    sizeFromProto(worker.Capacity),
			Residents:   residents[worker.Worker],
			Quarantined: worker.Quarantined,
		})
	}
	return snapshot
}

// isBound reports whether a task occupies resources of a worker, because it is
// assigned there or still stopping.
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
		Declared:        sizeFromProto(task.Declared),
		Throttle:        int(task.ThrottlePercent),
		Pinned:          task.State == kumquatv1.TaskState_TASK_STATE_STOPPING,
	}
}

// residentSize returns the larger of a task's declared size and the size that its
// shard reports, for each resource.
func residentSize(task *kumquatv1.Task) placer.Resources {
	return sizeFromProto(task.Declared).Max(sizeFromProto(task.Size))
}

func newQuotas(d *declarer.Declarations) map[string]placer.Quota {
	quotas := make(map[string]placer.Quota, len(d.Teams))
	for _, team := range d.Teams {
		quotas[team.Name] = placer.Quota{Limit: sizeFromProto(declaredToProto(team.Quota)), Weight: team.Weight}
	}
	return quotas
}
