package sharder

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// placeInterval is the least time between two placements.
	placeInterval = 200 * time.Millisecond
	// noRoomInterval is the least time until the next placement after one that
	// found no room.
	noRoomInterval = time.Second
	// maxTasksPerPlacement limits the pending tasks of one placement.
	maxTasksPerPlacement = 2000
	// reservationTimeout bounds how long a worker is reserved for a task.
	reservationTimeout = 15 * time.Second
	// refusalDelay is how long a task must fit no worker before it is refused.
	// The host list lags behind, so a worker that fits may not be listed yet.
	refusalDelay = 30 * time.Second
	// overloadInterval is the time between two checks for overloaded workers.
	overloadInterval = time.Second
	// maxDisplacedRuns is the number of runs after which a task is no longer
	// evicted to make room for others.
	maxDisplacedRuns = 8
)

// place assigns pending tasks to workers.
func (s *Sharder) place(now time.Time) {
	s.useReservations(now)
	if now.Before(s.placeAt) || len(s.table.pending) == 0 {
		return
	}
	if s.flusher.failing || !s.mayStart(now) {
		return
	}
	s.placeAt = now.Add(placeInterval)
	tasks := s.waitingTasks(now)
	if len(tasks) == 0 {
		return
	}
	snapshot := s.placementSnapshot(now)
	decision := s.options.Policy.Place(snapshot, tasks, now)
	if len(decision.Choices) == 0 {
		s.placeAt = now.Add(noRoomInterval)
	}
	for i := range decision.Choices {
		s.applyChoice(&decision.Choices[i], now)
	}
	for i := range decision.Rejections {
		s.applyRejection(&decision.Rejections[i], now)
	}
}

// waitingTasks returns the tasks to place, the most important first.
func (s *Sharder) waitingTasks(now time.Time) []placer.Task {
	list := byRank(s.table.pending)
	slices.SortStableFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.task.Submitted.Compare(b.task.Submitted))
	})
	var tasks []placer.Task
	for _, e := range list {
		if s.mayHaveFinished(e, now) {
			continue
		}
		if e.waitingSince.IsZero() {
			e.waitingSince = now
		}
		if len(tasks) < maxTasksPerPlacement && e.reservation == nil && !now.Before(e.notBefore) && e.task.MayRunIn(s.options.DataCentre) {
			tasks = append(tasks, s.placementTask(e, now))
		}
	}
	return tasks
}

// placementTask returns a task in the form that the policy takes.
func (s *Sharder) placementTask(e *entry, now time.Time) placer.Task {
	return placer.Task{
		ID:              e.task.ID,
		Intent:          e.task.Intent,
		Team:            e.task.Team,
		Class:           e.task.Class,
		Size:            s.size(e, now),
		LatencyCritical: e.rank() == 0,
		Urgent:          e.rank() == 1,
		Spread:          e.task.Spread,
		Avoid:           e.task.FailedWorkers,
		Submitted:       e.task.Submitted,
		Deadline:        e.task.Deadline,
	}
}

// placementSnapshot returns the state on which the policy decides.
func (s *Sharder) placementSnapshot(now time.Time) *placer.Snapshot {
	declared := s.options.declarations()
	snapshot := &placer.Snapshot{Quotas: quotas(declared), Slowdown: s.options.Slowdown, SlowdownLimit: s.options.SlowdownLimit}
	reserved := s.reservationsByWorker()
	for _, w := range s.workersByName() {
		if !w.reachable() || !w.isListed {
			continue
		}
		view := s.workerView(w, reserved[w.name], now)
		for i := range view.Residents {
			chargeQuota(snapshot.Quotas, &view.Residents[i])
		}
		snapshot.Workers = append(snapshot.Workers, view)
	}
	return snapshot
}

// workerView returns a worker in the form that the policy takes. A quarantined
// worker without tasks is shown as usable when the ledger allows a task that
// tests its health.
func (s *Sharder) workerView(w *worker, reserved []*entry, now time.Time) placer.Worker {
	_, quarantined := s.ledger.Quarantined(w.name)
	if quarantined && !w.probing && s.ledger.MayProbe(w.name, now) && len(s.table.byWorker[w.name]) == 0 {
		quarantined = false
	}
	view := placer.Worker{
		Name:        w.name,
		Rack:        w.host.Rack,
		DataCentre:  w.host.DataCentre,
		Capacity:    w.capacity().Minus(w.orphanUse()),
		Quarantined: quarantined || s.ledger.Paused(w.name, now),
		Leaving:     w.host.State == lister.StateLeaving,
	}
	for _, e := range sorted(s.table.byWorker[w.name]) {
		view.Residents = append(view.Residents, s.resident(e, now))
	}
	for _, e := range reserved {
		resident := s.resident(e, now)
		resident.Pinned = true
		view.Residents = append(view.Residents, resident)
	}
	return view
}

