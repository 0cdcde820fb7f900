package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Pauses after which the placement of a step is tried again if no runner had room for
// one of its tasks. They bound the work of a placement pass while many steps wait.
const (
	blockedPause = 50 * time.Millisecond
	// blockedBestEffortPause is the pause of best-effort steps among many runners,
	// where each attempt costs a prediction for every runner.
	blockedBestEffortPause = 150 * time.Millisecond
)

// isBlocked reports whether the last attempt to place a task of a step found no
// runner with room, so recently that the step is not tried again yet. Long-running tasks are
// tried as soon as one of them has ended.
//
// Load: interrupted long-running tasks beside a stream of small ones, which would fill the
// room that a long-running task leaves within the pause.
func (t *Table) isBlocked(st *stepState, now time.Time) bool {
	if st.spec.LongRunning && t.longEndedAt.After(st.blockedAt) {
		return false
	}
	pause := blockedPause
	if st.spec.Fills && t.isLarge() {
		pause = blockedBestEffortPause
	}
	return now.Sub(st.blockedAt) < pause
}

// A candidate is a step with tasks that may start.
type candidate struct {
	st       *stepState
	tier     int
	priority int
	// work is what is left of a best-effort submission, in milliCores times seconds.
	work float64
	// dueBy is the time up to which the submission earns its full value.
	dueBy time.Time
	// isTurn says that the candidate is for one task that goes before other work.
	isTurn bool
}

// Tiers of urgency. Work that can still meet its objective goes first, then late
// work, then work that has lost its value.
const (
	tierOnTime = iota
	tierLate
	tierExpired
)

// lateFactor is the multiple of its objective after which late work has lost its
// value.
const lateFactor = 3

// Schedule runs a placement pass: it places the tasks that may start now and orders
// their starts. It does nothing if nothing that placement depends on has changed
// since the last pass.
func (t *Table) Schedule(now time.Time) {
	if !t.IsPlacementDue(now) {
		return
	}
	t.beginPass()
	defer t.endPass()
	allRunsKnown := t.knowsAllRuns(now)
	list := t.candidates(now)
	t.holdRunners(list, allRunsKnown, now)
	t.startKept(allRunsKnown, now)
	for _, c := range list {
		if t.isQueueFull() || t.isExhausted() {
			break
		}
		if t.isPutOff(c.st.blockedAt) {
			continue
		}
		// A former owner may have started tasks where runs are not known yet.
		isKnown := t.isKnown(c.st, allRunsKnown)
		if c.isTurn {
			t.startTurn(c, isKnown, now)
		} else {
			t.promote(c.st, now)
			t.startWaiting(c.st, math.MaxInt, isKnown, now)
			t.noteLack(c, now)
		}
	}
	if t.isExhausted() {
		t.putOffRest(now)
	} else {
		t.endRound()
	}
}

// IsPlacementDue reports whether Schedule would run a placement pass now. It waits while the
// leases are so short that what is started would lapse.
func (t *Table) IsPlacementDue(now time.Time) bool {
	return t.placementDue && t.leaseLeft(now) >= minPlacementLease
}

// candidates returns the steps that have tasks to start, most urgent first.
//
// Load: bursts in which more work is due than fits. Submissions of the same
// priority are ordered by the time at which they stop earning their full value, so
// that those wait that can best afford to. Work that is late takes turns.
func (t *Table) candidates(now time.Time) []candidate {
	var list []candidate
	t.owedTurns = 0
	for _, s := range t.unfinished() {
		if s.isMoving {
			continue
		}
		if s.opened < s.sub.Occurrences() {
			t.openDue(s, now)
		}
		queue, ok := s.queue.Get()
		if !ok {
			continue
		}
		for _, occ := range s.occs {
			if occ.remaining == 0 {
				continue
			}
			for _, st := range occ.steps {
				if !st.ready || st.remaining == 0 || (st.waiting == 0 && !st.isInBackground()) {
					continue
				}
				isBlocked := t.isBlocked(st, now)
				if isBlocked && occ.runs > 0 {
					continue
				}
				c := newCandidate(st, queue, now)
				isOwedTurn := t.isOwedTurn(c, now)
				if isOwedTurn {
					t.owedTurns++
				}
				if isBlocked {
					continue
				}
				list = append(list, c)
				if isOwedTurn {
					list = append(list, c.asTurn(now))
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.priority, b.priority),
			compareTurns(a, b),
			cmp.Compare(a.work, b.work),
			a.dueBy.Compare(b.dueBy),
			cmp.Compare(a.st.s.sub.ID, b.st.s.sub.ID),
		)
	})
	return list
}

