package dispatcher

import (
	"slices"
	"time"
)

const (
	// maxCallDelay is the longest time for which a call may be on its way.
	maxCallDelay = 12 * time.Second
	// secondRestartWait is how long a task waits for an unanswered start, although its
	// restarted runner refuses that: the runner may be restarted once more.
	secondRestartWait = 6 * time.Second
)

// isFormer reports whether an incarnation, or zero if unknown, is a former one of the runner.
func (r *runner) isFormer(lifetime int64) bool {
	return lifetime != 0 && lifetime != r.info.Lifetime && (lifetime < r.info.Lifetime || slices.Contains(r.formerLifetimes, lifetime))
}

// renew sets the incarnation.
func (r *runner) renew(lifetime int64) {
	r.formerLifetimes = slices.DeleteFunc(r.formerLifetimes, func(former int64) bool { return former <= lifetime })
	r.formerLifetimes = append(r.formerLifetimes, r.info.Lifetime)
	r.info.Lifetime = lifetime
}

// resetRunner handles a new incarnation of a runner under the same ID, of which the owner has
// learnt from a source. The runner has a token that no call for a former one carries.
func (t *Table) resetRunner(r *runner, lifetime int64, source string, now time.Time) {
	defer t.blame(r.loss(), now)
	t.recordRestart(now, r, lifetime, source)
	r.wasReleased = false
	r.renew(lifetime)
	r.restartedAt, r.isKnownFromStart = now, r.acceptedToken || r.isDoubted
	for _, x := range r.runsByAge() {
		if x.isLocated {
			t.end(x, now, "runner was restarted")
			continue
		}
		// The new incarnation may have begun the run, or may do so until it has seen its token.
		x.isCarriedOver = true
		if x.phase != running {
			x.phase, x.isStopQueued = running, false
			t.stop(x, now, "unanswered start on a restarted runner")
		}
	}
	r.acceptedToken, r.acceptedAt = false, time.Time{}
	r.capacity = capacityStatements{}
	if r.isRegistered && r.entry.Lifetime == lifetime {
		t.registerCapacity(r, r.entry, now)
	}
	r.answeredAt, r.clock, r.maxLeaseEnd = time.Time{}, 0, 0
	r.lastEnd, r.pending, r.acked, r.received = 0, nil, 0, 0
	clear(r.unknownRuns)
	r.unknownStoppedAt = time.Time{}
	clear(r.failedSubmissions)
	r.suspendedUntil, r.pausedUntil = time.Time{}, time.Time{}
	r.halted = false
	r.worstTail = unknownTailRatio
	r.lapsed, r.isDoubted = nil, false
	t.reclaim(r, now)
}

// leastClock returns the least reading of the clock of a runner's incarnation from now on, in
// ms, or zero if it is not known.
func (r *runner) leastClock(now time.Time) int64 {
	if r.answeredAt.IsZero() {
		return 0
	}
	passed := time.Duration(float64(now.Sub(r.answeredAt)) * (1 - clockDrift))
	return r.clock + passed.Milliseconds() - clockMargin
}

// clockMargin allows for readings of a runner's clock that are rounded, in ms.
const clockMargin = 5

// doubt handles an answer that does not fit the known incarnation of a runner. The next poll has
// a new token and shows which one is there. What is not known to run on the known one may have
// begun on the other.
func (t *Table) doubt(r *runner, now time.Time) {
	t.recordRunner(now, EventRunnerDoubted, r, "clock is behind that of the known incarnation")
	t.renewToken(r)
	r.isDoubted, r.acceptedToken, r.restartedAt = true, false, now
	for _, x := range r.runs {
		x.isCarriedOver = !x.isLocated
	}
}

// hasRunsAdrift reports whether runs that have lapsed on a runner may still begin on a next
// incarnation.
func (r *runner) hasRunsAdrift(now time.Time) bool {
	return slices.ContainsFunc(r.adrift, func(x *run) bool { return now.Sub(x.startedAt) < maxCallDelay })
}

// reclaim adds runs to the table again that have lapsed on the clock of the former incarnation of
// a runner: the new one may have begun them, or may still do so. It leaves out those whose tasks
// have started elsewhere.
func (t *Table) reclaim(r *runner, now time.Time) {
	adrift := r.adrift
	r.adrift = nil
	for _, x := range adrift {
		if k := x.task(); k.done || len(k.runs) > 0 || x.st.s.state.IsFinal() || now.Sub(x.startedAt) >= maxCallDelay+t.limits.MaxLease {
			continue
		}
		again := t.place(x.st, x.index, r, x.number, now)
		again.useNumber()
		again.startedAt, again.confirmedAt, again.unansweredAt = x.startedAt, x.confirmedAt, x.unansweredAt
		again.phase, again.isCarriedOver = running, true
		t.recordRun(now, EventAdopted, again, "may have begun on the new incarnation")
		if x.confirmedAt.IsZero() {
			t.stop(again, now, "unanswered start on a restarted runner")
		}
	}
}

// mayBegin reports whether the start of a run that was ordered before a restart may still be
// carried out, if the runner is restarted once more.
func (x *run) mayBegin(now time.Time) bool {
	switch {
	case !x.isCarriedOver:
		return false
	case !x.unansweredAt.IsZero():
		return now.Before(x.unansweredAt.Add(secondRestartWait))
	case x.confirmedAt.IsZero():
		return now.Before(x.runner.restartedAt.Add(secondRestartWait))
	default:
		return false
	}
}

// carriedOverUntil returns the time by which a run whose start was ordered before the
// runner's restart has lapsed, if the new incarnation never answers. The runner's clock is
// another since, so that any call for a former incarnation, also one of a former owner, grants
// the longest lease, until the runner has seen its token.
func (t *Table) carriedOverUntil(x *run) time.Time {
	sentBy := later(x.runner.restartedAt, x.unansweredAt)
	if x.runner.acceptedToken {
		return t.longestLeaseFrom(sentBy.Add(secondRestartWait))
	}
	return t.longestLeaseFrom(later(sentBy, t.formerOwnerEnd).Add(maxCallDelay))
}