// resident returns an assigned task in the form that the policy takes. A
// throttle that protects services doesn't make a task smaller, as it may be
// lifted at any time.
func (s *Sharder) resident(e *entry, now time.Time) placer.Resident {
	resident := placer.Resident{
		Task:            e.task.ID,
		Intent:          e.task.Intent,
		Team:            e.task.Team,
		Class:           e.task.Class,
		LatencyCritical: e.rank() == 0,
		Urgent:          e.rank() == 1,
		Size:            s.size(e, now),
		Declared:        e.task.Declared,
		Throttle:        e.effectiveRoomThrottle(),
		Pinned:          e.removal != nil || e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING || e.task.Run >= maxDisplacedRuns,
	}
	if since := later(e.checkpointedAt, e.runningSince); !since.IsZero() {
		resident.Progress = now.Sub(since)
	}
	return resident
}

// reservationsByWorker returns the pending tasks that hold a reservation, by
// worker.
func (s *Sharder) reservationsByWorker() map[string][]*entry {
	byWorker := make(map[string][]*entry)
	for _, e := range byRank(s.reserved) {
		if e.reservation == nil {
			continue
		}
		byWorker[e.reservation.worker] = append(byWorker[e.reservation.worker], e)
	}
	return byWorker
}

func (s *Sharder) workersByName() []*worker {
	list := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	return list
}

// applyChoice assigns a task, or makes room for it first.
func (s *Sharder) applyChoice(choice *placer.Choice, now time.Time) {
	e, ok := s.table.pending[choice.Task]
	w, known := s.workers[choice.Worker]
	if !ok || !known {
		return
	}
	e.unplaceableSince = time.Time{}
	if len(choice.Displacements) > 0 {
		s.makeRoom(e, w, choice.Displacements, now)
		return
	}
	s.assign(e, w, choice.Why, now)
}

// assign assigns a task to a worker if the worker has room for it.
func (s *Sharder) assign(e *entry, w *worker, reason string, now time.Time) {
	if !s.used(w, e, now).Plus(s.size(e, now)).Fits(w.capacity()) {
		return
	}
	if _, quarantined := s.ledger.Quarantined(w.name); quarantined {
		if w.probing {
			return
		}
		w.probing = true
	}
	s.table.set(e, e.task.Assign(w.name))
	s.recordTask(EventTaskAssigned, e, reason)
}

// used returns the sum of what the tasks and orphaned runs of a worker may use
// and what is reserved there. The task of the entry except is left out.
func (s *Sharder) used(w *worker, except *entry, now time.Time) placer.Resources {
	used := w.orphanUse()
	for _, e := range s.table.byWorker[w.name] {
		if e != except {
			used = used.Plus(s.committed(e, now))
		}
	}
	for _, e := range s.reserved {
		if e != except && e.reservation != nil && e.reservation.worker == w.name {
			used = used.Plus(s.size(e, now))
		}
	}
	return used
}

// makeRoom throttles or evicts tasks of a worker and reserves the worker for
// another task. The processors withheld from a throttled task are free only
// once the worker has answered.
func (s *Sharder) makeRoom(e *entry, w *worker, displacements []placer.Displacement, now time.Time) {
	e.reservation = &reservation{worker: w.name, until: now.Add(reservationTimeout)}
	s.reserved[e.task.ID] = e
	missing := s.used(w, nil, now).Minus(w.capacity()).Max(placer.Resources{})
	for _, displacement := range displacements {
		resident, ok := s.table.byWorker[w.name][displacement.Task]
		switch {
		case !ok || missing == (placer.Resources{}):
		case displacement.Throttle > 0:
			resident.roomThrottle = displacement.Throttle
		default:
			s.evict(resident, "", "makes room for "+e.task.ID, now)
			missing = missing.Minus(s.committed(resident, now)).Max(placer.Resources{})
		}
	}
}

// liftThrottles returns the processors that tasks have yielded to others where
// the worker has room for the tasks' full sizes again.
func (s *Sharder) liftThrottles(now time.Time) {
	for name, w := range s.workers {
		for _, e := range sorted(throttledForRoom(s.table.byWorker[name])) {
			if s.used(w, e, now).Plus(s.size(e, now)).Fits(w.capacity()) {
				e.roomThrottle = 0
			}
		}
	}
}

