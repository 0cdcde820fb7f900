package worker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
)

// progressMark separates the run from its progress in microseconds in a checkpoint's name, such as
// "survey/3#2@1500000" for the second run of task survey/3 after 1.5 s of work.
const progressMark = "@"

// checkpointName returns a name that contains the progress of a run, so that any worker can resume
// the task from the name alone.
func checkpointName(id commander.RunID, done time.Duration) string {
	return fmt.Sprintf("%s#%d%s%d", id.Task, id.Run, progressMark, done.Microseconds())
}

// progressOf returns the progress in a checkpoint's name, or zero if the name contains none.
func progressOf(checkpoint string) time.Duration {
	_, micros, ok := strings.Cut(checkpoint, progressMark)
	if !ok {
		return 0
	}
	done, err := strconv.ParseInt(micros, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(done) * time.Microsecond
}

// advance brings the state of the worker up to now. It ends the runs that finish or lapse until
// then, in the order of their ends, because each end changes the speed of the remaining runs. The
// caller must hold the lock.
func (w *Worker) advance(now time.Time) {
	if w.last.IsZero() {
		w.last = now
	}
	for {
		next, at := w.nextEnd(now)
		if next == nil {
			break
		}
		w.progress(at)
		if next.start.Work > 0 && next.completed >= next.start.Work {
			next.result = resultOf(next)
			w.end(next, at, commander.RunFinished, "")
		} else {
			w.end(next, at, commander.RunLapsed, "lease lapsed")
		}
		w.measure(at)
	}
	w.progress(now)
}

// nextEnd returns the run that ends first and when, or nil if none ends up to now.
func (w *Worker) nextEnd(now time.Time) (first *run, at time.Time) {
	runs := w.running()
	for _, each := range runs {
		end := each.deadline
		if finish, ok := w.finishTime(each, runs); ok && !finish.After(end) {
			end = finish
		}
		if end.After(now) || (first != nil && !end.Before(at)) {
			continue
		}
		first, at = each, end
	}
	if first != nil && at.Before(w.last) {
		at = w.last
	}
	return first, at
}

// finishTime returns when a run finishes if its speed stays as it is. It reports false for a run
// that never finishes.
func (w *Worker) finishTime(target *run, runs []*run) (at time.Time, ok bool) {
	speed := w.model.speed(target, runs, w.options.Capacity)
	if target.start.Work <= 0 || speed <= 0 {
		return time.Time{}, false
	}
	left := float64(target.start.Work - target.completed)
	// The additional microsecond covers the rounding of the division.
	return w.last.Add(time.Duration(left/speed) + time.Microsecond), true
}

// progress adds to each running run the work that it has done since the last call.
func (w *Worker) progress(now time.Time) {
	elapsed := now.Sub(w.last)
	if elapsed <= 0 {
		return
	}
	runs := w.running()
	for _, each := range runs {
		speed := w.model.speed(each, runs, w.options.Capacity)
		each.completed += time.Duration(speed * float64(elapsed))
	}
	w.last = now
}

// end moves a running run to an ended state and logs the end. The caller must hold the lock.
func (w *Worker) end(target *run, at time.Time, state commander.RunState, reason string) {
	target.state = state
	target.reason = reason
	w.record(judge.KindEnd, target, at)
}

// measure appends a sample of the present measurements, and drops the samples that ceased to be
// valid at least Options.Lag ago. The caller must hold the lock.
func (w *Worker) measure(now time.Time) {
	runs := w.running()
	next := sample{from: now}
	for _, each := range runs {
		next.usages = append(next.usages, w.model.usage(each, runs, w.options.Capacity, now))
	}
	oldest := now.Add(-w.options.Lag)
	for len(w.samples) > 1 && !w.samples[1].from.After(oldest) {
		w.samples = w.samples[1:]
	}
	w.samples = append(w.samples, next)
}

// running returns the running runs, sorted by task and run.
func (w *Worker) running() []*run {
	var runs []*run
	for _, each := range w.runs {
		if each.state == commander.RunRunning {
			runs = append(runs, each)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.start.ID.Task, b.start.ID.Task), cmp.Compare(a.start.ID.Run, b.start.ID.Run))
	})
	return runs
}
