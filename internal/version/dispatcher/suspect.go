package dispatcher

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

const (
	// probation is how long a run has to be seen running until it no longer counts as a
	// possible cause if its runner is lost. A program that crashes its host does so soon
	// after its start.
	probation = time.Second
	// maxClearCrashes is the number of runners lost in a row, each while a run of the
	// task was on probation, after which the task is given up if none of them is shared
	// with another submission and all but one are attributed to its own.
	maxClearCrashes = 3
	// maxCrashes is the number after which it is given up in any case.
	maxCrashes = 4
)

// Numbers of lost runners from which other causes than a task are likely, as shares of all
// runners.
const (
	// A loss is widespread if it is one of more than lossShare, and of more than
	// minLosses, within lossWindow.
	lossWindow = 2 * time.Second
	lossShare  = 0.1
	minLosses  = 3
	// No task is blamed while at least otherLossShare, and at least minOtherLosses, were
	// lost within otherLossWindow without a task that is known for such losses.
	otherLossWindow = 10 * time.Second
	otherLossShare  = 1.0
	minOtherLosses  = 4
)

// A loss is the end of all that ran on a runner.
type loss struct {
	r        *runner
	suspects []*run // runs that may have caused it, oldest first
	// isNew is true if the runner was not draining, and was heard since its last loss.
	isNew bool
}

// loss returns the loss of the runner.
func (r *runner) loss() loss {
	l := loss{r: r, isNew: !r.info.Draining && !r.answeredAt.IsZero() && !r.answeredAt.Before(r.lostAt)}
	for _, x := range r.runs {
		if x.onProbation && !x.isQueued {
			l.suspects = append(l.suspects, x)
		}
	}
	sortByAge(l.suspects)
	return l
}

// blame records the loss of a runner for the tasks whose runs were on probation there,
// and gives up the tasks under which too many runners were lost.
func (t *Table) blame(l loss, now time.Time) {
	if !l.isNew {
		return
	}
	l.r.lostAt = now
	crash := submitter.Crash{Runner: l.r.info.ID, Widespread: t.isWidespread(now)}
	crash.Attributed = !crash.Widespread && areOfOneSubmission(l.suspects)
	if !crash.Attributed || !slices.ContainsFunc(l.suspects, func(x *run) bool { return len(x.task().crashes) > 0 }) {
		t.otherLossTimes = append(t.otherLossTimes, now)
	}
	if t.haveOtherCause(now) {
		return
	}
	suspects := slices.DeleteFunc(l.suspects, func(x *run) bool { return x.task().done || x.task().outlivesProbation() })
	for _, x := range suspects {
		if !x.st.s.state.IsFinal() && !x.task().hasCrash(x.number) {
			t.recordCrash(x, crash, now)
		}
	}
	if len(suspects) > 0 && !areOfOneSubmission(suspects) {
		t.sharedLosses = append(t.sharedLosses, suspects)
	}
	for _, x := range suspects {
		t.failIfCrashing(x.st, x.index, now)
	}
}

// recordCrash records a loss for the task of a run that may have caused it.
func (t *Table) recordCrash(x *run, crash submitter.Crash, now time.Time) {
	k, s := x.task(), x.st.s
	crash.Run = x.number
	if len(k.crashes) == 0 {
		x.st.crashed++
	}
	k.crashes = append(k.crashes, crash)
	k.suspectedSince = now
	t.markDirty(s)
	k.crashVersion = s.version
}

// excludeCleared drops from the shared losses the runs that have not caused them, and those
// losses that are no longer shared.
func (t *Table) excludeCleared() {
	for i, suspects := range t.sharedLosses {
		t.sharedLosses[i] = slices.DeleteFunc(suspects, (*run).isCleared)
	}
	t.sharedLosses = slices.DeleteFunc(t.sharedLosses, func(suspects []*run) bool {
		return len(suspects) == 0 || areOfOneSubmission(suspects) || haveEnded(suspects)
	})
}

// isCleared reports whether a run that may have caused a loss has not, as its task has
// proved harmless since. The tasks of a submission that has failed are never cleared.
func (x *run) isCleared() bool {
	k := x.task()
	return k.done || (!x.st.s.state.IsFinal() && !k.hasCrash(x.number))
}

// haveEnded reports whether the submissions of all runs have ended.
func haveEnded(runs []*run) bool {
	return !slices.ContainsFunc(runs, func(x *run) bool { return !x.st.s.state.IsFinal() })
}

// isWidespread counts the loss of a runner, and reports whether it is one of so many
// that a task is an unlikely cause.
//
// Load: a zone that loses power, and runners that crash in numbers again and again.
func (t *Table) isWidespread(now time.Time) bool {
	t.lossTimes = append(since(t.lossTimes, now.Add(-lossWindow)), now)
	return len(t.lossTimes) > max(minLosses, int(lossShare*float64(len(t.runners))))
}

