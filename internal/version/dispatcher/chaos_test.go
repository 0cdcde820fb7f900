package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/holder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times of a chaos play.
const (
	chaosStep       = 50 * time.Millisecond
	chaosAnswerTime = 300 * time.Millisecond // of the slowest answer
	chaosPoll       = 500 * time.Millisecond
	chaosCallDelay  = 12 * time.Second // the longest for which a call is on its way
	chaosFaultsEnd  = 15 * time.Second
	chaosSettleTime = 8 * time.Second // longer than leases, suspensions and pauses take together
	// chaosTakeoverTime is how long after a takeover a task may run on a runner that is
	// lost, as far as the new owner knows: until the leases lapse that the former owner
	// may have renewed last.
	chaosTakeoverTime = chaosUnconfirmed + 7500*time.Millisecond
	chaosTakeover     = 8 * time.Second
	// chaosCarryOverTime is how long after the restart of a runner that is lost then a
	// task may run there, as far as the owner knows: an order from before the restart may
	// be on its way, and starts it for the longest lease. The owner hears of the restart
	// up to two seconds later.
	chaosCarryOverTime = chaosSettleTime + chaosCallDelay + 2*time.Second
	// chaosIsolationTime is how much longer a task that may have crashed runners may wait:
	// until another such task has been seen running for long enough on the runner that it
	// is to start on, which takes up to one poll and one tick more.
	chaosIsolationTime = probation + chaosPoll + 4*chaosStep
	// chaosUnconfirmed is how long a former owner that does not answer may go on.
	chaosUnconfirmed = 10 * time.Second
)

// A result is the outcome of an order that reaches the owner later.
type result struct {
	at      time.Time
	order   Order
	outcome Outcome
	fence   int64
	// lifetime is the incarnation that answered, and clock the reading of its clock. Both
	// are zero without an answer.
	lifetime, clock int64
}

// A lateReport is a report that reaches the owner later.
type lateReport struct {
	at     time.Time
	runner string
	report Report
	sentAt time.Time
	fence  int64
}

// A chaos is a play of one owner after the other in virtual time with random faults.
type chaos struct {
	t     *rapid.T
	table *Table
	fence int64
	// revision is that of the store, which changes with each step.
	revision int64
	now      time.Time
	runners  map[string]*simRunner
	subs     []*submitter.Submission
	waiting  []delayedOrder // decided and not sent yet; at is when they are sent
	delayed  []delayedOrder
	results  []result
	reports  []lateReport
	polls    []delayedPoll
	faulty   bool
	// refusesOthers says that runners refuse orders for another incarnation. Without it,
	// an order names only the runner, and any incarnation carries it out.
	refusesOthers bool
	// namesLifetime says that answers to orders name the incarnation.
	namesLifetime bool
	// resizing says that runners shrink and grow as well.
	resizing bool
	// statesCapacity says that runners state their capacities in their reports.
	statesCapacity bool
	// handsOver says that each owner reports to its successor what it leaves.
	handsOver  bool
	departures *departures                    // of a play in which runners leave, or nil
	saved      map[string]*submitter.Progress // durable progress by submission
	// onStart is called after a runner has started a run, if it is set. It reports
	// whether the owner gets an answer.
	onStart func(r *simRunner, key runKey) (answered bool)
	streaks *streaks
}

func newChaos(t *rapid.T, runners int) *chaos {
	c := &chaos{
		t: t, revision: testFence, now: epoch, runners: make(map[string]*simRunner), faulty: true, saved: make(map[string]*submitter.Progress), streaks: newStreaks(),
		refusesOthers: rapid.Bool().Draw(t, "refusesOthers"), namesLifetime: rapid.Bool().Draw(t, "namesLifetime"),
	}
	for i := range runners {
		c.addRunner(fmt.Sprintf("r%d", i))
	}
	c.takeOver(0)
	return c
}

// addRunner adds a runner that is registered.
func (c *chaos) addRunner(id string) {
	r := &simRunner{id: id, stoppedBy: make(map[runKey]int64), resizes: []resize{{c.now, testCapacity, c.now}}}
	r.reset(c.now)
	r.listed = r.lifetime
	c.runners[id] = r
}

