package placer

import (
	"cmp"
	"slices"
	"time"
)

// maxThrottle is the largest percentage of its processors that is withheld
// from a batch task to make room.
const maxThrottle = 50

// evictionPenalty is added to the loss of each eviction, so that throttling
// and fewer evictions are preferred.
const evictionPenalty = time.Minute

// A remedy is a way to make room for a task on one worker.
type remedy struct {
	slot          *slot
	residents     []*Resident
	displacements []Displacement
	loss          time.Duration
}

// displace makes room for an urgent or latency-critical task where the least
// work is lost.
func (p *scored) displace(b *board, task *Task) (Choice, bool) {
	if !p.displaces || rank(task) >= batchRank {
		return Choice{}, false
	}
	var best *remedy
	for i := range b.slots {
		s := &b.slots[i]
		if !s.usable || !task.Size.Fits(s.worker.Capacity) || slices.Contains(task.Avoid, s.worker.Name) {
			continue
		}
		found := throttleRemedy(s, task)
		if found == nil {
			found = evictRemedy(s, task)
		}
		if found != nil && (best == nil || found.loss < best.loss) {
			best = found
		}
	}
	if best == nil {
		return Choice{}, false
	}
	for i, resident := range best.residents {
		b.release(best.slot, resident, best.displacements[i])
	}
	b.bind(best.slot, task)
	return Choice{
		Task:          task.ID,
		Worker:        best.slot.worker.Name,
		Why:           "room made with the least work lost",
		Displacements: best.displacements,
	}, true
}

// candidates returns the batch residents that may give way.
func candidates(s *slot) []*Resident {
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

// throttleTo returns the percentage to withhold from a resident so that it uses
// no more processors than declared, as far as the bound allows.
func throttleTo(resident *Resident) int {
	size, excess := resident.Size.MilliCores, resident.Size.MilliCores-resident.Declared.MilliCores
	if size <= 0 || excess <= 0 {
		return 0
	}
	return int(min((excess*fullPercent+size-1)/size, maxThrottle))
}

// throttleRemedy makes room by throttling alone, or returns nil. Memory and
// accelerators can't be withheld, and processors only beyond what was declared.
func throttleRemedy(s *slot, task *Task) *remedy {
	missing := task.Size.Minus(s.free)
	if missing.MemoryBytes > 0 || missing.Accelerators > 0 {
		return nil
	}
	r := &remedy{slot: s}
	residents := candidates(s)
	slices.SortStableFunc(residents, func(a, b *Resident) int {
		return cmp.Compare(b.Size.MilliCores-b.Declared.MilliCores, a.Size.MilliCores-a.Declared.MilliCores)
	})
	for _, resident := range residents {
		percent := throttleTo(resident)
		if percent <= resident.Throttle {
			continue
		}
		displacement := Displacement{Task: resident.Task, Worker: s.worker.Name, Throttle: percent}
		missing = missing.Minus(resident.freedBy(displacement))
		r.residents = append(r.residents, resident)
		r.displacements = append(r.displacements, displacement)
		r.loss += time.Second
		if missing.MilliCores <= 0 {
			return r
		}
	}
	return nil
}

// evictRemedy makes room by evicting the residents that lose the least work,
// or returns nil.
func evictRemedy(s *slot, task *Task) *remedy {
	residents := candidates(s)
	slices.SortStableFunc(residents, func(a, b *Resident) int { return cmp.Compare(a.Progress, b.Progress) })
	free := s.free
	r := &remedy{slot: s}
	for _, resident := range residents {
		displacement := Displacement{Task: resident.Task, Worker: s.worker.Name}
		free = free.Plus(resident.freedBy(displacement))
		r.residents = append(r.residents, resident)
		r.displacements = append(r.displacements, displacement)
		r.loss += resident.Progress + evictionPenalty
		if task.Size.Fits(free) {
			return r
		}
	}
	return nil
}
