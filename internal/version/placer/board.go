package placer

// A board is the working state of one Place call: the snapshot's workers with
// the choices made so far. It lives for one call only.
type board struct {
	snapshot *Snapshot
	slots    []slot
	// spread counts the tasks of an intent by rack.
	spread map[spreadKey]int
	quotas map[string]Quota
	// index finds a slot by its worker's name.
	index map[string]int
}

// A slot is one worker of a board.
type slot struct {
	worker    *Worker
	free      Resources
	classes   []classLoad
	displaced map[string]bool
	usable    bool
}

// A classLoad is what the residents of one class use on a worker.
type classLoad struct {
	class      string
	critical   bool
	milliCores int64
	// slowdown is the estimate for a service class, in percent.
	slowdown float64
}

type spreadKey struct {
	intent string
	rack   string
}

// newBoard returns a board for a snapshot.
func newBoard(snapshot *Snapshot) *board {
	b := &board{
		snapshot: snapshot,
		slots:    make([]slot, len(snapshot.Workers)),
		spread:   make(map[spreadKey]int),
		quotas:   make(map[string]Quota, len(snapshot.Quotas)),
		index:    make(map[string]int, len(snapshot.Workers)),
	}
	for team, quota := range snapshot.Quotas {
		b.quotas[team] = quota
	}
	for i := range snapshot.Workers {
		b.fill(i, &snapshot.Workers[i])
	}
	return b
}

// fill initialises the slot of one worker.
func (b *board) fill(i int, worker *Worker) {
	s := &b.slots[i]
	s.worker = worker
	s.free = worker.Free()
	s.usable = !worker.Quarantined && !worker.Leaving
	b.index[worker.Name] = i
	for j := range worker.Residents {
		resident := &worker.Residents[j]
		b.load(s, resident.Class, resident.LatencyCritical, resident.Committed().MilliCores)
		if resident.Intent != "" {
			b.spread[spreadKey{resident.Intent, worker.Rack}]++
		}
	}
}

// milliCoresPerCore converts thousandths of a core.
const milliCoresPerCore = 1000

// load adds to what a class uses on a slot, and updates the slowdown of the
// services there.
func (b *board) load(s *slot, class string, critical bool, milliCores int64) {
	s.entry(class, critical).milliCores += milliCores
	for i := range s.classes {
		service := &s.classes[i]
		if service.critical {
			service.slowdown = b.slowdownOf(s, service.class)
		}
	}
}

// entry returns the load of a class on a slot.
func (s *slot) entry(class string, critical bool) *classLoad {
	for i := range s.classes {
		if s.classes[i].class == class && s.classes[i].critical == critical {
			return &s.classes[i]
		}
	}
	s.classes = append(s.classes, classLoad{class: class, critical: critical})
	return &s.classes[len(s.classes)-1]
}

// slowdownOf estimates by how many percent the batch residents of a slot slow
// a service class.
func (b *board) slowdownOf(s *slot, service string) float64 {
	if b.snapshot.Slowdown == nil {
		return 0
	}
	total := 0.0
	for i := range s.classes {
		if batch := &s.classes[i]; !batch.critical {
			total += b.snapshot.Slowdown(service, batch.class) * float64(batch.milliCores) / milliCoresPerCore
		}
	}
	return total
}

// added estimates by how many percent a batch task would slow a service class.
func (b *board) added(service string, task *Task) float64 {
	if b.snapshot.Slowdown == nil {
		return 0
	}
	return b.snapshot.Slowdown(service, task.Class) * float64(task.Size.MilliCores) / milliCoresPerCore
}

// slowdown estimates, in percent, how much the task would slow the services of
// the slot in all, or the residents would slow the task if it is a service.
func (b *board) slowdown(s *slot, task *Task) float64 {
	if task.LatencyCritical {
		return b.slowdownOf(s, task.Class)
	}
	total := 0.0
	for i := range s.classes {
		if service := &s.classes[i]; service.critical && service.milliCores > 0 {
			total += b.added(service.class, task)
		}
	}
	return total
}

// withinSlowdown reports whether a batch task keeps the services of a slot
// within the limit. Urgent tasks and services are not limited.
func (b *board) withinSlowdown(s *slot, task *Task) bool {
	limit := b.snapshot.SlowdownLimit
	if limit == 0 || rank(task) < batchRank {
		return true
	}
	for i := range s.classes {
		service := &s.classes[i]
		if service.critical && service.milliCores > 0 && service.slowdown+b.added(service.class, task) > limit {
			return false
		}
	}
	return true
}

// bind commits a task to a slot.
func (b *board) bind(s *slot, task *Task) {
	s.free = s.free.Minus(task.Size)
	b.load(s, task.Class, task.LatencyCritical, task.Size.MilliCores)
	b.spread[spreadKey{task.Intent, s.worker.Rack}]++
	b.charge(task.Team, task.Size)
}

// charge adds to a team's use.
func (b *board) charge(team string, size Resources) {
	quota, ok := b.quotas[team]
	if !ok {
		return
	}
	quota.Used = quota.Used.Plus(size)
	b.quotas[team] = quota
}

// withinQuota reports whether a team may use that much more.
func (b *board) withinQuota(team string, size Resources) bool {
	quota, ok := b.quotas[team]
	return !ok || quota.Used.Plus(size).Fits(quota.Limit)
}

// release takes a displaced resident's commitment off a slot.
func (b *board) release(s *slot, resident *Resident, displacement Displacement) {
	if s.displaced == nil {
		s.displaced = make(map[string]bool)
	}
	s.displaced[resident.Task] = true
	freed := resident.freedBy(displacement)
	s.free = s.free.Plus(freed)
	b.load(s, resident.Class, resident.LatencyCritical, -freed.MilliCores)
	if displacement.Throttle == 0 {
		b.charge(resident.Team, Resources{}.Minus(resident.Size))
	}
}
