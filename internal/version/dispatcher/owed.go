package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// keptShare is the share of the runners whose capacity long-running tasks leave when they
// start for the first time: for those that are interrupted without notice, of which the
// largest need to fit as well, and for short tasks. It is rounded down to whole runners.
const keptShare = 0.05

// A roomPlan holds, for a service, what long-running tasks that have never run leave to
// others.
type roomPlan struct {
	runners []*runner // those that may get tasks now
	usable  []*runner // and those that may once they answer, for instance
	// spare is how many more tasks of a shape may start for the first time, once computed.
	spare map[spareShape]int
	// largest is the size of the largest long-running tasks by the label that they require.
	largest map[string]submitter.Resources
	// lacking holds the steps with tasks that are owed room and for which there is none.
	// Of those that may use the same runners it holds the one with the smallest tasks.
	lacking []*stepState
}

// A spareShape holds what decides on which runners tasks fit.
type spareShape struct {
	size  submitter.Resources
	label string // that the runner must have, or empty
}

// owedTasks are the tasks of a step that are owed room.
type owedTasks struct {
	st *stepState
	n  int
}

// planRoom reserves room for long-running tasks that have run before and wait, and plans
// where the others will run that have: those that were interrupted just now, and those on
// leaving or silent runners.
//
// Load: dozens of runners that leave together and say so some seconds before, or crash, while
// new long-running tasks arrive. These would fill the other runners, and what ran on the lost
// ones could not run again.
func (t *Table) planRoom(now time.Time) {
	clear(t.plans)
	for _, r := range t.runners {
		r.promised = submitter.Resources{}
		if !t.isUsable(r) {
			continue
		}
		p := t.planFor(r.info.Service)
		p.usable = append(p.usable, r)
		if r.hasEntry() && !now.Before(r.suspendedUntil) && !now.Before(r.pausedUntil) && now.Sub(r.answeredAt) <= staleAfter && t.knowsRunsOn(r, now) {
			p.runners = append(p.runners, r)
		}
	}
	t.reserve(now)
	for _, owed := range t.owedRoom(now) {
		t.planFor(owed.st.s.service()).promise(owed)
	}
	t.holdRoom(now)
}

func (t *Table) planFor(service string) *roomPlan {
	p, ok := t.plans[service]
	if !ok {
		p = &roomPlan{spare: make(map[spareShape]int), largest: make(map[string]submitter.Resources)}
		t.plans[service] = p
	}
	return p
}

// owedRoom returns the steps with tasks that are owed room, the largest tasks first.
func (t *Table) owedRoom(now time.Time) (owed []owedTasks) {
	tasks := make(map[*stepState]int)
	for _, s := range t.active {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if !st.spec.LongRunning {
					continue
				}
				p, label := t.planFor(s.service()), st.spec.RequiredLabel
				if st.spec.MilliCores > p.largest[label].MilliCores {
					p.largest[label] = st.spec.Reserved()
				}
				// Before all runs are known, a task without one may run on a runner that has
				// not answered, and counts like those on silent runners.
				if n := t.interrupted(st, true); n > 0 {
					tasks[st] = n
				}
			}
		}
	}
	for _, r := range t.reserved {
		for st, n := range r.reserved.tasks {
			if st.spec.LongRunning {
				tasks[st] -= n
			}
		}
	}
	for _, r := range t.runners {
		if !r.info.Draining && now.Sub(r.answeredAt) <= staleAfter {
			continue
		}
		for _, x := range r.runs {
			if x.st.spec.LongRunning && !x.st.s.state.IsFinal() {
				tasks[x.st]++
			}
		}
	}
	for st, n := range tasks {
		owed = append(owed, owedTasks{st, n})
	}
	slices.SortFunc(owed, func(a, b owedTasks) int {
		return cmp.Or(cmp.Compare(b.st.spec.MilliCores, a.st.spec.MilliCores), cmp.Compare(a.st.s.sub.ID, b.st.s.sub.ID), cmp.Compare(a.st.index, b.st.index))
	})
	return owed
}

