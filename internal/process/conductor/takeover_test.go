package conductor

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a term whose end of the former owner hides an owner before it that may
// still act.
func TestEndOfTheFormerOwnerDoesNotHideEarlierOwners(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const earlierEnd, longestLease = 7 * time.Second, 6 * time.Second
		c, client := startSuccessor(t, time.Now().Add(earlierEnd))
		client.release()
		submit(c, "a", 1)
		c.TakeOver(Handover{Settled: []string{"r"}})
		time.Sleep(earlierEnd + longestLease)
		if n := startsOf(client.orders(), "a"); n != 0 {
			t.Errorf("%d starts while leases of earlier owners may last, want none", n)
		}
		time.Sleep(time.Second)
		if n := startsOf(client.orders(), "a"); n == 0 {
			t.Error("no start after all leases of earlier owners")
		}
		c.Close()
	})
}
