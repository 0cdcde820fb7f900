package dispatcher

import (
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

const (
	// EventStarted is recorded when a start is ordered.
	EventStarted recorder.Number = 6100
	// EventStartRefused is recorded when a start was refused, failed or was not
	// answered.
	EventStartRefused recorder.Number = 6101
	// EventEnded is recorded when a run has ended or is known to be lost.
	EventEnded recorder.Number = 6102
	// EventStopping is recorded when a stop is ordered.
	EventStopping recorder.Number = 6103
	// EventFinished is recorded when a submission reaches a final state.
	EventFinished recorder.Number = 6104
	// EventAdopted is recorded when a run that a former owner started is taken
	// over, or one that has lapsed on the clock of a former incarnation of its runner.
	EventAdopted recorder.Number = 6105
	// EventPaced is recorded when the pace of a best-effort task is changed.
	EventPaced recorder.Number = 6106
	// EventWaiting is recorded when tasks of a ready step, or all tasks of a best-effort
	// one, have had no run for some seconds, of a few steps at a tick. It counts the runners
	// by what keeps the tasks from them, as a start in the background finds them if that is
	// due, and says what became of the attempts to start them.
	EventWaiting recorder.Number = 6107
	// EventResumed is recorded when something of a submission is started of which nothing
	// has run for 10 s or more, as far as the owner knows.
	EventResumed recorder.Number = 6108
	// EventRunnerDraining is recorded when a runner's registry entry says that it
	// is draining.
	EventRunnerDraining recorder.Number = 6110
	// EventRunnerGone is recorded when the registry has dropped a runner's entry.
	EventRunnerGone recorder.Number = 6111
	// EventRunnerReborn is recorded when a runner has a new incarnation.
	EventRunnerReborn recorder.Number = 6112
	// EventRunnerSuspended is recorded when a runner gets no new work for a while
	// because tasks of different submissions failed or made no progress there.
	EventRunnerSuspended recorder.Number = 6113
	// EventRunnerLapsed is recorded when the leases of a silent runner have lapsed.
	EventRunnerLapsed recorder.Number = 6114
	// EventCrashing is recorded when a submission is failed because runners were lost
	// soon after starts of one of its tasks. It names the task, its runs and these
	// runners.
	EventCrashing recorder.Number = 6115
	// EventRunnerCapacity is recorded when the capacity of a runner has changed, with
	// what its runs take up.
	EventRunnerCapacity recorder.Number = 6116
	// EventRunsKnown is recorded once a new owner knows all runs that its predecessor may
	// have started, with the runners that it has waited for last.
	EventRunsKnown recorder.Number = 6117
	// EventQuorum is recorded once so many runners of the roster that a new owner has found
	// have accepted its fencing token that no former owner has a quorum any more. None of
	// them moves the end of a lease from then on.
	EventQuorum recorder.Number = 6118
	// EventRoomKept is recorded when room begins to be kept for tasks of a late step, or of a
	// long-running one, and when it no longer is. It names up to three
	// of the runners; a step is recorded at most each ten seconds.
	EventRoomKept recorder.Number = 6119
	// EventEndsMissing is recorded when a report lacks ends that the runner's incarnation
	// must have numbered and this owner has not acknowledged: from the number first to the
	// number last.
	EventEndsMissing recorder.Number = 6120
	// EventRestartAccepted is recorded when a new incarnation of a runner has answered a poll
	// with its fencing token, so that it refuses calls for the former ones. The report counts
	// what those may have left there.
	EventRestartAccepted recorder.Number = 6121
	// EventRunnerDoubted is recorded when the answer to an order shows a clock that is behind
	// that of the runner's known incarnation, so that the runner has probably been restarted.
	EventRunnerDoubted recorder.Number = 6122
)

// record records an event about a submission. The pairs are alternating names and
// values of further fields.
func (t *Table) record(now time.Time, number recorder.Number, s *submission, runnerID string, pairs ...string) {
	fields := recorder.Fields{"id": s.sub.ID, "queue": s.sub.Queue, "ageMs": age(now, s.addedAt)}
	if runnerID != "" {
		fields["runner"] = runnerID
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[pairs[i]] = pairs[i+1]
	}
	t.rec.Record(now, number, fields)
}

func (t *Table) recordRun(now time.Time, number recorder.Number, x *run, reason string) {
	t.rec.Record(now, number, recorder.Fields{
		"id": x.st.s.sub.ID, "task": x.id().String(), "run": strconv.FormatInt(x.number, 10),
		"runner": x.runner.info.ID, "reason": reason, "percent": strconv.Itoa(x.percent),
		"heardMs": age(now, x.runner.answeredAt), "ranMs": age(now, x.startedAt),
		"incarnation": strconv.FormatInt(x.runner.info.Lifetime, 10), "carriedOver": strconv.FormatBool(x.isCarriedOver),
		"token": strconv.FormatInt(x.runner.token, 10),
	})
}

func (t *Table) recordRunner(now time.Time, number recorder.Number, r *runner, reason string) {
	t.rec.Record(now, number, recorder.Fields{
		"runner": r.info.ID, "reason": reason, "runs": strconv.Itoa(len(r.runs)),
		"heardMs": age(now, r.answeredAt), "incarnation": strconv.FormatInt(r.info.Lifetime, 10),
		"leaseLeftMs": strconv.FormatInt(max(0, r.maxLeaseEnd-r.clock), 10),
	})
}

// recordRestart records a new incarnation of a runner, and what the former one may still be
// sent: calls with the highest end that was acknowledged to it, and with lease ends on its clock.
func (t *Table) recordRestart(now time.Time, r *runner, lifetime int64, reason string) {
	t.rec.Record(now, EventRunnerReborn, recorder.Fields{
		"runner": r.info.ID, "reason": reason, "runs": strconv.Itoa(len(r.runs)), "heardMs": age(now, r.answeredAt),
		"incarnation": strconv.FormatInt(lifetime, 10), "former": strconv.FormatInt(r.info.Lifetime, 10),
		"formerClockMs": strconv.FormatInt(r.clock, 10), "formerLeaseEndMs": strconv.FormatInt(r.maxLeaseEnd, 10),
		"formerAcked": strconv.FormatInt(r.acked, 10), "formerToken": strconv.FormatInt(r.token, 10),
	})
}

// recordAcceptance records the first report of a new incarnation of a runner.
func (t *Table) recordAcceptance(now time.Time, r *runner, rep Report) {
	t.rec.Record(now, EventRestartAccepted, recorder.Fields{
		"runner": r.info.ID, "incarnation": strconv.FormatInt(r.info.Lifetime, 10), "token": strconv.FormatInt(r.token, 10),
		"waitedMs": age(now, r.restartedAt), "running": strconv.Itoa(len(rep.Running)), "ended": strconv.Itoa(len(rep.Ended)),
	})
}

// recordMissingEnds records a gap in the numbers of the ends that a runner has reported.
func (t *Table) recordMissingEnds(now time.Time, r *runner, next int64) {
	t.rec.Record(now, EventEndsMissing, recorder.Fields{
		"runner": r.info.ID, "incarnation": strconv.FormatInt(r.info.Lifetime, 10),
		"first": strconv.FormatInt(r.lastEnd+1, 10), "last": strconv.FormatInt(next-1, 10),
	})
}

// age returns the milliseconds since a time, or "never" for the zero time.
func age(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return strconv.FormatInt(now.Sub(then).Milliseconds(), 10)
}
