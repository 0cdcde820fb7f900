package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// ErrFenced is returned for a runner that has seen the fencing token of a later
// owner.
var ErrFenced = errors.New("runner has seen a higher fencing token")

// ErrConnectionRefused is returned for a runner at whose address no process accepts
// connections, as after the end of its process. A connection that was closed while it was
// open does not show that: the network may have cut it.
var ErrConnectionRefused = errors.New("runner's address refuses connections")

// Times of calls to runners.
const (
	// orderTimeout is the timeout of one order.
	orderTimeout = 400 * time.Millisecond
	// pollWait is how long a runner holds a poll open for a run to end.
	pollWait = time.Second
	// contendedWait replaces pollWait where serving tasks share a runner with
	// best-effort tasks, which calls for more frequent polls.
	contendedWait = 500 * time.Millisecond
	// idleWait replaces pollWait where nothing runs.
	idleWait = 1500 * time.Millisecond
	// pollTimeout is the time that a poll may take beyond its wait.
	pollTimeout = 700 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// saveWaitTimeout limits how long the next poll is delayed until the ended runs
	// that the last poll reported are durable.
	saveWaitTimeout = 300 * time.Millisecond
)

// send sends an order to a runner in the background.
func (c *Conductor) send(address string, order dispatcher.Order) {
	c.background.Go(func() {
		select {
		case c.orderSlots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.orderSlots }()
		began := time.Now()
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		result := c.opts.RunnerClient.Send(ctx, address, order, c.opts.Fence)
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
	})
}

// applyResult passes the result of an order to the table.
func (c *Conductor) applyResult(order dispatcher.Order, result OrderResult) {
	outcome := result.Outcome
	c.apply(func(t *dispatcher.Table, now time.Time) {
		if result.Clock > 0 {
			t.ObserveClock(order.Runner, result.Lifetime, result.Clock, now)
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
				ctx, cancel := context.WithCancel(c.ctx)
				c.pollers[info.ID] = cancel
				c.background.Go(func() { c.pollRunner(ctx, info.ID) })
			}
		}
		for id, cancel := range c.pollers {
			if !polled[id] {
				cancel()
				delete(c.pollers, id)
			}
		}
	})
}

// pollRunner polls one runner repeatedly: it renews the runner's leases and passes
// its reports to the table.
func (c *Conductor) pollRunner(ctx context.Context, id string) {
	for ctx.Err() == nil {
		saved := c.savedSignal()
		to, poll, ok := c.nextPoll(id)
		if !ok {
			return
		}
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, poll.Wait+pollTimeout)
		report, err := c.opts.RunnerClient.Poll(callCtx, to, poll)
		cancel()
		if ctx.Err() != nil {
			return
		}
		c.opts.Metrics.observePoll(err, time.Since(sentAt)-poll.Wait)
		switch {
		case errors.Is(err, ErrFenced):
			c.opts.OnDeposed("runner " + id + " has seen a higher fencing token")
			return
		case err != nil:
			c.notePollFailure(id, err)
			pauser.Sleep(ctx, pollRetryDelay)
		default:
			c.apply(func(t *dispatcher.Table, now time.Time) { t.Report(id, report, sentAt, now) })
			if len(report.Ended) > 0 {
				c.awaitSave(ctx, saved)
			}
		}
	}
}

// nextPoll returns the next poll of a runner; ok is false if the table no longer
// has the runner.
func (c *Conductor) nextPoll(id string) (to dispatcher.RunnerInfo, poll Poll, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok = c.table.Runner(id)
	if !ok {
		return to, poll, false
	}
	poll = Poll{Fence: c.opts.Fence, Wait: pollWait}
	now := time.Now()
	poll.LeaseEnd = c.table.LeaseUntil(id, now)
	poll.Acked = c.table.Acknowledgeable(id, now)
	switch {
	case poll.LeaseEnd == 0:
		poll.Wait = 0
	case c.table.NeedsFrequentPolls(id):
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
		if t.PollFailed(id, errors.Is(err, ErrConnectionRefused), now) {
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