func newCandidate(st *stepState, queue submitter.Queue, now time.Time) candidate {
	since := st.occ.dueAt
	c := candidate{st: st, priority: queue.Priority, dueBy: since.Add(st.s.objective)}
	if st.spec.LongRunning {
		return c
	}
	if st.spec.Fills {
		c.work = st.s.remainingWork()
	}
	switch {
	case now.Add(st.occ.chain).After(since.Add(lateFactor * st.s.objective)):
		c.tier = tierExpired
	case now.Add(st.occ.chain).After(c.dueBy):
		c.tier = tierLate
	}
	return c
}

// startWaiting starts as many waiting tasks of a step as fit, up to a limit, or a gang with
// all its tasks. If not all runs are known that a former owner may have started, it starts
// only tasks that it has taken over, and gangs of them.
//
// Load: a change of owners after which a runner stays silent, or has been lost for good,
// while tasks that the new owner has taken over fail on the others.
func (t *Table) startWaiting(st *stepState, limit int, allRunsKnown bool, now time.Time) {
	if t.awaitsPermits(st, now) {
		return
	}
	if st.spec.Gang {
		mayStart := allRunsKnown || !slices.ContainsFunc(st.tasks, func(k task) bool { return !k.isTakenOver(st) })
		if mayStart && !t.startGang(st, now) {
			st.blockedAt = now
			if st.s.needsPermits() {
				t.requestPermits(st, now) // the runners with permits have no room for all members
			}
		}
		return
	}
	first, blockedAt := st.nextTask, st.blockedAt
	if first > 0 {
		st.nextTask, st.blockedAt = 0, now // tasks before it have found no room
	}
	for i := first; i < len(st.tasks); i++ {
		k := &st.tasks[i]
		if k.done || len(k.runs) > 0 || (!allRunsKnown && !k.isTakenOver(st)) {
			continue
		}
		if limit == 0 || t.isQueueFull() {
			return
		}
		if t.isPutOff(blockedAt) {
			st.nextTask, st.blockedAt = i, blockedAt
			return
		}
		isSuspected := k.isSuspected(now)
		if !isSuspected && t.hadNoRoom(st, k) && !t.hasReservedRoom(st) {
			st.blockedAt = now
			st.attempts.passedOver++
			if st.crashed > 0 || t.isNew(st, k) {
				continue // a runner may be held for another task, or owed to it
			}
			return
		}
		r := t.choose(st, k, now)
		if r == nil {
			st.blockedAt = now
			st.attempts.failed++
			if k.avoid != "" || len(k.crashes) > 0 {
				continue // another task may run on a runner that this one has to avoid
			}
			t.recordNoRoom(st, k)
			if st.crashed > 0 || t.isNew(st, k) {
				continue
			}
			return
		}
		t.start(st, i, r, now)
		limit--
	}
}

// isTakenOver reports whether a task may start again although not all runs are known that a
// former owner may have started: this owner knows every run of the task, and need not learn
// of earlier failures to know that it has attempts left.
func (k *task) isTakenOver(st *stepState) bool {
	return k.isTracked && (st.spec.LongRunning || k.failures.Count() == 0)
}

// A shape holds the properties of a task, other than its resources, that decide on
// which runners it may start.
type shape struct {
	service    string
	label      string
	image      string
	bestEffort bool
	isNew      bool
	background bool
}

func (t *Table) shapeOf(st *stepState, k *task) shape {
	return shape{st.s.service(), st.spec.RequiredLabel, st.spec.Image, st.spec.Fills, t.isNew(st, k), t.inBackground(st)}
}

// hadNoRoom reports whether no runner in this placement pass had room for some task of
// the same shape that was no larger than the given one.
//
// Load: bursts in which hundreds of steps wait. Without this check, each of them
// would try every runner.
func (t *Table) hadNoRoom(st *stepState, k *task) bool {
	return slices.ContainsFunc(t.noRoom[t.shapeOf(st, k)], func(size submitter.Resources) bool { return size.Fits(st.spec.Resources) })
}

// recordNoRoom records, for hadNoRoom, the size and shape of a task that avoids no runner
// and for which none had room. It records nothing if the task may have been excluded from
// some runners by its step's limit per runner, as others run there, or by missing permits.
func (t *Table) recordNoRoom(st *stepState, k *task) {
	if (st.runsByRunner != nil && st.occ.runs > 0) || st.s.needsPermits() {
		return
	}
	full := t.shapeOf(st, k)
	t.addNoRoom(full, st.spec.Resources)
	if full.background && t.haveMemoryForBackground(st) && !t.hasUnpaced(st) {
		full.background = false // less room is needed in the background
		t.addNoRoom(full, st.spec.Resources)
	}
}

