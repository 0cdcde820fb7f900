package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times after which a step that found no room is tried again; they bound the
// work of a pass while many steps wait.
const (
	blockedPause = 50 * time.Millisecond
	// blockedFill is the same for steps that fill, among many runners: each try
	// costs a prediction for every one of them.
	blockedFill = 150 * time.Millisecond
)

// isBlocked reports whether a step has found no room a moment ago.
func (t *Table) isBlocked(st *stepState, now time.Time) bool {
	pause := blockedPause
	if st.spec.Fills && t.isLarge() {
		pause = blockedFill
	}
	return now.Sub(st.blockedAt) < pause
}

// A candidate is a step with tasks that may start.
type candidate struct {
	st    *stepState
	tier  int
	dueBy time.Time
}

// Tiers of urgency. Work that can still meet its objective goes before work
// that is late, and that before work that earns nothing any more.
const (
	tierOnTime = iota
	tierLate
	tierWorthless
)

// lateFactor bounds, in objectives, the time in which late work still counts.
const lateFactor = 3

// Schedule places the tasks that may start now.
func (t *Table) Schedule(now time.Time) {
	if !t.recheck {
		return
	}
	t.recheck = false
	certain := t.isCertain(now)
	clear(t.noRoom)
	for _, c := range t.candidates(now) {
		if !certain && c.st.s.sub.Owner < t.fence {
			continue
		}
		t.fill(c.st, now)
	}
}

// candidates returns the steps that have tasks to start, most urgent first.
//
// Load: bursts in which more work is due than fits. Submissions of the same
// priority go by the time at which they stop earning in full, so that waiting
// is spread over those that can bear it.
func (t *Table) candidates(now time.Time) []candidate {
	var list []candidate
	for _, s := range t.unfinished() {
		if s.opened < s.sub.Occurrences() {
			t.open(s, now)
		}
		for _, occ := range s.occs {
			if occ.left == 0 {
				continue
			}
			for _, st := range occ.steps {
				if st.ready && st.wait > 0 && st.left > 0 && !t.isBlocked(st, now) {
					list = append(list, newCandidate(st, now))
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.st.s.queue.Priority, b.st.s.queue.Priority),
			a.dueBy.Compare(b.dueBy),
			cmp.Compare(a.st.s.sub.ID, b.st.s.sub.ID),
		)
	})
	return list
}

func newCandidate(st *stepState, now time.Time) candidate {
	since := st.occ.dueAt
	c := candidate{st: st, dueBy: since.Add(st.s.objective)}
	if st.spec.LongRunning {
		return c
	}
	switch {
	case now.After(since.Add(lateFactor * st.s.objective)):
		c.tier = tierWorthless
	case now.After(c.dueBy):
		c.tier = tierLate
	}
	return c
}

// fill starts as many waiting tasks of a step as fit.
func (t *Table) fill(st *stepState, now time.Time) {
	if t.awaitsPermits(st, now) {
		return
	}
	if st.spec.Gang {
		t.fillGang(st, now)
		return
	}
	for i := range st.tasks {
		k := &st.tasks[i]
		if k.done || len(k.runs) > 0 {
			continue
		}
		if t.hadNoRoom(st) {
			st.blockedAt = now
			return
		}
		r := t.choose(st, k, now)
		if r == nil {
			st.blockedAt = now
			t.noteNoRoom(st, k)
			return
		}
		t.start(st, i, r, now)
	}
}

// A shape is what decides, besides sizes, on which runners a task may start.
type shape struct {
	service  string
	label    string
	image    string
	fills    bool
	affinity string
}

func (st *stepState) shape() shape {
	return shape{st.s.queue.Service, st.spec.RequiredLabel, st.spec.Image, st.spec.Fills, st.spec.Affinity}
}

// hadNoRoom reports whether a task of the same shape that is no larger has
// found no runner in this pass.
//
// Load: bursts in which hundreds of steps wait. Without it each of them would
// look at every runner.
func (t *Table) hadNoRoom(st *stepState) bool {
	least, ok := t.noRoom[st.shape()]
	return ok && least.Fits(st.spec.Resources)
}

// noteNoRoom remembers the size of a task that found no runner, unless rules of
// its own kept it from some.
func (t *Table) noteNoRoom(st *stepState, k *task) {
	if st.byHost != nil || k.avoid != "" || st.s.queue.NeedsPermits {
		return
	}
	t.noRoom[st.shape()] = st.spec.Resources
}

// fillGang starts all members of a gang together, or none.
func (t *Table) fillGang(st *stepState, now time.Time) {
	if st.wait < len(st.tasks) {
		return
	}
	var number int64
	var placed []*run
	for i := range st.tasks {
		number = max(number, t.nextRun(&st.tasks[i]))
	}
	for i := range st.tasks {
		r := t.choose(st, &st.tasks[i], now)
		if r == nil {
			for _, x := range placed {
				t.unplace(x)
			}
			return
		}
		placed = append(placed, t.place(st, i, r, number, now))
	}
	for _, x := range placed {
		t.order(x, now)
	}
}

// unplace takes back a placement that was not ordered.
func (t *Table) unplace(x *run) {
	rec, recheck := t.rec, t.recheck
	t.rec = discard
	t.end(x, x.startedAt, "")
	t.rec, t.recheck = rec, recheck
}

// choose returns the best runner for a task, or nil.
func (t *Table) choose(st *stepState, k *task, now time.Time) *runner {
	var best *runner
	bestScore := math.Inf(-1)
	for _, r := range t.runners {
		if !t.allows(r, st, k, now) {
			continue
		}
		score := t.score(r, st, now)
		if score > bestScore || (score == bestScore && r.info.ID < best.info.ID) {
			best, bestScore = r, score
		}
	}
	return best
}