// takeOver replaces the table by that of a new owner.
func (c *chaos) takeOver(generation int64) {
	c.revision++
	c.fence = c.revision
	former := c.table
	if c.departures != nil && former != nil {
		c.departures.takeOver(generation)
		return
	}
	c.table = New(testLimits, c.fence, generation, recorder.Discard{}, c.now)
	c.table.Configure(NewConfiguration(testQueues, nil), c.now)
	if former != nil {
		c.table.ExpectRunners(former.Roster(nil, c.now))
		c.table.SetFormerOwnerEnd(c.now.Add(chaosUnconfirmed))
	}
	if former != nil && c.handsOver {
		c.table.MarkSettled(former.Settled(c.now), c.now)
		c.table.ExpectLapses(former.Lapses(c.now))
	}
	for _, sub := range c.subs {
		c.table.Add(sub, c.saved[sub.ID], c.now)
	}
	c.register()
}

func (c *chaos) sorted() []*simRunner {
	return slices.SortedFunc(maps.Values(c.runners), func(a, b *simRunner) int { return strings.Compare(a.id, b.id) })
}

func (c *chaos) register() {
	var infos []RunnerInfo
	for _, r := range c.sorted() {
		if r.listed > 0 {
			infos = append(infos, RunnerInfo{ID: r.id, Service: "s", DataCentre: "z", Capacity: r.registered(c.now), Lifetime: r.listed, Draining: r.isDraining})
		}
	}
	if c.departures != nil {
		infos = c.departures.updateRoster(infos)
	}
	c.table.SetRunners(infos, c.now)
}

// inject starts random faults.
func (c *chaos) inject() {
	for _, r := range c.sorted() {
		if r.isLost {
			continue
		}
		span := time.Duration(rapid.IntRange(200, 5000).Draw(c.t, "span")) * time.Millisecond
		switch rapid.IntRange(0, 120).Draw(c.t, "fault") {
		case 0:
			c.streaks.lose(r.id, c.now)
			r.isCut, r.cutTill = true, c.now.Add(span)
		case 1:
			c.streaks.lose(r.id, c.now)
			r.isDown, r.downTill, r.listedAt = true, c.now.Add(min(span, time.Second)), time.Time{}
			r.reset(c.now)
			r.restarts++
			if rapid.Bool().Draw(c.t, "noticed") {
				r.listed = 0
			}
			c.register()
		case 2:
			if keys := sortedKeys(r.running); len(keys) > 0 {
				r.end(keys[0], Failure)
			}
		}
		if c.resizing {
			c.resizeAtRandom(r)
		}
	}
}

func sortedKeys(runs map[runKey]bool) []runKey {
	return slices.SortedFunc(maps.Keys(runs), func(a, b runKey) int { return strings.Compare(a.task.String(), b.task.String()) })
}

// step advances the time by chaosStep.
func (c *chaos) step() {
	c.now = c.now.Add(chaosStep)
	if c.faulty && int(c.now.Sub(epoch)/chaosStep)%4 == 0 {
		c.inject()
	}
	for _, r := range c.sorted() {
		if r.isDown && !c.now.Before(r.downTill) {
			r.isDown = false
			r.listedAt = c.now.Add(c.delay("registry", time.Second))
		}
		if !r.listedAt.IsZero() && !c.now.Before(r.listedAt) {
			r.listed, r.listedAt = r.lifetime, time.Time{}
			c.register()
		}
		if r.isCut && !c.now.Before(r.cutTill) {
			r.isCut = false
		}
		r.lapse(c.now)
	}
	c.carryOutDelayed()
	if c.isResizeDue() {
		c.register()
	}
	c.poll()
	c.deliver()
	c.table.ConfirmOwnership(c.now)
	c.table.Authorize(0, 0, c.now)
	c.revision++
	c.table.AllowTokens(c.revision)
	if int(c.now.Sub(epoch)/chaosStep)%4 == 0 {
		c.table.Tick(c.now)
	}
	c.table.Schedule(c.now)
	for _, r := range c.sorted() {
		c.streaks.end(r.running, c.now)
	}
	c.send()
	c.check()
}

// delay draws a time of up to a longest one, or zero after the faults.
func (c *chaos) delay(of string, longest time.Duration) time.Duration {
	if !c.faulty {
		return 0
	}
	return time.Duration(rapid.IntRange(0, int(longest/time.Millisecond)).Draw(c.t, of)) * time.Millisecond
}