// addNoRoom records a size for which no runner has room, in place of all that are no smaller.
func (t *Table) addNoRoom(of shape, size submitter.Resources) {
	t.noRoom[of] = append(slices.DeleteFunc(t.noRoom[of], size.Fits), size)
}

// startGang starts all members of a gang together, or none. It reports whether there was
// room for all of them, or a member has a run.
func (t *Table) startGang(st *stepState, now time.Time) bool {
	if st.waiting < len(st.tasks) {
		return true
	}
	var number int64
	var placed []*run
	for i := range st.tasks {
		number = max(number, t.nextRun(st, i))
	}
	for _, i := range st.suspectsFirst(now) {
		r := t.choose(st, &st.tasks[i], now)
		if r == nil {
			for _, x := range placed {
				t.unplace(x)
			}
			return false
		}
		placed = append(placed, t.place(st, i, r, number, now))
	}
	for _, x := range placed {
		t.orderStart(x, now)
	}
	return true
}

// unplace removes a placed run from the table before its start is ordered. It records
// no event, causes no placement pass and leaves the number of the run unused.
func (t *Table) unplace(x *run) {
	rec, placementDue, endedAt, longEndedAt := t.rec, t.placementDue, x.task().endedAt, t.longEndedAt
	t.rec = discard
	t.end(x, x.startedAt, "")
	t.rec, t.placementDue, x.task().endedAt, t.longEndedAt = rec, placementDue, endedAt, longEndedAt
}

// choose returns the best runner on which a task may start now, or nil.
func (t *Table) choose(st *stepState, k *task, now time.Time) *runner {
	return t.chooseOther(st, k, nil, now)
}

// chooseOther returns the best runner other than one on which a task may start now, or
// nil.
func (t *Table) chooseOther(st *stepState, k *task, than *runner, now time.Time) *runner {
	var best *runner
	bestScore := math.Inf(-1)
	isSuspected := k.isSuspected(now)
	t.evaluations += len(t.runners)
	for _, r := range t.runners {
		if r == than || !t.canStart(r, st, k, now) {
			continue
		}
		score := t.score(r, st, now)
		if isSuspected {
			score = -float64(r.used.MilliCores) // the less runs there, the less is lost
		}
		if score > bestScore || (score == bestScore && r.info.ID < best.info.ID) {
			best, bestScore = r, score
		}
	}
	return best
}

// canStart reports whether a task may start on a runner now.
func (t *Table) canStart(r *runner, st *stepState, k *task, now time.Time) bool {
	return st.isPermitted(r, now) && t.isEligible(r, st, k, now)
}

// isEligible reports whether a task may start on a runner now, apart from permits.
func (t *Table) isEligible(r *runner, st *stepState, k *task, now time.Time) bool {
	return t.obstacle(r, st, k, now) == eligible
}

const (
	// staleAfter is the time without an answer after which a runner gets no new
	// work.
	staleAfter = 2500 * time.Millisecond
	// minBestEffortShare is the least share of the processors requested by the
	// best-effort tasks on a runner that the other tasks there have to leave unused.
	minBestEffortShare = 0.8
	// servingLoad is the share of its requested processors that a serving task
	// uses.
	servingLoad = 0.6
)

// expectedUse returns the processors that a task of a step keeps from best-effort
// tasks, in milliCores.
func expectedUse(st *stepState) float64 {
	switch {
	case st.spec.Fills:
		return 0
	case st.spec.TailTarget > 0:
		return servingLoad * float64(st.spec.MilliCores)
	default:
		return float64(st.spec.MilliCores)
	}
}

// spare estimates the processors that best-effort tasks on a runner can use, in
// milliCores: those that the other tasks there leave unused.
func (r *runner) spare() float64 { return float64(r.info.Capacity.MilliCores) - r.expectedUse }

// failureCost is what each submission that failed on a runner since the last success
// there takes off the runner's score, in shares of the runner's capacity.
const failureCost = 0.5

// lastResortCost is what a suspension takes off a runner's score, more than all else adds.
const lastResortCost = 1000

// needsLastResort reports whether tasks of a step have waited for so long that they may
// start on suspended runners.
//
// Load: long-running tasks that fail again and again, on all runners. Tasks fail of
// themselves, and with all runners suspended none would run.
func (st *stepState) needsLastResort(now time.Time) bool {
	return st.spec.LongRunning && !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= reserveAfter
}

