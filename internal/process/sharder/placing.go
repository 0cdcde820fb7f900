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
	// fullInterval is the least time after a placement that found no room.
	fullInterval = time.Second
	// maxPlaced bounds the waiting tasks of one placement.
	maxPlaced = 2000
	// reservationTimeout bounds how long a worker is held for a task.
	reservationTimeout = 15 * time.Second
	// refuseAfter is how long no worker must be able to hold a task before it
	// is refused, since the host list lags.
	refuseAfter = 30 * time.Second
	// relieveInterval is the time between two looks for overloaded workers.
	relieveInterval = time.Second
	// maxRuns is the number of runs after which a task is not evicted to make
	// room any more.
	maxRuns = 8
)

// place assigns waiting tasks to workers.
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
	snapshot := s.snapshot(now)
	decision := s.options.Policy.Place(snapshot, tasks, now)
	if len(decision.Choices) == 0 {
		s.placeAt = now.Add(fullInterval)
	}
	for i := range decision.Choices {
		s.applyChoice(&decision.Choices[i], now)
	}
	for i := range decision.Rejections {
		s.applyRejection(&decision.Rejections[i], now)
	}
}

// waitingTasks returns the tasks to place, the most important ones first.
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
		if len(tasks) < maxPlaced && e.reservation == nil && !now.Before(e.notBefore) && e.task.MayRunIn(s.options.DataCentre) {
			tasks = append(tasks, s.placeable(e, now))
		}
	}
	return tasks
}

