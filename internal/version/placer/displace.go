package placer

import (
	"cmp"
	"slices"
	"time"
)

// maxThrottle is the largest percentage of its processors that is withheld from
// a batch task to make room for another task.
const maxThrottle = 50

// evictionPenalty is added to the lost work for each eviction, so that
// throttling and plans with fewer evictions are preferred.
const evictionPenalty = time.Minute

// A displacementPlan lists the residents of one worker to throttle or evict to
// make room for a task, and what that costs.
type displacementPlan struct {
	target *workerState
	// displacements holds one entry for each entry of residents.
	residents     []*Resident
	displacements []Displacement
	// loss is the run time that evictions lose, plus a penalty for each
	// displacement.
	loss time.Duration
}

// displace makes room for an urgent or latency-critical task on the worker
// where the least work is lost. It throttles residents where that is enough and
// evicts them otherwise.
func (p *scoringPolicy) displace(a *allocation, task *Task) (Choice, bool) {
	if !p.mayDisplace || rank(task) >= batchRank {
		return Choice{}, false
	}
	var best *displacementPlan
	for i := range a.workers {
		s := &a.workers[i]
		if !s.usable || !task.Size.Fits(s.worker.Capacity) || slices.Contains(task.Avoid, s.worker.Name) {
			continue
		}
		found := planThrottling(s, task)
		if found == nil {
			found = planEvictions(s, task)
		}
		if found != nil && (best == nil || found.loss < best.loss) {
			best = found
		}
	}
	if best == nil {
		return Choice{}, false
	}
	for i, resident := range best.residents {
		a.release(best.target, resident, best.displacements[i])
	}
	a.bind(best.target, task)
	return Choice{
		Task:          task.ID,
		Worker:        best.target.worker.Name,
		Why:           "resources freed with the least work lost",
		Displacements: best.displacements,
	}, true
}

// displaceableResidents returns the batch residents of a worker that may be throttled or
// evicted.
func displaceableResidents(s *workerState) []*Resident {
	var found []*Resident
	for i := range s.worker.Residents {
		resident := &s.worker.Residents[i]
		if resident.LatencyCritical || resident.Urgent || resident.Pinned || s.displaced[resident.Task] {
			continue
		}
		found = append(found, resident)
	}
	return found
}

// throttlePercent returns the percentage to withhold from a resident so that it
// uses no more processors than declared, at most maxThrottle.
func throttlePercent(resident *Resident) int {
	size, excess := resident.Size.MilliCores, resident.Size.MilliCores-resident.Declared.MilliCores
	if size <= 0 || excess <= 0 {
		return 0
	}
	return int(min((excess*fullPercent+size-1)/size, maxThrottle))
}

// planThrottling makes room by throttling alone, or returns nil if that is not
// enough. Memory and accelerators can't be withheld, and processors only beyond
// the declared size.
func planThrottling(s *workerState, task *Task) *displacementPlan {
	missing := task.Size.Minus(s.free)
	if missing.MemoryBytes > 0 || missing.Accelerators > 0 {
		return nil
	}
	plan := &displacementPlan{target: s}
	residents := displaceableResidents(s)
	slices.SortStableFunc(residents, func(a, b *Resident) int {
		return cmp.Compare(b.Size.MilliCores-b.Declared.MilliCores, a.Size.MilliCores-a.Declared.MilliCores)
	})
	for _, resident := range residents {
		percent := throttlePercent(resident)
		if percent <= resident.Throttle {
			continue
		}
		displacement := Displacement{Task: resident.Task, Worker: s.worker.Name, Throttle: percent}
		missing = missing.Minus(resident.freedBy(displacement))
		plan.residents = append(plan.residents, resident)
		plan.displacements = append(plan.displacements, displacement)
		plan.loss += time.Second
		if missing.MilliCores <= 0 {
			return plan
		}
	}
	return nil
}

// planEvictions makes room by evicting residents, those first that lose the
// least progress, or returns nil if evicting all of them is not enough.
func planEvictions(s *workerState, task *Task) *displacementPlan {
	residents := displaceableResidents(s)
	slices.SortStableFunc(residents, func(a, b *Resident) int { return cmp.Compare(a.Progress, b.Progress) })
	free := s.free
	plan := &displacementPlan{target: s}
	for _, resident := range residents {
		displacement := Displacement{Task: resident.Task, Worker: s.worker.Name}
		free = free.Plus(resident.freedBy(displacement))
		plan.residents = append(plan.residents, resident)
		plan.displacements = append(plan.displacements, displacement)
		plan.loss += resident.Progress + evictionPenalty
		if task.Size.Fits(free) {
			return plan
		}
	}
	return nil
}
