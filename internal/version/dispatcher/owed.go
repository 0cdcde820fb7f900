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
	// spare is how many more tasks of a size may start for the first time, once computed.
	spare map[submitter.Resources]int
	// largest is the size of the largest long-running tasks.
	largest submitter.Resources
	// lacking is the size of the smallest task that is owed room and for which there is
	// none, or 0.
	lacking int64
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
}

func (t *Table) planFor(service string) *roomPlan {
	p, ok := t.plans[service]
	if !ok {
		p = &roomPlan{spare: make(map[submitter.Resources]int)}
		t.plans[service] = p
	}
	return p
}

// owedRoom returns the steps with tasks that are owed room, the largest tasks first.
func (t *Table) owedRoom(now time.Time) (owed []owedTasks) {
	tasks := make(map[*stepState]int)
	allRunsKnown := t.knowsAllRuns(now)
	for _, s := range t.active {
		for _, occ := range s.occs {
			for _, st := range occ.steps {
				if !st.spec.LongRunning {
					continue
				}
				if p := t.planFor(s.service()); st.spec.MilliCores > p.largest.MilliCores {
					p.largest = st.spec.Reserved()
				}
				if n := t.interrupted(st, allRunsKnown); n > 0 {
					tasks[st] = n
				}
			}
		}
	}
	for _, r := range t.reserved {
		for st, n := range r.reserved.tasks {
			tasks[st] -= n
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
			if !wanted.Fits(r.info.Capacity) || !st.hasLabel(r) || !st.allowsMore(r, placed[r]) {
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
			if isAllowed && (p.lacking == 0 || wanted.MilliCores < p.lacking) {
				p.lacking = max(1, wanted.MilliCores)
			}
			return
		}
		placed[best]++
		best.promised = best.promised.Plus(wanted)
	}
}

// unpromised returns the room on a runner that long-running tasks leave, with those that
// are to run there.
func (r *runner) unpromised() submitter.Resources {
	room := r.roomForLong().Minus(r.promised)
	if r.reserved != nil {
		room = room.Minus(r.reserved.room)
	}
	return room
}

// isOwed reports whether a long-running task that has never run may not start on a runner,
// since it would take room there that is kept for others.
func (t *Table) isOwed(r *runner, st *stepState, k *task) bool {
	if !t.isNew(st, k) {
		return false
	}
	p, ok := t.plans[r.info.Service]
	if !ok {
		return false
	}
	wanted, room := st.spec.Reserved(), r.unpromised()
	if !wanted.Fits(room) || p.spareFor(wanted) <= 0 {
		return true
	}
	taken := fitting(p.largest, room) - fitting(p.largest, room.Minus(wanted))
	if taken > 0 && taken > p.spareFor(p.largest) {
		return true
	}
	return p.lacking > 0 && (room.MilliCores-wanted.MilliCores)/p.lacking < room.MilliCores/p.lacking
}

// spareFor returns how many more tasks of a size may start for the first time, so that
// keptShare is left.
func (p *roomPlan) spareFor(size submitter.Resources) int {
	n, ok := p.spare[size]
	if ok {
		return n
	}
	most := 0
	for _, r := range p.usable {
		n += fitting(size, r.unpromised())
		most += fitting(size, r.info.Capacity)
	}
	n -= int(keptShare*float64(len(p.usable))) * most / max(1, len(p.usable))
	p.spare[size] = n
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
