package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// RunnerInfo is the entry of a runner in the registry, written by the runner
// itself.
type RunnerInfo struct {
	ID string `json:"id"`
	// Service names the service whose queues the runner takes tasks from.
	Service    string   `json:"service"`
	Address    string   `json:"address"`
	DataCentre string   `json:"dataCentre"`
	Rack       string   `json:"rack,omitempty"`
	Labels     []string `json:"labels,omitempty"`
	// Capacity may shrink and grow while the runner runs.
	Capacity submitter.Resources `json:"capacity"`
	// Lifetime distinguishes successive incarnations of a runner under one ID.
	Lifetime int64 `json:"lifetime"`
	Draining bool  `json:"draining,omitempty"`
}

// A runner is the owner's state of one runner.
type runner struct {
	info RunnerInfo
	// entry is the newest registry entry. It may be of an incarnation that the owner does not
	// know yet, if the host's time has jumped back.
	entry RunnerInfo
	// isRegistered is false once the registry has dropped the runner's entry.
	isRegistered bool
	// wasReleased says that former owners have left nothing on the runner and started
	// nothing there after that: the stored roster that this owner has found does not name it.
	wasReleased bool
	// acceptedToken is true once the runner has reported under the owner's fencing
	// token.
	acceptedToken   bool
	tokenAcceptedAt time.Time
	// acceptedAt is when the newest poll was sent that the runner's current incarnation
	// has answered, or zero.
	acceptedAt  time.Time
	capacity    capacityStatements
	used        submitter.Resources
	usedForLong submitter.Resources // the part of used that long-running tasks take
	reserved    *reservation        // as of the last tick, or nil
	heldFor     *stepState          // a long-running step to whose new tasks others leave the runner, or nil
	promised    submitter.Resources // room for tasks that are owed it, as of the last tick
	runs        map[runKey]*run
	suspects    int         // suspected runs on probation here
	isolatedFor *submission // the submission of the suspected runs, or nil
	lostAt      time.Time   // when all that ran here was last known to be lost
	lapsed      []*run      // suspected runs that have lapsed here since the current incarnation last answered
	adrift      []*run      // runs that have lapsed since then and that it is not known to have begun

	// token is the fencing token of the calls to the current incarnation, if isTokenUsed since
	// a call may have been sent with it.
	token       int64
	isTokenUsed bool
	// formerLifetimes holds the incarnation before the current one, and earlier ones that are
	// higher: a host's time may jump back.
	formerLifetimes []int64
	// isDoubted says that an answer showed a clock that does not fit the incarnation, which no
	// poll has answered since.
	isDoubted bool
	// isKnownFromStart says that the former incarnation had accepted the owner's token, so that
	// this owner sees all ends of the current one.
	isKnownFromStart bool
	// restartedAt is when this owner last learnt that the process was restarted, or zero.
	restartedAt time.Time
	answeredAt  time.Time    // when the newest answer arrived
	clock       int64        // the runner's clock in that answer, ms
	maxLeaseEnd int64        // the latest lease end that was sent, ms on the runner's clock
	lastEnd     int64        // number of the newest end that was processed
	pending     []pendingEnd // processed ends that were not acknowledged yet, oldest first
	// acked is the highest end that was acknowledged, and received the highest one that the
	// runner has dropped.
	acked, received int64

	failedSubmissions map[string]bool      // submissions that failed here since the last success
	suspendedUntil    time.Time            // when the runner may get new work again after failures of tasks
	pausedUntil       time.Time            // when it may after a start that it has not carried out
	silentSince       time.Time            // when a poll first failed since the last answer, or zero
	unknownRuns       map[runKey]time.Time // when runs of unknown submissions were first reported
	// unknownStoppedAt is when a stop was last ordered for a run that is not in the
	// table.
	unknownStoppedAt time.Time
	// bestEffort is what the best-effort runs use, with those in the background at
	// backgroundPace; background is the part of the latter.
	bestEffort, background bestEffortUse
	expectedUse            float64 // milliCores that other tasks are expected to use
	serving                int     // tasks with a tail latency target
	// worstTail is the highest ratio of a tail latency to its target in the newest
	// report.
	worstTail float64
	// room is, by serving image, the share of its capacity that best-effort tasks may
	// take by the newest report, at roomAt, of the runner.
	room   map[string]float64
	roomAt time.Time
	// rooms are those of the services here as of the placement pass roomsPass, or of no use
	// if that is zero.
	rooms     []serviceRoom
	roomsPass int
	// calmSince is the time since which all tail latencies have been calm, or zero.
	calmSince time.Time
	// bestEffortChangedAt is when a best-effort task last ended here, or was started in the
	// background.
	bestEffortChangedAt time.Time
	halted              bool                  // best-effort tasks have been halted
	services            map[string]*stepState // by serving image, a step with tasks here
	servingByImage      map[string]int        // number of tasks by serving image
}

