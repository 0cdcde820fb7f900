package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// An outage is a store outage in which all leases lapse, of a cluster that owns all
// partitions.
type outage struct {
	*cluster
	nodes  []*node
	before map[owner.Partition]owner.Epoch
}

// runOutage runs a test with a cluster whose clock advances only while all goroutines
// wait, so that no lease lapses because the machine is slow. The outage begins at
// several phases of the daemons' intervals.
func runOutage(t *testing.T, test func(o *outage)) {
	t.Helper()
	for phase := time.Duration(0); phase < time.Second; phase += 150 * time.Millisecond {
		t.Run("phase "+phase.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				o := &outage{cluster: newCluster(t)}
				o.nodes = o.startAll(3)
				o.awaitLists(o.nodes)
				time.Sleep(settleWait + phase)
				o.before = epochs(o.nodes)
				o.begin()
				test(o)
			})
		})
	}
}

func (o *outage) begin() { o.store.SetFaults(keyvalue.Faults{Outage: true, LapseDuringOutage: true}) }

// end ends the outage. Later calls to the store take the given time.
func (o *outage) end(delay time.Duration) {
	o.store.SetFaults(keyvalue.Faults{DelayMillis: delay.Milliseconds()})
}

// assertHeld checks for longer than the leases that no partition is lost or moves.
func (o *outage) assertHeld() {
	o.t.Helper()
	for end := time.Now().Add(2 * member.LeaseTTL); time.Now().Before(end); time.Sleep(pollInterval) {
		assertHeldAll(o.t, o.nodes, o.before)
	}
}

// TestOwnerStoreOutage checks that the daemons keep their partitions by pledges
// through a store outage in which all leases lapse, and that a daemon cut off
// from its peers during an outage loses its partitions.
func TestOwnerStoreOutage(t *testing.T) {
	t.Parallel()
	t.Run("no partition moves in an outage longer than the leases and after it", func(t *testing.T) {
		t.Parallel()
		runOutage(t, func(o *outage) {
			o.assertHeld()
			o.end(0)
			o.assertHeld()
		})
	})
	t.Run("a daemon cut off from its peers in a second outage loses its partitions", func(t *testing.T) {
		t.Parallel()
		runOutage(t, func(o *outage) {
			o.assertHeld()
			o.end(0)
			o.assertHeld()
			o.begin()
			o.nodes[0].cutPeers.Store(true)
			o.await("the isolated daemon to stop acting", func() bool { return len(o.nodes[0].owner.Partitions()) == 0 })
			o.end(0)
			o.nodes[0].cutStore.Store(true)
			o.await("the others to take over", func() bool { return o.isBalanced(o.nodes[1:]) })
		})
	})
}

// Guards against partitions that are lost after an outage, although the daemon has
// registered again, because a slow store delays the new owner records.
func TestSlowStoreAfterOutage(t *testing.T) {
	t.Parallel()
	runOutage(t, func(o *outage) {
		o.assertHeld()
		o.end(900 * time.Millisecond)
		o.assertHeld()
	})
}