// throttledForRoom returns the tasks of a group that yield processors to
// others.
func throttledForRoom(group map[string]*entry) map[string]*entry {
	var found map[string]*entry
	for id, e := range group {
		if e.roomThrottle == 0 {
			continue
		}
		if found == nil {
			found = make(map[string]*entry)
		}
		found[id] = e
	}
	return found
}

// useReservations assigns tasks whose reserved worker has room by now, and
// drops reservations that have expired.
func (s *Sharder) useReservations(now time.Time) {
	for id, e := range s.reserved {
		if e.reservation == nil || s.table.pending[id] != e {
			e.reservation = nil
			delete(s.reserved, id)
		}
	}
	for _, e := range byRank(s.reserved) {
		w, ok := s.workers[e.reservation.worker]
		if !ok || !w.reachable() || now.After(e.reservation.until) {
			e.reservation = nil
			delete(s.reserved, e.task.ID)
			continue
		}
		s.assign(e, w, "room was made", now)
	}
}

// applyRejection refuses a task if the policy has found for refusalDelay that
// no worker can ever hold it. Tasks that must keep running are not refused.
func (s *Sharder) applyRejection(rejection *placer.Rejection, now time.Time) {
	e, ok := s.table.pending[rejection.Task]
	if !ok {
		return
	}
	if !rejection.Permanent || e.rank() == 0 {
		e.unplaceableSince = time.Time{}
		return
	}
	if e.unplaceableSince.IsZero() {
		e.unplaceableSince = now
	}
	if now.Sub(e.unplaceableSince) >= refusalDelay {
		s.table.set(e, e.task.Refuse(rejection.Reason, now))
		s.recordTask(EventTaskEnded, e, rejection.Reason)
	}
}

// evictOverload evicts tasks, except those that must keep running, from workers
// whose tasks turned out to be larger than the worker.
func (s *Sharder) evictOverload(now time.Time) {
	if now.Sub(s.overloadCheckedAt) < overloadInterval {
		return
	}
	s.overloadCheckedAt = now
	for _, w := range s.workersByName() {
		if !w.reachable() {
			continue
		}
		excess := s.overload(w, now)
		if excess != (placer.Resources{}) {
			s.evictExcess(w, excess, now)
		}
	}
}

// overload returns by how much the tasks that stay at a worker and its orphaned
// runs together exceed its capacity, or zero.
func (s *Sharder) overload(w *worker, now time.Time) placer.Resources {
	used := w.orphanUse()
	for _, e := range s.table.byWorker[w.name] {
		if e.removal == nil && e.task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED {
			used = used.Plus(s.committed(e, now))
		}
	}
	return used.Minus(w.capacity()).Max(placer.Resources{})
}

// evictExcess evicts tasks until the excess is gone: the least important first,
// and among these the ones that started last, as they lose the least work.
func (s *Sharder) evictExcess(w *worker, excess placer.Resources, now time.Time) {
	list := sorted(s.table.byWorker[w.name])
	slices.SortStableFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), b.runningSince.Compare(a.runningSince))
	})
	for _, e := range list {
		if excess == (placer.Resources{}) || e.rank() == 0 {
			return
		}
		if e.removal != nil || e.task.State != kumquatv1.TaskState_TASK_STATE_ASSIGNED {
			continue
		}
		s.evict(e, "", "the worker's tasks are larger than declared", now)
		excess = excess.Minus(s.committed(e, now)).Max(placer.Resources{})
	}
}

// quotas returns the teams' quotas with nothing charged to them.
func quotas(declared *declarer.Declarations) map[string]placer.Quota {
	found := make(map[string]placer.Quota, len(declared.Teams))
	for _, team := range declared.Teams {
		found[team.Name] = placer.Quota{Limit: resourcesOf(team.Quota), Weight: team.Weight}
	}
	return found
}

func chargeQuota(quotas map[string]placer.Quota, resident *placer.Resident) {
	quota, ok := quotas[resident.Team]
	if !ok {
		return
	}
	quota.Used = quota.Used.Plus(resident.Size)
	quotas[resident.Team] = quota
}

const (
	milliCoresPerCore = 1000
	bytesPerGB        = 1 << 30
)

func resourcesOf(declared declarer.Resources) placer.Resources {
	return placer.Resources{
		MilliCores:   int64(declared.Cores * milliCoresPerCore),
		MemoryBytes:  int64(declared.MemoryGB * bytesPerGB),
		Accelerators: int64(declared.Accelerators),
	}
}
