package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// movingShare bounds the moves that are under way at a time, as a share of the runners.
	movingShare = 0.05
	// moveTimeout is how long room is kept for a move.
	moveTimeout = 3 * time.Second
)

// A move is the stop of a run on a leaving runner whose task is to run on another one.
type move struct {
	x       *run
	to      *runner
	beganAt time.Time
}

// isOver reports whether the move needs no room any more.
func (m move) isOver(now time.Time) bool {
	k := m.x.task()
	hasNextRun := len(k.runs) > 0 && k.runs[0] != m.x
	return hasNextRun || m.x.st.s.state.IsFinal() || now.Sub(m.beganAt) > moveTimeout
}

// moveFromLeaving moves long-running tasks from draining runners to others that have room
// for them.
//
// Load: runners that leave one after the other or together. What is left on them is
// interrupted at a time that the owner does not choose, all at once, and maybe while no owner
// looks.
func (t *Table) moveFromLeaving(now time.Time) {
	most := max(1, int(movingShare*float64(len(t.runners))))
	clear(t.noRoom)
	blocked := make(map[*stepState]bool)
	for _, x := range t.movable(now) {
		if len(t.moves) >= most {
			return
		}
		k := x.task()
		if blocked[x.st] || t.hadNoRoom(x.st, k) || !x.st.isComplete() {
			continue
		}
		to := t.chooseOther(x.st, k, x.runner, now)
		if to == nil {
			if !k.isSuspected(now) {
				blocked[x.st] = true
				t.recordNoRoom(x.st, k)
			}
			continue
		}
		t.moves = append(t.moves, move{x: x, to: to, beganAt: now})
		t.reserveOn(to, x.st)
		t.stop(x, now, "runner leaves")
	}
}

// reserveForMoves reserves room for the moves that are under way.
func (t *Table) reserveForMoves(now time.Time) {
	t.moves = slices.DeleteFunc(t.moves, func(m move) bool { return m.isOver(now) })
	for _, m := range t.moves {
		t.reserveOn(m.to, m.x.st)
	}
}

// movable returns the long-running runs on draining runners that answer, in the order in
// which they are moved.
func (t *Table) movable(now time.Time) (runs []*run) {
	for _, r := range t.runners {
		if !r.info.Draining || !r.isRegistered || now.Sub(r.answeredAt) > staleAfter {
			continue
		}
		for _, x := range r.runs {
			if spec := x.st.spec; spec.LongRunning && !spec.Gang && x.phase == running && x.isListed && !x.st.s.state.IsFinal() {
				runs = append(runs, x)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			a.startedAt.Compare(b.startedAt), cmp.Compare(a.st.s.sub.ID, b.st.s.sub.ID), cmp.Compare(a.st.occ.index, b.st.occ.index),
			cmp.Compare(a.st.index, b.st.index), cmp.Compare(a.index, b.index),
		)
	})
	return runs
}

// isComplete reports whether each task of a step has a run that has begun and goes on. The
// tasks of a step are moved one after the other.
func (st *stepState) isComplete() bool {
	for i := range st.tasks {
		if k := &st.tasks[i]; len(k.runs) != 1 || k.runs[0].phase != running {
			return false
		}
	}
	return true
}
