package conductor

import "testing"

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