// carryOut passes an order to a runner and returns its answer.
func (c *chaos) carryOut(r *simRunner, o Order) result {
	res := result{at: c.now, order: o, outcome: OtherLifetime, fence: c.fence, lifetime: r.lifetime, clock: r.clock(c.now)}
	if c.refusesOthers && o.Lifetime != r.lifetime {
		return res
	}
	key := runKey{o.Task, o.Run}
	wasRunning := r.running[key]
	res.outcome = r.carryOut(o, c.now)
	if c.onStart != nil && !wasRunning && r.running[key] && !c.onStart(r, key) {
		res.outcome = Unanswered
	}
	return res
}

func (c *chaos) poll() {
	for _, r := range c.sorted() {
		if c.now.Sub(r.polledAt) < chaosPoll {
			continue
		}
		r.polledAt = c.now
		poll, hasToken := newHold(c.table, r.id, c.now)
		if !hasToken {
			continue
		}
		if r.isDown || r.isCut || c.delayPoll(r, poll) {
			c.table.PollFailed(r.id, c.now)
			continue
		}
		rep, ok := r.hold(poll, c.now)
		if !ok {
			c.t.Fatalf("%s: %s has seen token %d and refuses a poll of the owner with %d", c.now.Sub(epoch), r.id, r.fence, poll.token)
		}
		if c.statesCapacity {
			rep.Capacity = holder.Known(r.capacity())
		}
		c.reports = append(c.reports, lateReport{c.now.Add(c.delay("report", chaosAnswerTime)), r.id, rep, c.now, c.fence})
	}
	c.reports = slices.DeleteFunc(c.reports, func(late lateReport) bool {
		if c.now.Before(late.at) {
			return false
		}
		if late.fence == c.fence {
			c.table.Report(late.runner, late.report, late.sentAt, c.now)
		}
		return true
	})
}

// dueOrders returns the orders to send now. While there are faults, some wait before they
// are sent.
func (c *chaos) dueOrders() (due []Order) {
	for _, o := range c.table.Orders() {
		wait := 0
		if c.faulty && rapid.IntRange(0, 10).Draw(c.t, "waits") == 1 {
			wait = rapid.IntRange(0, 4000).Draw(c.t, "wait")
		}
		c.waiting = append(c.waiting, delayedOrder{at: c.now.Add(time.Duration(wait) * time.Millisecond), order: o, fence: c.fence})
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(d delayedOrder) bool {
		if c.now.Before(d.at) {
			return false
		}
		if d.fence == c.fence { // else the owner that decided the order has ended
			if o, ok := c.table.Confirm(d.order, c.now); ok {
				due = append(due, o)
			}
		}
		return true
	})
	return due
}

// send passes the orders of the table to the runners. Some get no answer, and are carried
// out at once, late, or never.
func (c *chaos) send() {
	for _, o := range c.dueOrders() {
		r := c.runners[o.Runner]
		if o.Kind == Start {
			c.streaks.start(o, r.isCut || r.isDown, c.now)
		}
		c.checkStart(r, o)
		timeout := result{at: c.now.Add(400 * time.Millisecond), order: o, outcome: Unanswered, fence: c.fence}
		lost := 0
		if c.faulty {
			lost = rapid.IntRange(0, 20).Draw(c.t, "lost")
		}
		switch {
		case r.isDown:
			c.results = append(c.results, result{at: c.now, order: o, outcome: NotSent, fence: c.fence})
		case r.isCut, lost == 1:
			c.results = append(c.results, timeout)
		case lost == 2:
			late := c.now.Add(time.Duration(rapid.IntRange(100, int(chaosCallDelay/time.Millisecond)).Draw(c.t, "late")) * time.Millisecond)
			c.delayed = append(c.delayed, delayedOrder{late, c.now, o, c.fence})
			c.results = append(c.results, timeout)
		case lost == 3:
			c.carryOut(r, o)
			c.results = append(c.results, timeout)
		default:
			res := c.carryOut(r, o)
			if res.outcome == Unanswered {
				c.results = append(c.results, timeout)
				continue
			}
			res.at = c.now.Add(c.delay("answer", chaosAnswerTime))
			c.results = append(c.results, res)
		}
	}
}