// A runKey identifies a run on a runner.
type runKey struct {
	task submitter.TaskID
	run  int64
}

// A pendingEnd is an end with the number n that a runner has reported. It may be
// acknowledged once the progress of its submission is durable up to a version.
type pendingEnd struct {
	n       int64
	s       *submission
	version int64
	// unclaimed is the end while its submission is not known, and nil from then on.
	unclaimed *End
	// receivedAt is when the end was reported; it is set only if the submission was
	// not known then.
	receivedAt time.Time
}

func newRunner(info RunnerInfo) *runner {
	return &runner{
		info: info, runs: make(map[runKey]*run), failedSubmissions: make(map[string]bool), unknownRuns: make(map[runKey]time.Time),
		worstTail: unknownTailRatio, room: make(map[string]float64),
		services: make(map[string]*stepState), servingByImage: make(map[string]int),
	}
}

// SetRunners applies the runners that the registry lists now.
func (t *Table) SetRunners(infos []RunnerInfo, now time.Time) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		r, ok := t.runners[info.ID]
		if !ok {
			r = t.addRunner(info)
			r.wasReleased = t.isRosterKnown
		}
		if info.Lifetime > r.info.Lifetime && !r.isFormer(info.Lifetime) {
			t.renewToken(r)
			t.resetRunner(r, info.Lifetime, "registry entry", now)
		}
		if r.info.Draining != info.Draining && info.Draining {
			t.recordRunner(now, EventRunnerDraining, r, "registry entry says draining")
		}
		t.registerCapacity(r, info, now)
		lifetime, capacity := r.info.Lifetime, r.info.Capacity
		r.info, r.entry = info, info
		r.info.Lifetime, r.info.Capacity = lifetime, capacity
		r.isRegistered = true
	}
	for id, r := range t.runners {
		if seen[id] || !r.isRegistered {
			continue
		}
		r.isRegistered = false
		t.recordRunner(now, EventRunnerGone, r, "registry entry is gone")
	}
	t.planRoom(now)
	t.placementDue = true
}

// ExpectRunners adds the runners on which a former owner may have started runs. The
// registry may have dropped the entries of some that are still running.
func (t *Table) ExpectRunners(infos []RunnerInfo) {
	t.isRosterKnown = true
	t.formerRoster = votersOf(infos)
	t.RosterStored(infos)
	for _, info := range infos {
		if _, ok := t.runners[info.ID]; !ok {
			t.addRunner(info)
		}
	}
}

// ExpectOtherRunners says that it is not known which runners a former owner may have
// used: until all its leases have lapsed, anything may run on others than those in the
// table.
func (t *Table) ExpectOtherRunners() { t.expectsOthers = true }

// Roster returns the runners on which something may run now, or once those that the
// registry lists are used, in no particular order. A successor waits for what runs there.
//
// Load: runners that leave while owners change. A draining runner is left out as soon as
// all that ran there has ended and its ends are durable, long before it leaves.
func (t *Table) Roster(listed []RunnerInfo, now time.Time) []RunnerInfo {
	infos := make(map[string]RunnerInfo, len(t.runners)+len(listed))
	for id, r := range t.runners {
		infos[id] = r.info
	}
	for _, info := range listed {
		infos[info.ID] = info
	}
	maps.DeleteFunc(infos, func(id string, info RunnerInfo) bool {
		r, ok := t.runners[id]
		return ok && info.Draining && info.Lifetime == r.info.Lifetime && t.isReleased(r, now)
	})
	return slices.Collect(maps.Values(infos))
}