// promise promises room to the tasks of a step, on the runners that it fills most.
func (p *roomPlan) promise(owed owedTasks) {
	st, wanted := owed.st, owed.st.spec.Reserved()
	placed := make(map[*runner]int)
	for range owed.n {
		var best *runner
		var least int64
		isAllowed := false
		for _, r := range p.runners {
			if !st.mayUse(r, placed[r]) {
				continue
			}
			isAllowed = true
			room := r.unpromised()
			if !wanted.Fits(room) {
				continue
			}
			if best == nil || room.MilliCores < least || (room.MilliCores == least && r.info.ID < best.info.ID) {
				best, least = r, room.MilliCores
			}
		}
		if best == nil {
			if isAllowed {
				p.addLacking(st)
			}
			return
		}
		placed[best]++
		best.promised = best.promised.Plus(wanted)
	}
}

// addLacking adds a step with tasks that are owed room and for which there is none.
func (p *roomPlan) addLacking(st *stepState) {
	for i, other := range p.lacking {
		if st.runsOnSameAs(other) {
			if st.spec.MilliCores < other.spec.MilliCores {
				p.lacking[i] = st
			}
			return
		}
	}
	p.lacking = append(p.lacking, st)
}

// runsOnSameAs reports whether tasks of two steps of a service, apart from their sizes, may
// use the same runners.
func (st *stepState) runsOnSameAs(other *stepState) bool {
	isOpen := func(s *stepState) bool { return s.runsByRunner == nil && !s.s.needsPermits() }
	return st.spec.RequiredLabel == other.spec.RequiredLabel && isOpen(st) && isOpen(other)
}

// mayUse reports whether a runner, apart from what else runs there, could take one more task
// of a step beside those of the step that run there and some others.
func (st *stepState) mayUse(r *runner, others int) bool {
	return st.spec.Reserved().Fits(r.info.Capacity) && st.hasLabel(r) && st.allowsMore(r, others) && !st.isRefused(r)
}

// unpromised returns the room on a runner that long-running tasks leave, with those that
// are to run there.
func (r *runner) unpromised() submitter.Resources {
	room := r.roomForLong().Minus(r.promised)
	if r.reserved != nil {
		room = room.Minus(r.reserved.forLong)
	}
	return room
}

// isOwed reports whether a long-running task that has never run may not start on a runner,
// since it would take room there that is kept for others. Room is kept on a runner only for
// tasks that may use it.
func (t *Table) isOwed(r *runner, st *stepState, k *task) bool {
	if !t.isNew(st, k) {
		return false
	}
	if r.heldFor != nil && r.heldFor != st {
		return true
	}
	p, ok := t.plans[r.info.Service]
	if !ok {
		return false
	}
	wanted, room := st.spec.Reserved(), r.unpromised()
	if !wanted.Fits(room) || p.spareFor(spareShape{wanted, st.spec.RequiredLabel}) <= 0 {
		return true
	}
	for label, largest := range p.largest {
		if label != "" && !r.hasLabel(label) {
			continue
		}
		taken := fitting(largest, room) - fitting(largest, room.Minus(wanted))
		if taken > 0 && taken > p.spareFor(spareShape{largest, label}) {
			return true
		}
	}
	return slices.ContainsFunc(p.lacking, func(lacking *stepState) bool {
		size := max(1, lacking.spec.MilliCores)
		return lacking.mayUse(r, 0) && (room.MilliCores-wanted.MilliCores)/size < room.MilliCores/size
	})
}

// spareFor returns how many more tasks of a shape may start for the first time, so that
// keptShare of the runners that they may use is left.
func (p *roomPlan) spareFor(shape spareShape) int {
	n, ok := p.spare[shape]
	if ok {
		return n
	}
	most, runners := 0, 0
	for _, r := range p.usable {
		if shape.label != "" && !r.hasLabel(shape.label) {
			continue
		}
		n += fitting(shape.size, r.unpromised())
		most += fitting(shape.size, r.info.Capacity)
		runners++
	}
	n -= int(keptShare*float64(runners)) * most / max(1, runners)
	p.spare[shape] = n
	return n
}

// fitting returns how many tasks of a size fit into some room.
func fitting(size, room submitter.Resources) int {
	n := int64(math.MaxInt32)
	for _, amount := range [][2]int64{{room.MilliCores, size.MilliCores}, {room.MemoryMB, size.MemoryMB}, {room.GPUs, size.GPUs}} {
		if amount[1] > 0 {
			n = min(n, max(0, amount[0])/amount[1])
		}
	}
	return int(n)
}

// takeSpare notes the start of a long-running task that has never run.
func (t *Table) takeSpare(r *runner, st *stepState, k *task) {
	if p, ok := t.plans[r.info.Service]; ok && t.isNew(st, k) {
		clear(p.spare)
	}
}