func (c *chaos) deliver() {
	due := c.results
	c.results = nil
	for _, res := range due {
		if c.now.Before(res.at) {
			c.results = append(c.results, res)
			continue
		}
		if res.fence != c.fence {
			continue // the owner that sent the order has ended
		}
		lifetime := res.lifetime
		if !c.namesLifetime {
			lifetime = 0
		}
		if res.clock > 0 {
			c.table.ObserveClock(res.order, lifetime, res.clock, c.now)
		}
		switch res.order.Kind {
		case Start:
			c.table.ApplyStart(res.order, res.outcome, lifetime, c.now)
		case Stop:
			c.table.ApplyStop(res.order, res.outcome, c.now)
			if res.outcome == Succeeded {
				c.runners[res.order.Runner].stoppedBy[runKey{res.order.Task, res.order.Run}] = res.lifetime
			}
		case Pace:
			c.table.ApplyPace(res.order, res.outcome, c.now)
		}
	}
	if c.departures != nil {
		c.departures.save()
		return
	}
	records := c.table.Unsaved(1000)
	for _, rec := range records {
		c.saved[rec.ID] = rec.Progress
	}
	c.table.Saved(records)
}

// runs returns the runners on which each task runs.
func (c *chaos) runs() map[submitter.TaskID][]string {
	runs := make(map[submitter.TaskID][]string)
	for _, r := range c.sorted() {
		for key := range r.running {
			runs[key.task] = append(runs[key.task], r.id)
		}
	}
	return runs
}

// runsOf returns the runners on which a task runs.
func (c *chaos) runsOf(id submitter.TaskID) []string { return c.runs()[id] }

// tasks returns all tasks of the play, in order.
func (c *chaos) tasks() (ids []submitter.TaskID) {
	for _, sub := range c.subs {
		for i := range sub.Steps[0].Count {
			ids = append(ids, submitter.TaskID{Submission: sub.ID, Index: i})
		}
	}
	return ids
}

// check fails the play if a task runs twice at once.
func (c *chaos) check() {
	runs := c.runs()
	for _, id := range c.tasks() {
		if on := runs[id]; len(on) > 1 && !c.isSpeculative(id) {
			c.t.Fatalf("%s: task %s runs on %v", c.now.Sub(epoch), id, on)
		}
	}
}

func (c *chaos) isSpeculative(id submitter.TaskID) bool {
	return slices.ContainsFunc(c.subs, func(s *submitter.Submission) bool { return s.ID == id.Submission && s.Steps[0].Speculative })
}

// mayHaveFailed reports whether a submission has failed and so many runners were lost under
// one of its tasks that it may.
func (c *chaos) mayHaveFailed(id string) bool {
	state, _ := c.table.State(id)
	return state == submitter.Failed && slices.ContainsFunc(c.subs, func(s *submitter.Submission) bool { return s.ID == id && c.streaks.excuse(s) })
}

// assertAllRun checks that each task runs on one runner, unless its submission may have
// failed. A suspect under which a runner was lost early has longer: it is kept apart from
// others like it until they have proved harmless.
func (c *chaos) assertAllRun() {
	c.t.Helper()
	c.assertRun(func(id submitter.TaskID) bool { return c.streaks.worst[id] == 0 || !c.isSuspect(id) })
	for end := c.now.Add(chaosIsolationTime); c.now.Before(end); {
		c.step()
	}
	c.assertRun(func(submitter.TaskID) bool { return true })
}

// isSuspect reports whether the owner counts losses of runners under a task.
func (c *chaos) isSuspect(id submitter.TaskID) bool {
	st := c.table.subs[id.Submission].step(id.Occurrence, id.Step)
	return st != nil && len(st.tasks[id.Index].crashes) > 0
}

// assertRun checks that each of some tasks runs on one runner, unless its submission may
// have failed.
func (c *chaos) assertRun(isChecked func(submitter.TaskID) bool) {
	c.t.Helper()
	runs := c.runs()
	for _, id := range c.tasks() {
		if on := runs[id]; len(on) != 1 && isChecked(id) && !c.mayHaveFailed(id.Submission) {
			c.t.Errorf("task %s runs on %v at %s, want one runner", id, on, c.now.Sub(epoch))
		}
	}
}
