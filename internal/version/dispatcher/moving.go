package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// movingShare bounds the moves that are under way at a time, as a share of the runners.
	movingShare = 0.05
	// moveTimeout is how long room is kept for a move.
	moveTimeout = 3 * time.Second
)

// A move is the stop of a run whose task is to run on another runner.
type move struct {
	x       *run
	to      *runner
	beganAt time.Time
	// beneficiary is the step for a task of which the move makes room; nil if the run's
	// runner leaves.
	beneficiary *stepState
}

// hasMoved reports whether the move needs no room on its target any more.
func (m move) hasMoved() bool {
	k := m.x.task()
	hasNextRun := len(k.runs) > 0 && k.runs[0] != m.x
	return hasNextRun || m.x.st.s.state.IsFinal()
}

// isTaken reports whether the room that the run leaves is not kept, or not any more.
func (m move) isTaken() bool {
	st := m.beneficiary
	if st == nil || st.s.state.IsFinal() {
		return true
	}
	for _, x := range m.x.runner.runs {
		if x.st == st && x.startedAt.After(m.beganAt) {
			return true
		}
	}
	return false
}

// isOver reports whether the move needs no room any more.
func (m move) isOver(now time.Time) bool {
	return (m.hasMoved() && m.isTaken()) || now.Sub(m.beganAt) > moveTimeout
}

// maxMoves returns how many moves may be under way at a time.
func (t *Table) maxMoves() int { return max(1, int(movingShare*float64(len(t.runners)))) }

// moveFromLeaving moves long-running tasks from draining runners to others that have room
// for them.
//
// Load: runners that leave one after the other or together. What is left on them is
// interrupted at a time that the owner does not choose, all at once, and maybe while no owner
// looks.
func (t *Table) moveFromLeaving(now time.Time) {
	most := t.maxMoves()
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
		if !m.hasMoved() {
			t.reserveOn(m.to, m.x.st)
		}
		if !m.isTaken() {
			t.reserveOn(m.x.runner, m.beneficiary)
		}
	}
}

// keptForMoves returns the room on a runner that is kept for tasks of other steps which move
// there.
func (t *Table) keptForMoves(r *runner, st *stepState) (room submitter.Resources) {
	for _, m := range t.moves {
		if m.to == r && m.x.st != st && !m.hasMoved() {
			room = room.Plus(m.x.st.spec.Reserved())
		}
	}
	return room
}

// movable returns the long-running runs on draining runners that answer, oldest first.
func (t *Table) movable(now time.Time) (runs []*run) {
	for _, r := range t.runners {
		if !r.info.Draining || !r.isRegistered || now.Sub(r.answeredAt) > staleAfter {
			continue
		}
		for _, x := range r.runs {
			if spec := x.st.spec; spec.LongRunning && !spec.Gang && x.phase == running && x.hasStatus && !x.st.s.state.IsFinal() {
				runs = append(runs, x)
			}
		}
	}
	sortByAge(runs)
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