// scoreService rates a runner for a task of a service with the given image. Services
// of one image are packed on the same runners: a serving image keeps the best-effort
// images that interfere with it off its runners, while runners without any service
// accept all best-effort images.
func (r *runner) scoreService(image string) float64 {
	used := float64(r.used.MilliCores) / float64(max(1, r.info.Capacity.MilliCores))
	otherImages := len(r.services)
	if r.servingByImage[image] > 0 {
		otherImages--
	}
	switch {
	case otherImages > 0:
		return used - float64(otherImages)
	case len(r.services) == 0:
		return 1 - used
	default:
		return 2 + used
	}
}

// score rates a runner for a task; the highest score wins.
func (t *Table) score(r *runner, st *stepState, now time.Time) float64 {
	capacity := float64(max(1, r.info.Capacity.MilliCores))
	score := -failureCost * float64(len(r.failedSubmissions))
	if now.Before(r.suspendedUntil) {
		score -= lastResortCost
	}
	switch {
	case t.inBackground(st):
		score += t.scoreForBackground(r, st, now)
	case st.spec.Fills:
		score += (r.spare()-float64(r.bestEffort.milliCores))/capacity + t.match(r, st, now)
	case st.spec.TailTarget > 0:
		score += r.scoreService(st.spec.Image)
	default:
		// The tightest fit leaves the largest gaps, for tasks of many cores.
		score -= float64(r.free().MilliCores) / capacity
	}
	if st.spec.Affinity != "" && !r.hasLabel(st.spec.Affinity) {
		score -= t.limits.CrossRackSlowdown
	}
	if st.spec.SameRack {
		if rack, ok := st.rack(); ok && rack != r.info.Rack {
			score -= t.limits.CrossRackSlowdown
		}
	}
	return score
}

// rack returns the rack of the runner on which the first task of the step that has a
// run was started. ok is false if no task has a run.
func (st *stepState) rack() (rack string, ok bool) {
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			return x.runner.info.Rack, true
		}
	}
	return "", false
}

// start places one task of a step on a runner and orders its start.
func (t *Table) start(st *stepState, index int, r *runner, now time.Time) {
	t.orderStart(t.place(st, index, r, t.nextRun(st, index), now), now)
}

// nextRun returns a number for the next run of a task. It is higher than that of any
// run that this owner, a former one, or the owner of a former part may have started.
func (t *Table) nextRun(st *stepState, index int) int64 {
	return max(st.tasks[index].nextRun, st.s.sub.FirstRun()+t.generation*runsPerGeneration+1)
}

// place adds a run of a task on a runner to the table, without ordering its start.
func (t *Table) place(st *stepState, index int, r *runner, number int64, now time.Time) *run {
	k := &st.tasks[index]
	x := &run{st: st, index: index, number: number, runner: r, startedAt: now, progressedAt: now, pace: fullPace, confirmedPace: fullPace, onProbation: true}
	if k.isSuspected(now) {
		t.isolate(x)
	}
	if len(k.runs) == 0 && !k.done {
		st.waiting--
	}
	t.takeSpare(r, st, k)
	if st.occ.runs == 0 {
		x.idleBefore = now.Sub(st.occ.idleSince())
	}
	k.runs = append(k.runs, x)
	st.occ.runs++
	t.noteTurn(x)
	k.isTracked = true
	r.runs[runKey{x.id(), number}] = x
	r.used = r.used.Plus(st.spec.Reserved())
	if st.spec.LongRunning {
		r.usedForLong = r.usedForLong.Plus(st.spec.Reserved())
	}
	r.adjustUse(x, 1)
	if st.runsByRunner != nil {
		st.runsByRunner[r.info.ID]++
	}
	return x
}

// useNumber keeps the number of a run from being used again.
func (x *run) useNumber() { x.task().nextRun = max(x.task().nextRun, x.number+1) }

// orderStart orders the start of a placed run.
func (t *Table) orderStart(x *run, now time.Time) {
	r := x.runner
	x.useNumber()
	t.claim(r, x.st)
	until := t.LeaseUntil(r.info.ID, now)
	t.recordRun(now, EventStarted, x, x.placement())
	t.recordResumed(x, now)
	t.enqueue(x)
	o := newOrder(Start, r, runKey{x.id(), x.number})
	o.Spec, o.Checkpoint, o.Until, o.Ticket = x.st.s.sub.Spec, x.st.checkpoint(x.task()), until, x.st.permits[r.info.ID].ticket
	t.orders = append(t.orders, o)
}
