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
	token, leaseEnd, acked int64
}

// newHold returns the poll that the owner of a table sends to a runner now. It returns false if
// the owner has no token for the runner.
func newHold(t *Table, id string, now time.Time) (p hold, ok bool) {
	token, ok := t.Token(id)
	return hold{token: token, leaseEnd: t.LeaseUntil(id, now), acked: t.Acknowledgeable(id, now)}, ok
}

// hold carries out a poll and returns the report. It reports false if the runner has seen a
// higher fencing token.
func (r *simRunner) hold(p hold, now time.Time) (rep Report, ok bool) {
	if p.token < r.fence {
		return rep, false
	}
	r.fence = p.token
	if p.leaseEnd > 0 {
		r.leaseEnd = max(r.leaseEnd, min(p.leaseEnd, r.clock(now)+testLimits.MaxLease.Milliseconds()))
	}
	r.ended = slices.DeleteFunc(r.ended, func(e End) bool { return e.N <= p.acked })
	rep = Report{Token: p.token, Lifetime: r.lifetime, Clock: r.clock(now), Ended: slices.Clone(r.ended)}
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
// for has ended, and no owner could keep the next process, which the present one has not called
// with its token yet, from carrying it out: the process that it was meant for has confirmed a
// stop that overtook it, or a later one has and the owner has waited for another restart, or the
// owner that sent it has a successor, which has not heard of it.
func (r *simRunner) missed(d delayedOrder, t *Table, fence int64, now time.Time) bool {
	known := t.runners[r.id]
	if known != nil && known.info.Lifetime == r.lifetime && known.token <= r.fence {
		return false
	}
	if d.order.Kind != Start {
		return false
	}
	stoppedBy := r.stoppedBy[runKey{d.order.Task, d.order.Run}]
	overtaken := stoppedBy == d.order.Lifetime || (stoppedBy > 0 && now.Sub(d.sentAt) > secondRestartWait)
	return d.order.Lifetime != r.lifetime && (overtaken || d.fence < fence)
}

// carryOut carries out an order and returns its outcome.
func (r *simRunner) carryOut(o Order, now time.Time) Outcome {
	key := runKey{o.Task, o.Run}
	if o.Token < r.fence {
		return Fenced
	}
	r.fence = o.Token
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