// isReleased reports whether nothing runs on a draining runner and all that has ended there
// is durable. No owner starts anything there any more.
func (t *Table) isReleased(r *runner, now time.Time) bool {
	isUnsettled := func(p pendingEnd) bool { return !p.isSettled(now) }
	return r.info.Draining && len(r.runs) == 0 && (r.wasReleased || t.knowsRunsOn(r, now)) && !slices.ContainsFunc(r.pending, isUnsettled)
}

// Runners returns the runners that have to be polled.
func (t *Table) Runners() []RunnerInfo {
	infos := make([]RunnerInfo, 0, len(t.runners))
	for _, r := range t.runners {
		if r.isRegistered || len(r.runs) > 0 || !r.acceptedToken {
			infos = append(infos, r.info)
		}
	}
	return infos
}

// runsByAge returns the runs on a runner, oldest first.
func (r *runner) runsByAge() []*run {
	runs := make([]*run, 0, len(r.runs))
	for _, x := range r.runs {
		runs = append(runs, x)
	}
	sortByAge(runs)
	return runs
}

// sortByAge sorts runs, oldest first.
func sortByAge(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(a.startedAt.Compare(b.startedAt), a.id().Compare(b.id()), cmp.Compare(a.number, b.number))
	})
}

// lapsedBy returns the time by which every lease on a runner has lapsed if it is
// not renewed, including those of orders that arrive late.
func (t *Table) lapsedBy(r *runner) time.Time {
	switch {
	case !r.answeredAt.IsZero():
	case r.restartedAt.IsZero():
		return t.formerLapse(r.info.ID)
	default:
		// It may carry out a start of a former owner.
		return later(t.formerLapse(r.info.ID), t.longestLeaseFrom(t.formerOwnerEnd.Add(maxCallDelay)))
	}
	left := time.Duration(max(0, r.maxLeaseEnd-r.clock)) * time.Millisecond
	return r.answeredAt.Add(scaleDrift(min(left, 2*t.limits.MaxLease))).Add(lapseMargin)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasLapsed reports whether every lease on a runner has lapsed. A successor may
// renew leases at runners that this owner does not reach, so it also requires that
// this owner had no successor when the leases ended.
//
// A runner that drains, has no registry entry and refuses connections may still be
// running: a network that is cut can cause all three.
func (t *Table) hasLapsed(r *runner, now time.Time) bool {
	return t.isPast(t.lapsedBy(r), now)
}

// isPast reports whether the end of a lease has passed and this owner had no successor
// then.
func (t *Table) isPast(end, now time.Time) bool {
	return !now.Before(end) && !t.ownerConfirmedAt.Before(end)
}

// runHasLapsed reports whether the lease of a run has lapsed on a runner all of whose
// own leases have.
func (t *Table) runHasLapsed(x *run, now time.Time) bool {
	return !x.isCarriedOver || t.isPast(t.carriedOverUntil(x), now)
}

// SetFormerOwnerEnd sets the time up to which a former owner may have renewed
// leases at runners that this owner does not reach. A time before the one that is
// already set is ignored.
func (t *Table) SetFormerOwnerEnd(end time.Time) {
	if end.After(t.formerOwnerEnd) {
		t.formerOwnerEnd = end
	}
}

// SetEarlierOwnersEnd sets the time up to which owners before the former one may have
// renewed leases at runners that this owner does not reach.
func (t *Table) SetEarlierOwnersEnd(end time.Time) {
	t.earlierOwnersEnd = end
	t.SetFormerOwnerEnd(end)
}

// FormerOwnerEnded records that the former owner has stopped, so that it renews no
// more leases. Owners before it may still do so.
func (t *Table) FormerOwnerEnded(now time.Time) {
	if end := later(now, t.earlierOwnersEnd); end.Before(t.formerOwnerEnd) {
		t.formerOwnerEnd = end
		t.placementDue = true
	}
}

// scaleDrift returns the longest real time that a duration on a runner's clock may
// take.
func scaleDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// renewWhileSilent is how long the leases of a silent runner are still renewed: an
// unanswered poll may have reached the runner. It is longer than one lost poll
// takes.
const renewWhileSilent = 2 * time.Second

// confirmationOverdue is how long ago the owner's record was confirmed last if the store
// does not answer.
const confirmationOverdue = 1500 * time.Millisecond

// leaseDuration returns how far beyond the current time leases are granted now.
//
// Load: a store that is silent while owners are stopped or killed. Nobody can succeed
// them before it is back, so leases last as long as they may.
func (t *Table) leaseDuration(now time.Time) time.Duration {
	if now.Sub(t.ownerConfirmedAt) > confirmationOverdue {
		return t.limits.MaxLease
	}
	return t.limits.LeaseDuration
}

// LeaseUntil returns the lease end to send to a runner now, in milliseconds on the
// runner's clock, or zero if that clock is not known. The caller has to send it, as
// it counts as sent.
//
// Load: lost runners. Whatever may still run there can be started elsewhere only
// after the latest lease end that was sent, so a silent runner's lease end is not
// moved further until it answers, and that of a draining one is not moved at all: it may
// have left.
func (t *Table) LeaseUntil(id string, now time.Time) int64 {
	r, ok := t.runners[id]
	if !ok || r.answeredAt.IsZero() || r.isDoubted {
		return 0
	}
	silentFor := min(now.Sub(r.answeredAt), renewWhileSilent)
	if r.info.Draining {
		silentFor = 0
	}
	until := max(1, r.clock+(silentFor+t.leaseLeft(now)).Milliseconds())
	r.maxLeaseEnd = max(r.maxLeaseEnd, until)
	return until
}

// knowsAllRuns reports whether every run that a former owner may have started is in
// the table or has lapsed.
func (t *Table) knowsAllRuns(now time.Time) bool {
	if !t.hasFormerOwner {
		return true
	}
	if t.expectsOthers && !t.othersHaveLapsed(now) {
		return false
	}
	return len(t.awaited(now, 1)) == 0
}

// awaited returns up to limit runners on which a former owner may have started runs that
// are not in the table and have not lapsed.
func (t *Table) awaited(now time.Time, limit int) (runners []*runner) {
	if !t.hasFormerOwner {
		return nil
	}
	for _, r := range t.runners {
		if len(runners) == limit {
			break
		}
		if !r.wasReleased && !t.knowsRunsOn(r, now) && !t.hasLapsed(r, now) {
			runners = append(runners, r)
		}
	}
	return runners
}

// knowsRunsOn reports whether every run on a runner is in the table. A runner's
// report omits runs that are being stopped, so the stops of a former owner and of
// unknown runs must have taken effect.
func (t *Table) knowsRunsOn(r *runner, now time.Time) bool {
	stopped := !t.hasFormerOwner || t.settledByFormer[r.info.ID] || now.Sub(r.tokenAcceptedAt) >= t.maxStopTime()
	return r.acceptedToken && stopped && len(r.unknownRuns) == 0 && now.Sub(r.unknownStoppedAt) >= t.maxStopTime()
}

// MarkSettled records the runners on which the former owner, which has ended, had
// no stop in flight. Orders of the former owner that are still in transit are
// refused because of this owner's fencing token.
func (t *Table) MarkSettled(runners []string, now time.Time) {
	t.FormerOwnerEnded(now)
	t.settledByFormer = make(map[string]bool, len(runners))
	for _, id := range runners {
		t.settledByFormer[id] = true
	}
	t.placementDue = true
}

// Settled returns, sorted by ID, the runners on which every run is known and no stop
// is in flight. A successor need not wait for the stops on these runners once this
// owner gives no more orders.
func (t *Table) Settled(now time.Time) []string {
	var ids []string
	for id, r := range t.runners {
		if t.knowsRunsOn(r, now) && !r.isStopping() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isStopping reports whether a run on the runner is being stopped. Such a run takes
// up room, although the runner may no longer report it.
func (r *runner) isStopping() bool {
	for _, x := range r.runs {
		if x.phase == stopping {
			return true
		}
	}
	return false
}

func (r *runner) free() submitter.Resources { return r.info.Capacity.Minus(r.used) }

// roomForLong returns the room on a runner that long-running tasks leave.
func (r *runner) roomForLong() submitter.Resources { return r.info.Capacity.Minus(r.usedForLong) }

// isUsable reports whether a runner may get new work, as far as the registry says.
func (t *Table) isUsable(r *runner) bool {
	return r.isRegistered && !r.info.Draining && !t.isEvacuated(r.info.DataCentre)
}

func (r *runner) hasLabel(label string) bool { return slices.Contains(r.info.Labels, label) }
