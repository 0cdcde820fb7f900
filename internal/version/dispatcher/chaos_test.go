package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times of a chaos play.
const (
	chaosStep       = 50 * time.Millisecond
	chaosPoll       = 500 * time.Millisecond
	chaosFaultsEnd  = 15 * time.Second
	chaosSettleTime = 8 * time.Second // longer than leases, suspensions and pauses take together
	// chaosTakeoverTime is how long after a takeover a task may run on a runner that is
	// lost, as far as the new owner knows: until the leases lapse that the former owner
	// may have renewed last.
	chaosTakeoverTime = chaosUnconfirmed + 7500*time.Millisecond
	chaosTakeover     = 8 * time.Second
	// chaosUnconfirmed is how long a former owner that does not answer may go on.
	chaosUnconfirmed = 10 * time.Second
)

// A simRunner is a runner in virtual time.
type simRunner struct {
	id       string
	lifetime int64
	bornAt   time.Time
	isDown   bool
	isLost   bool // for good
	isCut    bool
	downTill time.Time
	cutTill  time.Time
	fence    int64
	leaseEnd int64
	running  map[runKey]bool
	highest  map[submitter.TaskID]int64 // highest run that was stopped or has ended
	ended    []End
	lastEnd  int64
	polledAt time.Time
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

// carryOut carries out an order and returns its outcome.
func (r *simRunner) carryOut(o Order, fence int64, now time.Time) Outcome {
	key := runKey{o.Task, o.Run}
	switch {
	case o.Lifetime != r.lifetime:
		return OtherLifetime
	case fence < r.fence:
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

// A delayedOrder is an order that a runner carries out late and does not answer.
type delayedOrder struct {
	at    time.Time
	order Order
	fence int64
}

// A result is the outcome of an order that reaches the owner later.
type result struct {
	at      time.Time
	order   Order
	outcome Outcome
	fence   int64
	// lifetime is the incarnation of the runner that answered.
	lifetime int64
}

// A chaos is a play of one owner after the other in virtual time with random faults.
type chaos struct {
	t       *rapid.T
	table   *Table
	fence   int64
	now     time.Time
	runners map[string]*simRunner
	subs    []*submitter.Submission
	delayed []delayedOrder
	results []result
	faulty  bool
	saved   map[string]*submitter.Progress // durable progress by submission
	// onStart is called after a runner has started a run, if it is set. It reports
	// whether the owner gets an answer.
	onStart func(r *simRunner, key runKey) (answered bool)
	streaks *streaks
}

func newChaos(t *rapid.T, runners int) *chaos {
	c := &chaos{t: t, now: epoch, runners: make(map[string]*simRunner), faulty: true, saved: make(map[string]*submitter.Progress), streaks: newStreaks()}
	for i := range runners {
		r := &simRunner{id: fmt.Sprintf("r%d", i)}
		r.reset(c.now)
		c.runners[r.id] = r
	}
	c.takeOver(0)
	return c
}

// takeOver replaces the table by that of a new owner.
func (c *chaos) takeOver(generation int64) {
	c.fence = testFence + generation
	former := c.table
	c.table = New(testLimits, c.fence, generation, recorder.Discard{}, c.now)
	c.table.Configure(NewConfiguration(testQueues, nil), c.now)
	if former != nil {
		c.table.ExpectRunners(former.KnownRunners())
		c.table.SetFormerOwnerEnd(c.now.Add(chaosUnconfirmed))
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
		if !r.isDown {
			infos = append(infos, RunnerInfo{ID: r.id, Service: "s", DataCentre: "z", Capacity: testCapacity, Lifetime: r.lifetime})
		}
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
			r.isDown, r.downTill = true, c.now.Add(min(span, time.Second))
			r.reset(c.now)
			c.register()
		case 2:
			if keys := sortedKeys(r.running); len(keys) > 0 {
				r.end(keys[0], Failure)
			}
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
			c.register()
		}
		if r.isCut && !c.now.Before(r.cutTill) {
			r.isCut = false
		}
		if r.leaseEnd > 0 && r.clock(c.now) > r.leaseEnd {
			for _, key := range sortedKeys(r.running) {
				r.end(key, Lapsed)
			}
		}
	}
	c.carryOutDelayed()
	c.poll()
	c.deliver()
	c.table.ConfirmOwnership(c.now)
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

func (c *chaos) carryOutDelayed() {
	c.delayed = slices.DeleteFunc(c.delayed, func(d delayedOrder) bool {
		r := c.runners[d.order.Runner]
		if c.now.Before(d.at) || r.isDown || r.isCut {
			return false
		}
		c.carryOut(r, d.order, d.fence)
		return true
	})
}

func (c *chaos) poll() {
	for _, r := range c.sorted() {
		if c.now.Sub(r.polledAt) < chaosPoll {
			continue
		}
		r.polledAt = c.now
		until := c.table.LeaseUntil(r.id, c.now)
		if r.isDown || r.isCut {
			c.table.PollFailed(r.id, r.isDown, c.now)
			continue
		}
		r.fence = max(r.fence, c.fence)
		if until > 0 {
			r.leaseEnd = max(r.leaseEnd, min(until, r.clock(c.now)+testLimits.MaxLease.Milliseconds()))
		}
		acked := c.table.Acknowledgeable(r.id, c.now)
		r.ended = slices.DeleteFunc(r.ended, func(e End) bool { return e.N <= acked })
		rep := Report{Lifetime: r.lifetime, Clock: r.clock(c.now), Ended: slices.Clone(r.ended)}
		for _, key := range sortedKeys(r.running) {
			rep.Running = append(rep.Running, RunStatus{Task: key.task, Run: key.run, Percent: 100})
		}
		c.table.Report(r.id, rep, c.now, c.now)
	}
}

// send passes the orders of the table to the runners. Some get no answer, and are carried
// out at once, late, or never.
func (c *chaos) send() {
	for _, o := range c.table.Orders() {
		r := c.runners[o.Runner]
		if o.Kind == Start {
			c.streaks.start(o, r.isCut || r.isDown, c.now)
		}
		timeout := result{c.now.Add(400 * time.Millisecond), o, Unanswered, c.fence, 0}
		lost := 0
		if c.faulty {
			lost = rapid.IntRange(0, 20).Draw(c.t, "lost")
		}
		switch {
		case r.isDown:
			c.results = append(c.results, result{c.now, o, NotSent, c.fence, 0})
		case r.isCut, lost == 1:
			c.results = append(c.results, timeout)
		case lost == 2:
			late := c.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(c.t, "late")) * time.Millisecond)
			c.delayed = append(c.delayed, delayedOrder{late, o, c.fence})
			c.results = append(c.results, timeout)
		case lost == 3:
			c.carryOut(r, o, c.fence)
			c.results = append(c.results, timeout)
		default:
			outcome, answered := c.carryOut(r, o, c.fence)
			if !answered {
				c.results = append(c.results, timeout)
				continue
			}
			c.results = append(c.results, result{c.now, o, outcome, c.fence, r.lifetime})
		}
	}
}

// carryOut lets a runner carry out an order.
func (c *chaos) carryOut(r *simRunner, o Order, fence int64) (outcome Outcome, answered bool) {
	key := runKey{o.Task, o.Run}
	wasRunning := r.running[key]
	outcome = r.carryOut(o, fence, c.now)
	if c.onStart == nil || wasRunning || !r.running[key] {
		return outcome, true
	}
	return outcome, c.onStart(r, key)
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
		switch res.order.Kind {
		case Start:
			c.table.ApplyStart(res.order, res.outcome, res.lifetime, c.now)
		case Stop:
			c.table.ApplyStop(res.order, res.outcome, c.now)
		case Pace:
			c.table.ApplyPace(res.order, res.outcome, c.now)
		}
	}
	records := c.table.Unsaved(1000)
	for _, rec := range records {
		c.saved[rec.ID] = rec.Progress
	}
	c.table.Saved(records)
}

