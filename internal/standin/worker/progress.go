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

// progressMark separates a checkpoint's run from its progress in microseconds.
const progressMark = "@"

// checkpointName returns a name from which any worker can tell the progress.
func checkpointName(id commander.RunID, done time.Duration) string {
	return fmt.Sprintf("%s#%d%s%d", id.Task, id.Run, progressMark, done.Microseconds())
}

// progressOf returns the progress that a checkpoint holds.
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

// advance ends runs in the order of their ends, up to now, because each end
// changes the speed of the others. The lock has to be held.
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
		if next.start.Work > 0 && next.done >= next.start.Work {
			next.result = resultOf(next)
			w.end(next, at, commander.RunFinished, "")
		} else {
			w.end(next, at, commander.RunLapsed, "lease lapsed")
		}
		w.measure(at)
	}
	w.progress(now)
}

// nextEnd returns the run that ends first, not later than now.
func (w *Worker) nextEnd(now time.Time) (first *run, at time.Time) {
	runs := w.running()
	for _, each := range runs {
		end := each.deadline
		if finish, ok := w.finish(each, runs); ok && !finish.After(end) {
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

// finish returns when a run finishes if nothing changes until then.
func (w *Worker) finish(of *run, runs []*run) (at time.Time, ok bool) {
	speed := w.model.speed(of, runs, w.options.Capacity)
	if of.start.Work <= 0 || speed <= 0 {
		return time.Time{}, false
	}
	left := float64(of.start.Work - of.done)
	// One microsecond more makes up for rounding.
	return w.last.Add(time.Duration(left/speed) + time.Microsecond), true
}

// progress lets all runs go on until an instant.
func (w *Worker) progress(now time.Time) {
	elapsed := now.Sub(w.last)
	if elapsed <= 0 {
		return
	}
	runs := w.running()
	for _, each := range runs {
		speed := w.model.speed(each, runs, w.options.Capacity)
		each.done += time.Duration(speed * float64(elapsed))
	}
	w.last = now
}

// end puts a running run into an ended state.
func (w *Worker) end(of *run, at time.Time, state commander.RunState, reason string) {
	of.state = state
	of.reason = reason
	w.record(judge.KindEnd, of, at)
}

// measure remembers the measurements that hold from now on.
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

// running returns the running runs in a fixed order.
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
