package conductor

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// Guards against starts that wait to be sent for seconds and are sent although their task
// is done or cancelled by then.
func TestOutdatedStartIsNotSent(t *testing.T) {
	t.Parallel()
	c, client := startHeld(t)
	submit(c, "busy", maxConcurrentOrders)
	assertEventually(t, "all order slots are taken", func() bool {
		return startsOf(client.orders(), "busy") == maxConcurrentOrders
	})
	submit(c, "cancelled", 1)
	c.Cancel("cancelled")
	submit(c, "wanted", 1)
	client.release()
	assertEventually(t, "the start that is still wanted is sent", func() bool {
		return startsOf(client.orders(), "wanted") == 1
	})
	c.Close()
	if n := startsOf(client.orders(), "cancelled"); n != 0 {
		t.Errorf("%d starts of a cancelled submission were sent", n)
	}
}

// Guards against a process that acts, after a pause, on an ownership that has run out.
func TestPausedOwnerSendsNothing(t *testing.T) {
	t.Parallel()
	c, client := startHeld(t)
	client.release()
	submit(c, "before", 1)
	assertEventually(t, "the owner starts tasks", func() bool { return startsOf(client.orders(), "before") == 1 })
	client.isPaused.Store(true)
	submit(c, "paused", 1)
	polls := client.polls.Load()
	time.Sleep(5 * authorityRetryDelay)
	if n := startsOf(client.orders(), "paused"); n != 0 {
		t.Errorf("%d starts were sent", n)
	}
	if n := client.polls.Load() - polls; n > 1 {
		t.Errorf("%d polls were sent", n)
	}
	t.Run("until it is confirmed as the owner", func(t *testing.T) {
		client.isPaused.Store(false)
		assertEventually(t, "the task is started", func() bool { return startsOf(client.orders(), "paused") == 1 })
	})
}

// Guards against a runner that is dropped, comes back under its id, and is never polled
// again, so that nothing runs there until the owner changes.
func TestRunnerThatComesBackIsPolled(t *testing.T) {
	t.Parallel()
	c, client := startHeld(t)
	assertEventually(t, "the runner is polled", func() bool { return client.polls.Load() > 0 })
	client.isSilent.Store(true)
	client.registry <- nil
	assertEventually(t, "the runner is dropped", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, known := c.table.Runner("r")
		return !known
	})
	client.isSilent.Store(false)
	time.Sleep(2 * pollRetryDelay)
	polls := client.polls.Load()
	client.registry <- []dispatcher.RunnerInfo{heldRunner}
	assertEventually(t, "the runner is polled again", func() bool { return client.polls.Load() > polls })
}