// runsOf returns the runners on which a task runs.
func (c *chaos) runsOf(id submitter.TaskID) (on []string) {
	for _, r := range c.sorted() {
		for key := range r.running {
			if key.task == id {
				on = append(on, r.id)
			}
		}
	}
	return on
}

// check fails the play if a task runs twice at once.
func (c *chaos) check() {
	for _, sub := range c.subs {
		if sub.Steps[0].Speculative {
			continue
		}
		for i := range sub.Steps[0].Count {
			id := submitter.TaskID{Submission: sub.ID, Index: i}
			if on := c.runsOf(id); len(on) > 1 {
				c.t.Fatalf("%s: task %s runs on %v", c.now.Sub(epoch), id, on)
			}
		}
	}
}

// Long-running tasks run again within a few seconds after the last of a series of faults,
// if the runners have room, and never twice at once: runners that are cut off, that crash
// and come back under their id, orders that are lost, carried out without an answer, or
// carried out late, tasks that fail, and owners that change meanwhile. A submission
// may fail only if several runners in a row were lost under one of its tasks.
func TestLongRunningTasksRunAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		c := newChaos(r, 6)
		lost := c.runners["r5"] // is lost for good some time
		lossAt := time.Duration(rapid.IntRange(0, int(chaosFaultsEnd/time.Millisecond)).Draw(r, "loss")) * time.Millisecond
		for i := range 4 {
			step := oneCore(4)
			step.LongRunning = true
			if i == 0 {
				step.MaxPerRunner = 1
			}
			sub := &submitter.Submission{ID: fmt.Sprintf("s%d", i), Queue: "urgent", Steps: []submitter.Step{step}, AcceptedAt: c.now, Owner: c.fence}
			c.subs = append(c.subs, sub)
			c.table.Add(sub, nil, c.now)
		}
		takeover := time.Duration(rapid.IntRange(0, int(2*chaosTakeover/time.Millisecond)).Draw(r, "takeover")) * time.Millisecond
		for generation := int64(1); c.now.Sub(epoch) < chaosFaultsEnd; c.step() {
			if !lost.isLost && c.now.Sub(epoch) > lossAt {
				lost.isLost, lost.isDown, lost.downTill = true, true, c.now.Add(time.Hour)
				lost.reset(c.now)
				c.register()
			}
			if generation == 1 && c.now.Sub(epoch) > takeover {
				c.takeOver(generation)
				generation++
			}
		}
		c.faulty = false
		settled := epoch.Add(max(chaosFaultsEnd+chaosSettleTime, takeover+chaosTakeoverTime))
		for c.now.Before(settled) {
			c.step()
		}
		for _, sub := range c.subs {
			if state, _ := c.table.State(sub.ID); state == submitter.Failed && c.streaks.excuse(sub) {
				continue
			}
			for i := range sub.Steps[0].Count {
				id := submitter.TaskID{Submission: sub.ID, Index: i}
				if on := c.runsOf(id); len(on) != 1 {
					r.Errorf("task %s runs on %v at %s, want one runner", id, on, settled.Sub(epoch))
				}
			}
		}
	})
}
