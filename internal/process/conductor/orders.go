package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// ErrFenced says that a runner obeys another owner.
var ErrFenced = errors.New("runner has seen a higher fencing token")

// ErrConnectionClosed says that a runner has closed its connection or its port, as it does
// at its end.
var ErrConnectionClosed = errors.New("runner has closed its connection")

// Times of calls to runners.
const (
	// orderTimeout bounds one order.
	orderTimeout = 400 * time.Millisecond
	// lookWait is how long a runner waits for an end.
	lookWait = time.Second
	// contendedWait is lookWait where serving and filling tasks share a runner.
	contendedWait = 500 * time.Millisecond
	// idleWait is lookWait where nothing runs.
	idleWait = 1500 * time.Millisecond
	// lookTimeout is what a look may take beyond its wait.
	lookTimeout = 700 * time.Millisecond
	// lookRetry is the pause after a failed look.
	lookRetry = 250 * time.Millisecond
	// savePatience is how long a look is put off for ends to become durable.
	savePatience = 300 * time.Millisecond
)

// send carries out an order in the background.
func (c *Conductor) send(address string, order dispatcher.Order) {
	c.background.Go(func() {
		select {
		case c.orders <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.orders }()
		began := time.Now()
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
		defer cancel()
		answer := c.opts.Agents.Send(ctx, address, order, c.opts.Fence)
		outcome := answer.Outcome
		if c.ctx.Err() != nil {
			return
		}
		c.opts.Metrics.observe(order.Kind, outcome, time.Since(began))
		if outcome == dispatcher.Fenced {
			c.opts.Deposed("runner " + order.Runner + " has seen a higher fencing token")
			return
		}
		c.settle(order, answer)
	})
}

// settle reports the outcome of an order to the table.
func (c *Conductor) settle(order dispatcher.Order, answer OrderResult) {
	outcome := answer.Outcome
	c.apply(func(t *dispatcher.Table, now time.Time) {
		if answer.Clock > 0 {
			t.ObserveClock(order.Runner, answer.Lifetime, answer.Clock, now)
		}
		switch order.Kind {
		case dispatcher.Start:
			t.Started(order, outcome, answer.Lifetime, now)
		case dispatcher.Stop:
			t.Stopped(order, outcome, now)
		case dispatcher.Pace:
			t.Paced(order, outcome, now)
		}
	})
}

// setRunners takes in the registry's list and looks at every runner in it that
// belongs to the part.
func (c *Conductor) setRunners(all []dispatcher.RunnerInfo) {
	var infos []dispatcher.RunnerInfo
	for _, info := range all {
		if c.opts.Split.RunnerPart(info.ID) == c.opts.Part {
			infos = append(infos, info)
		}
	}
	infos = c.record(infos)
	c.apply(func(t *dispatcher.Table, now time.Time) {
		t.SetRunners(infos, now)
		held := make(map[string]bool)
		for _, info := range t.Runners() {
			held[info.ID] = true
			c.address[info.ID] = info.Address
			if c.loops[info.ID] == nil {
				ctx, cancel := context.WithCancel(c.ctx)
				c.loops[info.ID] = cancel
				c.background.Go(func() { c.watchRunner(ctx, info.ID) })
			}
		}
		for id, cancel := range c.loops {
			if !held[id] {
				cancel()
				delete(c.loops, id)
			}
		}
	})
}

// watchRunner renews the leases of one runner and takes in its lists.
func (c *Conductor) watchRunner(ctx context.Context, id string) {
	for ctx.Err() == nil {
		saved := c.savedSignal()
		to, look, ok := c.nextLook(id)
		if !ok {
			return
		}
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, look.Wait+lookTimeout)
		report, err := c.opts.Agents.Poll(callCtx, to, look)
		cancel()
		if ctx.Err() != nil {
			return
		}
		c.opts.Metrics.looked(err, time.Since(sentAt)-look.Wait)
		switch {
		case errors.Is(err, ErrFenced):
			c.opts.Deposed("runner " + id + " has seen a higher fencing token")
			return
		case err != nil:
			c.lookFailed(id, err)
			pauser.Sleep(ctx, lookRetry)
		default:
			c.apply(func(t *dispatcher.Table, now time.Time) { t.Report(id, report, sentAt, now) })
			if len(report.Ended) > 0 {
				c.awaitSave(ctx, saved)
			}
		}
	}
}

// nextLook composes the next look at a runner.
func (c *Conductor) nextLook(id string) (to dispatcher.RunnerInfo, look Poll, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok = c.table.Runner(id)
	if !ok {
		return to, look, false
	}
	look = Poll{Fence: c.opts.Fence, Wait: lookWait}
	now := time.Now()
	look.LeaseEnd = c.table.LeaseUntil(id, now)
	look.Acked = c.table.Acknowledgeable(id, now)
	switch {
	case look.LeaseEnd == 0:
		look.Wait = 0
	case c.table.NeedsFrequentPolls(id):
		look.Wait = contendedWait
	case c.table.IsIdle(id):
		look.Wait = idleWait
	}
	return to, look, true
}

func (c *Conductor) lookFailed(id string, err error) {
	c.apply(func(t *dispatcher.Table, now time.Time) {
		if t.PollFailed(id, errors.Is(err, ErrConnectionClosed), now) {
			c.opts.Recorder.Record(now, EventRunnerSilent, map[string]string{"runner": id, "error": err.Error()})
		}
	})
}

// awaitSave waits for the ends of a report to become durable, so that the next
// look acknowledges them. Otherwise it would return the same ends at once.
func (c *Conductor) awaitSave(ctx context.Context, saved <-chan struct{}) {
	timer := time.NewTimer(savePatience)
	defer timer.Stop()
	select {
	case <-saved:
	case <-timer.C:
	case <-ctx.Done():
	}
}
