package placer

// An allocation is the working state of one Place call: the workers of the
// snapshot with the tasks that the call has bound or displaced so far.
type allocation struct {
	snapshot *Snapshot
	workers  []workerState
	// rackCounts counts the tasks of each intent in each rack.
	rackCounts map[intentRack]int
	// quotas maps the name of a team to its quota, with the tasks of this call
	// included in the use.
	quotas map[string]Quota
	// index maps the name of a worker to its position in workers.
	index map[string]int
}

// A workerState is one worker of an allocation.
type workerState struct {
	worker  *Worker
	free    Resources
	classes []classLoad
	// displaced is the set of residents that were throttled or evicted.
	displaced map[string]bool
	// usable is false if the worker is quarantined or leaving.
	usable bool
}

// A classLoad is the processor use of one task class on a worker.
type classLoad struct {
	class      string
	critical   bool
	milliCores int64
	// slowdown is the estimated slowdown, in percent, of a latency-critical class by
	// the batch tasks on the worker.
	slowdown float64
}

// An intentRack combines an intent and a rack.
type intentRack struct {
	intent string
	rack   string
}

// newAllocation returns an allocation in which only the residents of the
// snapshot are placed.
func newAllocation(snapshot *Snapshot) *allocation {
	a := &allocation{
		snapshot:   snapshot,
		workers:    make([]workerState, len(snapshot.Workers)),
		rackCounts: make(map[intentRack]int),
		quotas:     make(map[string]Quota, len(snapshot.Quotas)),
		index:      make(map[string]int, len(snapshot.Workers)),
	}
	for team, quota := range snapshot.Quotas {
		a.quotas[team] = quota
	}
	for i := range snapshot.Workers {
		a.addWorker(i, &snapshot.Workers[i])
	}
	return a
}

// addWorker initialises the state of the i-th worker from the snapshot.
func (a *allocation) addWorker(i int, worker *Worker) {
	s := &a.workers[i]
	s.worker = worker
	s.free = worker.Free()
	s.usable = !worker.Quarantined && !worker.Leaving
	a.index[worker.Name] = i
	for j := range worker.Residents {
		resident := &worker.Residents[j]
		a.addLoad(s, resident.Class, resident.LatencyCritical, resident.Committed().MilliCores)
		if resident.Intent != "" {
			a.rackCounts[intentRack{resident.Intent, worker.Rack}]++
		}
	}
}

// milliCoresPerCore converts milliCores to cores.
const milliCoresPerCore = 1000

// addLoad adds to the processor use of a class on a worker and updates the
// estimated slowdown of the latency-critical classes there.
func (a *allocation) addLoad(s *workerState, class string, critical bool, milliCores int64) {
	s.classLoadOf(class, critical).milliCores += milliCores
	for i := range s.classes {
		service := &s.classes[i]
		if service.critical {
			service.slowdown = a.classSlowdown(s, service.class)
		}
	}
}

// classLoadOf returns the load of a class on the worker, adding an empty one if
// there is none.
func (s *workerState) classLoadOf(class string, critical bool) *classLoad {
	for i := range s.classes {
		if s.classes[i].class == class && s.classes[i].critical == critical {
			return &s.classes[i]
		}
	}
	s.classes = append(s.classes, classLoad{class: class, critical: critical})
	return &s.classes[len(s.classes)-1]
}

// classSlowdown estimates by how many percent the batch tasks on a worker slow
// down a service class.
func (a *allocation) classSlowdown(s *workerState, service string) float64 {
	if a.snapshot.Slowdown == nil {
		return 0
	}
	total := 0.0
	for i := range s.classes {
		if batch := &s.classes[i]; !batch.critical {
			total += a.snapshot.Slowdown(service, batch.class) * float64(batch.milliCores) / milliCoresPerCore
		}
	}
	return total
}

// slowdownBy estimates by how many percent a batch task would slow down a
// service class on the same worker.
func (a *allocation) slowdownBy(service string, task *Task) float64 {
	if a.snapshot.Slowdown == nil {
		return 0
	}
	return a.snapshot.Slowdown(service, task.Class) * float64(task.Size.MilliCores) / milliCoresPerCore
}

// taskSlowdown estimates the slowdown, in percent, that placing a task on a
// worker causes. For a batch task this is the sum over the services on the
// worker; for a service it is its own slowdown by the batch tasks there.
func (a *allocation) taskSlowdown(s *workerState, task *Task) float64 {
	if task.LatencyCritical {
		return a.classSlowdown(s, task.Class)
	}
	total := 0.0
	for i := range s.classes {
		if service := &s.classes[i]; service.critical && service.milliCores > 0 {
			total += a.slowdownBy(service.class, task)
		}
	}
	return total
}

// withinSlowdown reports whether all services on a worker stay within the
// slowdown limit when a batch task is added. The limit does not apply to urgent
// tasks and services.
func (a *allocation) withinSlowdown(s *workerState, task *Task) bool {
	limit := a.snapshot.SlowdownLimit
	if limit == 0 || rank(task) < batchRank {
		return true
	}
	for i := range s.classes {
		service := &s.classes[i]
		if service.critical && service.milliCores > 0 && service.slowdown+a.slowdownBy(service.class, task) > limit {
			return false
		}
	}
	return true
}

// bind places a task on a worker and charges it to the quota of its team.
func (a *allocation) bind(s *workerState, task *Task) {
	s.free = s.free.Minus(task.Size)
	a.addLoad(s, task.Class, task.LatencyCritical, task.Size.MilliCores)
	a.rackCounts[intentRack{task.Intent, s.worker.Rack}]++
	a.chargeQuota(task.Team, task.Size)
}

// chargeQuota adds to the resources that a team uses, if the team has a quota.
func (a *allocation) chargeQuota(team string, size Resources) {
	quota, ok := a.quotas[team]
	if !ok {
		return
	}
	quota.Used = quota.Used.Plus(size)
	a.quotas[team] = quota
}

// withinQuota reports whether a team may use the given resources in addition.
func (a *allocation) withinQuota(team string, size Resources) bool {
	quota, ok := a.quotas[team]
	return !ok || quota.Used.Plus(size).Fits(quota.Limit)
}

// release frees the resources that a displacement takes from a resident. A
// throttled resident still counts fully against the quota of its team.
func (a *allocation) release(s *workerState, resident *Resident, displacement Displacement) {
	if s.displaced == nil {
		s.displaced = make(map[string]bool)
	}
	s.displaced[resident.Task] = true
	freed := resident.freedBy(displacement)
	s.free = s.free.Plus(freed)
	a.addLoad(s, resident.Class, resident.LatencyCritical, -freed.MilliCores)
	if displacement.Throttle == 0 {
		a.chargeQuota(resident.Team, Resources{}.Minus(resident.Size))
	}
}
