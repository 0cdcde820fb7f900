package dispatcher

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A simRunner is a runner in virtual time.
type simRunner struct {
	id       string
	lifetime int64
	bornAt   time.Time
	restarts int
	// listed is the incarnation in the registry, or zero without an entry. The registry
	// shows the current one from listedAt on, if that is set.
	listed   int64
	listedAt time.Time
	isDown   bool
	isLost   bool // for good
	isCut    bool
	// isDraining says that the runner has announced that it leaves.
	isDraining bool
	downTill   time.Time
	cutTill    time.Time
	fence      int64
	leaseEnd   int64
	running    map[runKey]bool
	highest    map[submitter.TaskID]int64 // highest run that was stopped or has ended
	ended      []End
	lastEnd    int64
	polledAt   time.Time
	// stoppedBy holds, by run, the last incarnation that has confirmed a stop of it to the
	// owner.
	stoppedBy map[runKey]int64
	resizes   []resize // oldest first
}

func (r *simRunner) clock(now time.Time) int64 { return now.Sub(r.bornAt).Milliseconds() + 1 }

func (r *simRunner) reset(now time.Time) {
	r.lifetime++
	r.bornAt = now
	r.fence, r.leaseEnd, r.lastEnd = 0, 0, 0
	r.running, r.highest, r.ended = make(map[runKey]bool), make(map[submitter.TaskID]int64), nil
}

func (r *simRunner) end(key runKey, kind EndKind) {
	if !r.running[key] {
		return
	}
	delete(r.running, key)
	r.highest[key.task] = max(r.highest[key.task], key.run)
	r.lastEnd++
	r.ended = append(r.ended, End{N: r.lastEnd, Task: key.task, Run: key.run, Kind: kind})
}

// A hold is a poll on its way to a runner.
type hold struct {
	fence, leaseEnd, acked int64
}

// newHold returns the poll that the owner of a table sends to a runner now.
func newHold(t *Table, id string, now time.Time) hold {
	return hold{fence: t.fence, leaseEnd: t.LeaseUntil(id, now), acked: t.Acknowledgeable(id, now)}
}

// hold carries out a poll and returns the report. It reports false if the runner has seen a
// higher fencing token.
func (r *simRunner) hold(p hold, now time.Time) (rep Report, ok bool) {
	if p.fence < r.fence {
		return rep, false
	}
	r.fence = p.fence
	if p.leaseEnd > 0 {
		r.leaseEnd = max(r.leaseEnd, min(p.leaseEnd, r.clock(now)+testLimits.MaxLease.Milliseconds()))
	}
	r.ended = slices.DeleteFunc(r.ended, func(e End) bool { return e.N <= p.acked })
	rep = Report{Lifetime: r.lifetime, Clock: r.clock(now), Ended: slices.Clone(r.ended)}
	for _, key := range sortedKeys(r.running) {
		rep.Running = append(rep.Running, RunStatus{Task: key.task, Run: key.run, Percent: 100})
	}
	return rep, true
}

// lapse ends what runs if the lease has ended.
func (r *simRunner) lapse(now time.Time) {
	if r.leaseEnd == 0 || r.clock(now) <= r.leaseEnd {
		return
	}
	for _, key := range sortedKeys(r.running) {
		r.end(key, Lapsed)
	}
}

// missed reports whether a late order never arrives, since the process that it was meant
// for has ended, and no owner could keep the next process from carrying it out: the former
// process has confirmed a stop that overtook it, or the owner that sent it has a successor,
// which has not heard of it.
func (r *simRunner) missed(d delayedOrder, fence int64) bool {
	overtaken := r.stoppedBy[runKey{d.order.Task, d.order.Run}] == d.order.Lifetime
	return d.order.Lifetime != r.lifetime && (overtaken || d.fence < fence)
}

// carryOut carries out an order and returns its outcome.
func (r *simRunner) carryOut(o Order, fence int64, now time.Time) Outcome {
	key := runKey{o.Task, o.Run}
	if fence < r.fence {
		return Fenced
	}
	r.fence = fence
	switch o.Kind {
	case Start:
		r.leaseEnd = max(r.leaseEnd, min(o.Until, r.clock(now)+testLimits.MaxLease.Milliseconds()))
		if r.running[key] {
			return Succeeded
		}
		if o.Run <= r.highest[o.Task] {
			return Superseded
		}
		if r.clock(now) >= o.Until {
			return TooLate
		}
		r.running[key] = true
	case Stop:
		r.end(key, Stopped)
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	case Pace:
	}
	return Succeeded
}
