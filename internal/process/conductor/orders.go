package conductor

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// ErrFenced is returned for a runner that has seen the fencing token of a later
// owner.
var ErrFenced = errors.New("runner has seen a higher fencing token")

// Times of calls to runners.
const (
	// orderTimeout is the timeout of one order.
	orderTimeout = 400 * time.Millisecond
	// delayedAfter is the time from the decision of an order to its sending after which
	// the delay is recorded.
	delayedAfter = 500 * time.Millisecond
	// pollWait is how long a runner holds a poll open for a run to end.
	pollWait = time.Second
	// contendedWait replaces pollWait where serving tasks share a runner with
	// best-effort tasks, and while the store does not answer, which call for more frequent
	// polls.
	contendedWait = 500 * time.Millisecond
	// idleWait replaces pollWait where nothing runs.
	idleWait = 1500 * time.Millisecond
	// pollTimeout is the time that a poll may take beyond its wait.
	pollTimeout = 700 * time.Millisecond
	// authorityRetryDelay is the pause before an owner that may not act looks whether it
	// may again.
	authorityRetryDelay = 100 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// saveWaitTimeout limits how long the next poll is delayed until the ended runs
	// that the last poll reported are durable.
	saveWaitTimeout = 300 * time.Millisecond
)

// enqueue lets orders be sent in the background.
func (c *Conductor) enqueue(orders []dispatcher.Order, now time.Time) {
	for range c.queue.push(orders, maxConcurrentOrders, now) {
		c.background.Go(c.sendQueued)
	}
}

// sendQueued sends queued orders until none is left or the term ends.
func (c *Conductor) sendQueued() {
	for {
		next, ok := c.queue.pop()
		if !ok || c.ctx.Err() != nil {
			return
		}
		c.send(next)
	}
}

// send sends an order to a runner, if the order still holds, and applies the result.
func (c *Conductor) send(queued queuedOrder) {
	for !c.opts.MayAct() {
		if !pauser.Sleep(c.ctx, authorityRetryDelay) {
			return
		}
	}
	var order dispatcher.Order
	var address string
	ok := false
	c.apply(func(t *dispatcher.Table, now time.Time) {
		c.authorize(t, now)
		order, ok = t.Confirm(queued.Order, now)
		address = c.address[order.Runner]
	})
	if !ok {
		return
	}
	began := time.Now()
	c.noteWait(order, began.Sub(queued.decidedAt), began)
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	result := c.opts.RunnerClient.Send(ctx, address, order)
	if result.Outcome == dispatcher.Fenced && c.noteSuperseded(order.Runner, order.Token) {
		result.Outcome = dispatcher.OtherLifetime
	}
	outcome := result.Outcome
	if c.ctx.Err() != nil {
		return
	}
	c.opts.Metrics.observeOrder(order.Kind, outcome, time.Since(began))
	if outcome == dispatcher.Fenced {
		c.opts.OnDeposed("runner " + order.Runner + " has seen a higher fencing token")
		return
	}
	c.applyResult(order, result)
}

// noteWait observes how long an order has waited in this daemon until it is sent, and
// records an event if that was long.
func (c *Conductor) noteWait(order dispatcher.Order, waited time.Duration, now time.Time) {
	c.opts.Metrics.orderWaits.Observe(waited)
	if waited < delayedAfter {
		return
	}
	c.opts.Recorder.Record(now, EventOrderDelayed, recorder.Fields{
		"id": order.Task.Submission, "task": order.Task.String(), "run": strconv.FormatInt(order.Run, 10),
		"kind": order.Kind.String(), "runner": order.Runner, "waitedMs": strconv.FormatInt(waited.Milliseconds(), 10),
	})
}

// applyResult passes the result of an order to the table.
func (c *Conductor) applyResult(order dispatcher.Order, result OrderResult) {
	outcome := result.Outcome
	c.apply(func(t *dispatcher.Table, now time.Time) {
		if result.Clock > 0 {
			t.ObserveClock(order, result.Lifetime, result.Clock, now)
		}
		switch order.Kind {
		case dispatcher.Start:
			t.ApplyStart(order, outcome, result.Lifetime, now)
		case dispatcher.Stop:
			t.ApplyStop(order, outcome, now)
		case dispatcher.Pace:
			t.ApplyPace(order, outcome, now)
		}
	})
}

// ownsRunner reports whether a runner belongs to this owner's part.
func (c *Conductor) ownsRunner(id string) bool { return c.opts.Split.RunnerPart(id) == c.opts.Part }

// setRunners applies the registry's list of the part's runners, and runs a poll loop for
// each of them that the table wants polled.
func (c *Conductor) setRunners(infos []dispatcher.RunnerInfo) {
	infos = c.updateRoster(infos)
	c.apply(func(t *dispatcher.Table, now time.Time) {
		t.SetRunners(infos, now)
		polled := make(map[string]bool)
		for _, info := range t.Runners() {
			polled[info.ID] = true
			c.address[info.ID] = info.Address
			if c.pollers[info.ID] == nil {
				c.startPoller(info.ID)
			}
		}
		for id, p := range c.pollers {
			if !polled[id] {
				p.cancel()
				delete(c.pollers, id)
			}
		}
	})
}

