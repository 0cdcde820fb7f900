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
	classes   []classCount
	displaced map[string]bool
	usable    bool
}

// A classCount is the number of residents of one class on a worker.
type classCount struct {
	class    string
	critical bool
	count    int
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
		s.countClass(resident.Class, resident.LatencyCritical, 1)
		if resident.Intent != "" {
			b.spread[spreadKey{resident.Intent, worker.Rack}]++
		}
	}
}

// countClass adds to the number of residents of a class.
func (s *slot) countClass(class string, critical bool, delta int) {
	for i := range s.classes {
		if s.classes[i].class == class {
			s.classes[i].count += delta
			return
		}
	}
	s.classes = append(s.classes, classCount{class: class, critical: critical, count: delta})
}

// slowdown estimates the percentage by which placing the task on the slot
// slows the services there, or by which the residents slow the task itself.
func (b *board) slowdown(s *slot, task *Task) int {
	if b.snapshot.Slowdown == nil {
		return 0
	}
	total := 0
	for i := range s.classes {
		resident := &s.classes[i]
		if resident.count == 0 || resident.critical == task.LatencyCritical {
			continue
		}
		if task.LatencyCritical {
			total += resident.count * b.snapshot.Slowdown(task.Class, resident.class)
		} else {
			total += resident.count * b.snapshot.Slowdown(resident.class, task.Class)
		}
	}
	return total
}

// bind commits a task to a slot.
func (b *board) bind(s *slot, task *Task) {
	s.free = s.free.Minus(task.Size)
	s.countClass(task.Class, task.LatencyCritical, 1)
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
	s.free = s.free.Plus(resident.freedBy(displacement))
	if displacement.Throttle == 0 {
		s.countClass(resident.Class, resident.LatencyCritical, -1)
		b.charge(resident.Team, Resources{}.Minus(resident.Size))
	}
}