// haveOtherCause reports whether so many runners were lost lately for unknown reasons
// that the losses under a task are likely to have the same cause.
func (t *Table) haveOtherCause(now time.Time) bool {
	t.otherLossTimes = since(t.otherLossTimes, now.Add(-otherLossWindow))
	return len(t.otherLossTimes) >= max(minOtherLosses, int(otherLossShare*float64(len(t.runners))))
}

// since drops the times before another one.
func since(times []time.Time, first time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return at.Before(first) })
}

func areOfOneSubmission(runs []*run) bool {
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(x *run) bool { return x.st.s != runs[0].st.s })
}

func (k *task) hasCrash(number int64) bool {
	return slices.ContainsFunc(k.crashes, func(c submitter.Crash) bool { return c.Run == number })
}

// outlivesProbation reports whether a run of the task has outlived its probation.
func (k *task) outlivesProbation() bool {
	return slices.ContainsFunc(k.runs, func(x *run) bool { return !x.onProbation })
}

// mayHaveCrashed reports whether the run, or one before it, may have crashed its runner. A
// copy might crash another one.
func (x *run) mayHaveCrashed(now time.Time) bool {
	return len(x.task().crashes) > 0 || (x.onProbation && now.Sub(x.runner.answeredAt) > copyAfter)
}

// failIfCrashing fails a submission if too many runners were lost under one of its tasks.
func (t *Table) failIfCrashing(st *stepState, index int, now time.Time) {
	k, s := &st.tasks[index], st.s
	if _, ok := s.queue.Get(); !ok || s.state.IsFinal() || !t.crashesTooOften(k) {
		return
	}
	var runs, runners []string
	for _, c := range k.crashes {
		runs = append(runs, strconv.FormatInt(c.Run, 10))
		runners = append(runners, c.Runner)
	}
	t.record(now, EventCrashing, s, "", "task", st.taskID(index).String(), "runs", strings.Join(runs, " "), "runners", strings.Join(runners, " "))
	t.finish(s, submitter.Failed, now)
}

// crashesTooOften reports whether too many runners were lost under a task.
func (t *Table) crashesTooOften(k *task) bool {
	if len(k.crashes) < maxClearCrashes || len(k.crashes) >= maxCrashes {
		return len(k.crashes) >= maxCrashes
	}
	unclear := 0
	for _, c := range k.crashes {
		if !c.Attributed {
			unclear++
		}
	}
	return unclear <= 1 && !t.sharesLoss(k)
}

// sharesLoss reports whether a task of another submission may have caused one of the losses
// that count for a task.
func (t *Table) sharesLoss(k *task) bool {
	return slices.ContainsFunc(t.sharedLosses, func(suspects []*run) bool {
		return slices.ContainsFunc(suspects, func(x *run) bool { return x.task() == k })
	})
}

// endProbation ends the probation of the runs listed in a report that was requested at
// sentAt, if they have been running for long enough.
func (t *Table) endProbation(r *runner, listed map[runKey]bool, sentAt time.Time) {
	for key, x := range r.runs {
		if !x.onProbation || !listed[key] || x.confirmedAt.IsZero() || sentAt.Sub(x.confirmedAt) < probation {
			continue
		}
		t.passProbation(x)
	}
}

// passProbation ends the probation of a run that its runner has survived, and clears its
// task of suspicion.
func (t *Table) passProbation(x *run) {
	t.release(x)
	t.clearCrashes(x.st, x.index, anyCrash)
}

func anyCrash(submitter.Crash) bool { return true }

// clearCrashes removes crashes from a task's record.
func (t *Table) clearCrashes(st *stepState, index int, isCleared func(submitter.Crash) bool) {
	k := &st.tasks[index]
	had := len(k.crashes)
	k.crashes = slices.DeleteFunc(k.crashes, isCleared)
	if len(k.crashes) == had {
		return
	}
	if len(k.crashes) == 0 {
		st.crashed--
	}
	t.excludeCleared()
	t.markDirty(st.s)
}

// clearLapsed clears the runs that have lapsed on a runner of suspicion: its incarnation answers,
// so that none of them has crashed it.
func (t *Table) clearLapsed(r *runner) {
	for _, x := range r.lapsed {
		if !x.st.s.state.IsFinal() {
			t.clearCrashes(x.st, x.index, func(c submitter.Crash) bool { return c.Run == x.number })
		}
	}
	r.lapsed = nil
}

// restoreCrashes applies the saved crashes of a task.
func (st *stepState) restoreCrashes(index int, crashes []submitter.Crash, now time.Time) {
	if len(crashes) == 0 {
		return
	}
	k := &st.tasks[index]
	k.crashes, k.suspectedSince = slices.Clone(crashes), now
	st.crashed++
}