// allows reports whether a task may start on a runner now.
func (t *Table) allows(r *runner, st *stepState, k *task, now time.Time) bool {
	return st.isPermitted(r, now) && t.isAble(r, st, k, now)
}

// isAble reports whether a task could start on a runner now, permits aside.
func (t *Table) isAble(r *runner, st *stepState, k *task, now time.Time) bool {
	switch {
	case !r.listed, !t.isKnown(r, now), r.info.Draining, r.info.Service != st.s.queue.Service, t.evacuated[r.info.DataCentre]:
		return false
	case now.Before(r.suspendedUntil), now.Sub(r.heardAt) > staleAfter:
		return false
	case !st.spec.Reserved().Fits(r.free()):
		return false
	case st.spec.RequiredLabel != "" && !r.hasLabel(st.spec.RequiredLabel):
		return false
	case st.byHost != nil && st.byHost[r.info.ID] >= st.spec.MaxPerRunner:
		return false
	case k.avoid == r.info.ID && len(k.failures) > 0 && len(t.runners) > 1:
		return false
	case st.spec.Fills:
		return !r.halted && r.spare() >= fillFloor*float64(r.fills+st.spec.MilliCores) &&
			t.disturbed.headroom(r, st, now) >= 0
	}
	return true
}

const (
	// staleAfter is the silence after which a runner gets no new work.
	staleAfter = 2500 * time.Millisecond
	// fillFloor is the least share of its processors that a filling task should
	// find unused.
	fillFloor = 0.8
	// servingLoad is the share of its processors that a serving task uses.
	servingLoad = 0.6
)

// claimed returns the processors that a task of a step keeps from what fills,
// in milliCores.
func claimed(st *stepState) float64 {
	switch {
	case st.spec.Fills:
		return 0
	case st.spec.TailTarget > 0:
		return servingLoad * float64(st.spec.MilliCores)
	default:
		return float64(st.spec.MilliCores)
	}
}

// spare estimates the processors that filling tasks can use, in milliCores.
func (r *runner) spare() float64 { return float64(r.info.Capacity.MilliCores) - r.claimed }

// strikeCost is the cost of a failure that was not followed by a success, in
// shares of a runner's capacity.
const strikeCost = 0.5

// scoreService rates a runner for a service. Services of one image are packed
// on the same runners: each image bars its runner to the filling images that
// disturb it, and runners without any service are open to all.
func (r *runner) scoreService(image string) float64 {
	used := float64(r.used.MilliCores) / float64(max(1, r.info.Capacity.MilliCores))
	strangers := len(r.services)
	if r.servingOf[image] > 0 {
		strangers--
	}
	switch {
	case strangers > 0:
		return used - float64(strangers)
	case len(r.services) == 0:
		return 1 - used
	default:
		return 2 + used
	}
}

// score rates a runner for a task; the highest is taken.
func (t *Table) score(r *runner, st *stepState, now time.Time) float64 {
	capacity := float64(max(1, r.info.Capacity.MilliCores))
	score := -strikeCost * float64(len(r.strikes))
	switch {
	case st.spec.Fills:
		score += (r.spare()-float64(r.fills))/capacity + min(1, 2*t.disturbed.headroom(r, st, now))
	case st.spec.TailTarget > 0:
		score += r.scoreService(st.spec.Image)
	default:
		score += float64(r.free().MilliCores)/capacity - 0.2*float64(r.fills)/capacity
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

// rack returns the rack of the first task of a step that runs.
func (st *stepState) rack() (rack string, ok bool) {
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			return x.runner.info.Rack, true
		}
	}
	return "", false
}

// start places and orders one task.
func (t *Table) start(st *stepState, index int, r *runner, now time.Time) {
	t.order(t.place(st, index, r, t.nextRun(&st.tasks[index]), now), now)
}

// nextRun returns a run number higher than any that can exist.
func (t *Table) nextRun(k *task) int64 {
	return max(k.nextRun, t.generation*runsPerGeneration+1)
}

// place enters a run into the table.
func (t *Table) place(st *stepState, index int, r *runner, number int64, now time.Time) *run {
	k := &st.tasks[index]
	x := &run{st: st, index: index, number: number, runner: r, startedAt: now, movedAt: now, pace: fullPace}
	if len(k.runs) == 0 && !k.done {
		st.wait--
	}
	k.runs = append(k.runs, x)
	k.nextRun = max(k.nextRun, number+1)
	r.runs[runKey{x.id(), number}] = x
	r.used = r.used.Plus(st.spec.Reserved())
	r.countImages(st, 1)
	if st.byHost != nil {
		st.byHost[r.info.ID]++
	}
	s := st.s
	if !s.began {
		s.began = true
		if !s.state.IsFinal() {
			s.state = submitter.Running
		}
	}
	return x
}

// order sends a placed run to its runner.
func (t *Table) order(x *run, now time.Time) {
	r := x.runner
	until := t.LeaseUntil(r.info.ID, now)
	t.recordRun(now, EventStarted, x, "placed")
	t.orders = append(t.orders, Order{
		Kind: Start, Runner: r.info.ID, Lifetime: r.info.Lifetime, Task: x.id(), Run: x.number,
		Spec: x.st.s.sub.Spec, Checkpoint: x.task().checkpoint, Until: until, Ticket: x.st.permits[r.info.ID].ticket,
	})
}
