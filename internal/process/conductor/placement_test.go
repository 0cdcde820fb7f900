package conductor

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// kinds returns how many orders of each kind were sent.
func (c *heldClient) kinds() map[dispatcher.Kind]int {
	n := make(map[dispatcher.Kind]int)
	for _, o := range c.orders() {
		n[o.Kind]++
	}
	return n
}

// Guards against reports, renewals of leases and stops that wait for seconds, since each change
// of the table has its placement pass.
func TestChangesDoNotWaitForPlacement(t *testing.T) {
	t.Parallel()
	client := newHeldClient()
	client.release()
	c := newConductor(t.Context(), heldOptions(t, client))
	t.Cleanup(c.Close)
	c.Configure(dispatcher.NewConfiguration([]submitter.Queue{{Name: "q", Service: "s", MaxAttempts: 2}}, nil))
	report := func(running ...dispatcher.RunStatus) {
		c.apply(func(table *dispatcher.Table, now time.Time) {
			table.ConfirmOwnership(now)
			c.authorize(table, now)
			table.LeaseUntil("r", now)
			table.Report("r", dispatcher.Report{Token: 1, Lifetime: 1, Clock: client.clock(), Running: running}, now, now)
		})
	}
	c.apply(func(table *dispatcher.Table, now time.Time) {
		infos := []dispatcher.RunnerInfo{heldRunner}
		table.SetRunners(infos, now)
		table.RosterStored(infos)
	})
	report()
	submit(c, "a", 1)
	c.Cancel("b")
	submit(c, "b", 1)
	unwanted := submitter.TaskID{Submission: "b"}
	report(dispatcher.RunStatus{Task: unwanted, Run: 1})
	assertEventually(t, "the stop that a report calls for is sent", func() bool { return client.kinds()[dispatcher.Stop] == 1 })
	if n := client.kinds()[dispatcher.Start]; n != 0 {
		t.Errorf("%d starts without a placement pass, want none", n)
	}
	t.Run("and it follows", func(t *testing.T) {
		c.background.Go(c.place)
		assertEventually(t, "the start is sent", func() bool { return client.kinds()[dispatcher.Start] == 1 })
	})
}