// noteSuperseded reports whether a runner has refused a call because this owner has sent it a
// newer fencing token, and records an event if so. The call was meant for a former incarnation.
func (c *Conductor) noteSuperseded(runner string, token int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.IsSuperseded(runner, token) {
		return false
	}
	c.opts.Recorder.Record(time.Now(), EventFormerCallRefused, map[string]string{"runner": runner, "token": strconv.FormatInt(token, 10)})
	return true
}

// A poller is a running poll loop of one runner.
type poller struct {
	cancel context.CancelFunc
	// interrupt ends the poll that is under way, if any. It is used under the conductor's mu.
	interrupt context.CancelFunc
}

// interruptPoll ends the poll of a runner that is under way, as it was meant for a former
// incarnation. The next one follows at once. c.mu must be held.
func (c *Conductor) interruptPoll(id string) {
	if p := c.pollers[id]; p != nil && p.interrupt != nil {
		p.interrupt()
	}
}

// startPoller starts the poll loop of a runner. c.mu must be held.
func (c *Conductor) startPoller(id string) {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &poller{cancel: cancel}
	c.pollers[id] = p
	c.background.Go(func() {
		defer cancel()
		c.pollRunner(ctx, p, id)
	})
}

// pollRunner polls one runner repeatedly: it renews the runner's leases and passes
// its reports to the table.
func (c *Conductor) pollRunner(ctx context.Context, p *poller, id string) {
	for ctx.Err() == nil {
		saved := c.savedSignal()
		to, poll, ok := c.nextPoll(p, id)
		if !ok {
			return
		}
		if !c.opts.MayAct() || poll.Token == 0 {
			pauser.Sleep(ctx, authorityRetryDelay)
			continue
		}
		sentAt := time.Now()
		report, err := c.poll(ctx, p, to, poll)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.Canceled) {
			continue
		}
		c.opts.Metrics.observePoll(err, time.Since(sentAt)-poll.Wait)
		switch {
		case errors.Is(err, ErrFenced) && c.noteSuperseded(id, poll.Token):
		case errors.Is(err, ErrFenced):
			c.opts.OnDeposed("runner " + id + " has seen a higher fencing token")
			return
		case err != nil:
			c.notePollFailure(id, err)
			pauser.Sleep(ctx, pollRetryDelay)
		default:
			isCurrent := false
			c.apply(func(t *dispatcher.Table, now time.Time) {
				t.Report(id, report, sentAt, now)
				isCurrent = !t.IsSuperseded(id, report.Token)
			})
			if isCurrent && len(report.Ended) > 0 {
				c.awaitSave(ctx, saved)
			}
		}
	}
}

// poll sends a poll, which interruptPoll ends early.
func (c *Conductor) poll(ctx context.Context, p *poller, to dispatcher.RunnerInfo, poll Poll) (report dispatcher.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, poll.Wait+pollTimeout)
	defer cancel()
	c.mu.Lock()
	p.interrupt = cancel
	isCurrent := !c.table.IsSuperseded(to.ID, poll.Token)
	c.mu.Unlock()
	if !isCurrent {
		return report, context.Canceled
	}
	report, err = c.opts.RunnerClient.Poll(ctx, to, poll)
	report.Token = poll.Token
	return report, err
}

// nextPoll returns the next poll of a runner; ok is false if the table no longer
// has the runner. The poll has no token if the runner can't be called yet.
func (c *Conductor) nextPoll(p *poller, id string) (to dispatcher.RunnerInfo, poll Poll, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok = c.table.Runner(id)
	if !ok {
		if c.pollers[id] == p {
			delete(c.pollers, id) // the runner may come back
		}
		return to, poll, false
	}
	poll = Poll{Wait: pollWait}
	now := time.Now()
	c.authorize(c.table, now)
	if poll.Token, ok = c.table.Token(id); !ok {
		return to, poll, true
	}
	poll.LeaseEnd = c.table.LeaseUntil(id, now)
	poll.Acked = c.table.Acknowledgeable(id, now)
	switch {
	case poll.LeaseEnd == 0, c.table.IsSilent(id):
		poll.Wait = 0
	case c.table.NeedsFrequentPolls(id), c.table.IsUnconfirmed(now):
		poll.Wait = contendedWait
	case c.table.IsIdle(id):
		poll.Wait = idleWait
	}
	return to, poll, true
}

// notePollFailure passes a failed poll to the table, and records an event if the runner
// has stopped answering.
func (c *Conductor) notePollFailure(id string, err error) {
	c.apply(func(t *dispatcher.Table, now time.Time) {
		if t.PollFailed(id, now) {
			c.opts.Recorder.Record(now, EventRunnerSilent, map[string]string{"runner": id, "error": err.Error()})
		}
	})
}

// awaitSave waits until the ended runs of a report are durable, so that the next
// poll acknowledges them. A poll without the acknowledgement would return the same
// runs at once.
func (c *Conductor) awaitSave(ctx context.Context, saved <-chan struct{}) {
	timer := time.NewTimer(saveWaitTimeout)
	defer timer.Stop()
	select {
	case <-saved:
	case <-timer.C:
	case <-ctx.Done():
	}
}