// placeable returns the task as the policy sees it.
func (s *Sharder) placeable(e *entry, now time.Time) placer.Task {
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

// snapshot returns the state that a placement works on.
func (s *Sharder) snapshot(now time.Time) *placer.Snapshot {
	declared := s.options.declarations()
	snapshot := &placer.Snapshot{Quotas: quotas(declared), Slowdown: s.options.Slowdown, SlowdownLimit: s.options.SlowdownLimit}
	reserved := s.reserved()
	for _, w := range s.workersByName() {
		if !w.reachable() || !w.listed {
			continue
		}
		view := s.viewOf(w, reserved[w.name], now)
		for i := range view.Residents {
			chargeQuota(snapshot.Quotas, &view.Residents[i])
		}
		snapshot.Workers = append(snapshot.Workers, view)
	}
	return snapshot
}

// viewOf returns a worker as the policy sees it.
func (s *Sharder) viewOf(w *worker, reserved []*entry, now time.Time) placer.Worker {
	_, quarantined := s.ledger.Quarantined(w.name)
	if quarantined && !w.probing && s.ledger.MayProbe(w.name, now) && len(s.table.byWorker[w.name]) == 0 {
		quarantined = false
	}
	view := placer.Worker{
		Name:        w.name,
		Rack:        w.host.Rack,
		DataCentre:  w.host.DataCentre,
		Capacity:    w.capacity().Minus(w.strayUse()),
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

// resident returns an assigned task as the policy sees it. A throttle for the
// sake of services doesn't make a task smaller: it may be lifted at any time.
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
		Throttle:        e.yields(),
		Pinned:          e.removal != nil || e.task.State == kumquatv1.TaskState_TASK_STATE_STOPPING || e.task.Run >= maxRuns,
	}
	if since := later(e.checkpointedAt, e.runningSince); !since.IsZero() {
		resident.Progress = now.Sub(since)
	}
	return resident
}

// reserved returns the waiting tasks that hold a reservation, by worker.
func (s *Sharder) reserved() map[string][]*entry {
	byWorker := make(map[string][]*entry)
	for _, e := range byRank(s.held) {
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
	e.refusedSince = time.Time{}
	if len(choice.Displacements) > 0 {
		s.makeRoom(e, w, choice.Displacements, now)
		return
	}
	s.assign(e, w, choice.Why, now)
}

// assign binds a task to a worker if it has room for it.
func (s *Sharder) assign(e *entry, w *worker, why string, now time.Time) {
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
	s.recordTask(EventTaskAssigned, e, why)
}

// used returns what everything bound to a worker may use, reservations of
// other tasks included.
func (s *Sharder) used(w *worker, except *entry, now time.Time) placer.Resources {
	used := w.strayUse()
	for _, e := range s.table.byWorker[w.name] {
		if e != except {
			used = used.Plus(s.committed(e, now))
		}
	}
	for _, e := range s.held {
		if e != except && e.reservation != nil && e.reservation.worker == w.name {
			used = used.Plus(s.size(e, now))
		}
	}
	return used
}

// makeRoom throttles or evicts tasks and holds the worker for another one. What
// throttled tasks yield counts once the worker has answered.
func (s *Sharder) makeRoom(e *entry, w *worker, displacements []placer.Displacement, now time.Time) {
	e.reservation = &reservation{worker: w.name, until: now.Add(reservationTimeout)}
	s.held[e.task.ID] = e
	missing := s.used(w, nil, now).Minus(w.capacity()).Max(placer.Resources{})
	for _, displacement := range displacements {
		resident, ok := s.table.byWorker[w.name][displacement.Task]
		switch {
		case !ok || missing == (placer.Resources{}):
		case displacement.Throttle > 0:
			resident.yielded = displacement.Throttle
		default:
			s.remove(resident, "", "makes room for "+e.task.ID, now)
			missing = missing.Minus(s.committed(resident, now)).Max(placer.Resources{})
		}
	}
}

// liftThrottles gives tasks back what they yielded where the worker has room for
// their full sizes again.
func (s *Sharder) liftThrottles(now time.Time) {
	for name, w := range s.workers {
		for _, e := range sorted(yielding(s.table.byWorker[name])) {
			if s.used(w, e, now).Plus(s.size(e, now)).Fits(w.capacity()) {
				e.yielded = 0
			}
		}
	}
}

// yielding returns the tasks of a group that yield processors to others.
func yielding(group map[string]*entry) map[string]*entry {
	var found map[string]*entry
	for id, e := range group {
		if e.yielded == 0 {
			continue
		}
		if found == nil {
			found = make(map[string]*entry)
		}
		found[id] = e
	}
	return found
}

// useReservations assigns tasks whose worker has room by now, and drops
// reservations that are over.
func (s *Sharder) useReservations(now time.Time) {
	for id, e := range s.held {
		if e.reservation == nil || s.table.pending[id] != e {
			e.reservation = nil
			delete(s.held, id)
		}
	}
	for _, e := range byRank(s.held) {
		w, ok := s.workers[e.reservation.worker]
		if !ok || !w.reachable() || now.After(e.reservation.until) {
			e.reservation = nil
			delete(s.held, e.task.ID)
			continue
		}
		s.assign(e, w, "room was made", now)
	}
}

// applyRejection notes why a task waits and refuses it if no worker can ever
// hold it.
func (s *Sharder) applyRejection(rejection *placer.Rejection, now time.Time) {
	e, ok := s.table.pending[rejection.Task]
	if !ok {
		return
	}
	if !rejection.Permanent || e.rank() == 0 {
		e.refusedSince = time.Time{}
		return
	}
	if e.refusedSince.IsZero() {
		e.refusedSince = now
	}
	if now.Sub(e.refusedSince) >= refuseAfter {
		s.table.set(e, e.task.Refuse(rejection.Reason, now))
		s.recordTask(EventTaskEnded, e, rejection.Reason)
	}
}

// relieve evicts batch tasks from workers whose tasks turned out larger than
// the worker.
func (s *Sharder) relieve(now time.Time) {
	if now.Sub(s.relievedAt) < relieveInterval {
		return
	}
	s.relievedAt = now
	for _, w := range s.workersByName() {
		if !w.reachable() {
			continue
		}
		excess := s.overload(w, now)
		if excess != (placer.Resources{}) {
			s.shed(w, excess, now)
		}
	}
}

// overload returns by how much the tasks that stay at a worker exceed it.
func (s *Sharder) overload(w *worker, now time.Time) placer.Resources {
	used := w.strayUse()
	for _, e := range s.table.byWorker[w.name] {
		if e.removal == nil && e.task.State == kumquatv1.TaskState_TASK_STATE_ASSIGNED {
			used = used.Plus(s.committed(e, now))
		}
	}
	return used.Minus(w.capacity()).Max(placer.Resources{})
}

// shed evicts the tasks that lose the least until the excess is gone.
func (s *Sharder) shed(w *worker, excess placer.Resources, now time.Time) {
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
		s.remove(e, "", "the worker's tasks are larger than declared", now)
		excess = excess.Minus(s.committed(e, now)).Max(placer.Resources{})
	}
}

// quotas returns the teams' quotas without their use.
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
