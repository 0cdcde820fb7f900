package owner_test

import (
	"errors"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/configurer"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// TestOwnerTakeover checks that partitions move when daemons are killed, stop or
// join, and never have two owners at a time.
func TestOwnerTakeover(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	time.Sleep(member.LeaseTTL + 2*time.Second) // Past reconnectGrace.
	t.Run("a killed daemon is replaced", func(t *testing.T) {
		killed := time.Now()
		nodes[2].kill()
		c.await("the partitions to move", func() bool { return c.isBalanced(nodes[:2]) })
		t.Logf("replaced %s after the kill", time.Since(killed).Round(time.Millisecond))
		for _, n := range nodes[:2] {
			assertHeld(t, n)
		}
	})
	t.Run("a stopped daemon hands over", func(t *testing.T) {
		stopped := time.Now()
		if err := nodes[1].stop(); err != nil {
			t.Fatal(err)
		}
		c.await("the partitions to move", func() bool { return c.isBalanced(nodes[:1]) })
		t.Logf("handed over in %s", time.Since(stopped).Round(time.Millisecond))
	})
	t.Run("a new daemon gets its share", func(t *testing.T) {
		joined := c.start("atl-a-4", "atl-a")
		c.await("the partitions to move", func() bool { return c.isBalanced([]*node{nodes[0], joined}) })
	})
}

// Guards against a next owner that acts at once although work of the former one goes on,
// because the partition was handed over before that work had ended.
func TestHandoverWithWorkLeft(t *testing.T) {
	t.Parallel()
	for name, leavesWork := range map[string]bool{"all work has ended": false, "work goes on": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			nodes := c.startAll(2)
			leaving, next := nodes[0], nodes[1]
			leaving.leavesWork.Store(leavesWork)
			handedOver := leaving.owner.Partitions()
			if err := leaving.stop(); err != nil {
				t.Fatal(err)
			}
			c.await("the partitions to move", func() bool { return c.isBalanced(nodes[1:]) })
			for _, p := range handedOver {
				if mayGoOn := !next.owner.AcquiredAt(p).IsZero(); mayGoOn != leavesWork {
					t.Errorf("the next owner takes it that work on %s may go on: %t, want %t", p, mayGoOn, leavesWork)
				}
			}
		})
	}
}

// TestOwnerCutOff checks that a daemon cut off from the store and from its peers
// stops acting before the others take over its partitions.
func TestOwnerCutOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	nodes[0].cutStore.Store(true)
	nodes[0].cutPeers.Store(true)
	c.await("the isolated daemon to stop acting", func() bool { return len(nodes[0].owner.Partitions()) == 0 })
	c.await("the others to take over", func() bool { return c.isBalanced(nodes[1:]) })
	nodes[0].cutStore.Store(false)
	nodes[0].cutPeers.Store(false)
	c.await("the daemon to get its share again", func() bool { return c.isBalanced(nodes) })
}

// TestOwnerCutFromStore checks that a daemon cut off from the store alone keeps
// its partitions by its peers' pledges past the end of its lease, and that the
// daemon has stopped acting once the others have taken over.
func TestOwnerCutFromStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	c.awaitLists(nodes)
	nodes[0].cutStore.Store(true)
	lapsed := time.Now().Add(member.LeaseTTL)
	c.await("the lease to lapse", func() bool { return time.Now().After(lapsed) })
	if len(nodes[0].owner.Partitions()) == 0 {
		t.Error("the daemon stopped acting although its peers pledge")
	}
	c.await("the others to take over", func() bool { return c.isBalanced(nodes[1:]) })
	if held := nodes[0].owner.Partitions(); len(held) > 0 {
		t.Errorf("the daemon still acts for %d partitions", len(held))
	}
}

// TestHandoverNeedsStore checks that a daemon cut off from the store keeps the
// partitions that are due for a new daemon. A handover could not be completed:
// the partitions would have no owner until the store is back.
func TestHandoverNeedsStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(2)
	c.awaitLists(nodes)
	time.Sleep(settleWait)
	before := epochs(nodes[:1])
	c.start("atl-a-4", "atl-a")
	c.await("the new daemon to be registered", func() bool { return len(nodes[0].group.Members()) == 3 })
	nodes[0].cutStore.Store(true)
	for end := time.Now().Add(settleWait); time.Now().Before(end); time.Sleep(pollInterval) {
		assertHeldAll(t, nodes[:1], before)
	}
}

// settleWait is longer than settleTime, after which partitions move to balance
// the load.
const settleWait = 4 * time.Second

// epochs returns the epochs of all partitions that the daemons hold.
func epochs(nodes []*node) map[owner.Partition]owner.Epoch {
	held := make(map[owner.Partition]owner.Epoch)
	for _, n := range nodes {
		for _, p := range n.owner.Partitions() {
			held[p], _ = n.owner.Holds(p, time.Now())
		}
	}
	return held
}

func assertHeldAll(t testing.TB, nodes []*node, want map[owner.Partition]owner.Epoch) {
	t.Helper()
	if got := epochs(nodes); !maps.Equal(got, want) {
		t.Fatalf("held %d partitions, want %d with their epochs", len(got), len(want))
	}
}

// TestOwnerRestart checks that daemons that are all killed and restarted under
// their former names own all partitions again.
func TestOwnerRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	c.awaitLists(nodes)
	for _, n := range nodes {
		n.kill()
	}
	var again []*node
	for _, n := range nodes {
		again = append(again, c.start(n.name, "atl-a"))
	}
	c.await("the restarted daemons to own all partitions", func() bool { return c.isBalanced(again) })
}

// TestOwnerLostAnswers checks that partitions still move to a new daemon and away
// from a killed one when the store loses answers and applies writes late.
func TestOwnerLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	c.store.SetFaults(keyvalue.Faults{LoseAnswersPercent: 30, LateWrites: 10})
	joined := c.start("atl-a-4", "atl-a")
	all := append([]*node{joined}, nodes...)
	c.await("all daemons to own their share despite lost answers", func() bool { return c.isBalanced(all) })
	nodes[0].kill()
	c.await("the others to take over despite lost answers", func() bool { return c.isBalanced(append([]*node{joined}, nodes[1:]...)) })
}

// TestRecordRemoved checks that a daemon whose member record is deleted registers
// again and owns all partitions under its new incarnation.
func TestRecordRemoved(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.startAll(1)[0]
	before := n.group.Lease().Incarnation
	if err := c.store.Delete(t.Context(), member.Key(n.name), storer.Revision(before)); err != nil {
		t.Fatal(err)
	}
	c.await("a new incarnation", func() bool {
		lease := n.group.Lease()
		return lease.Incarnation > before && lease.IsValid(time.Now())
	})
	c.await("all partitions to be owned", func() bool { return c.isBalanced([]*node{n}) })
}

// TestIdentityClaimed checks that the second of two processes under one daemon
// name stops, and that the first keeps its lease.
func TestIdentityClaimed(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	first := c.startAll(1)[0]
	second := c.startAt(first.name, "elsewhere", "atl-a")
	var claimed *member.IdentityClaimedError
	select {
	case err := <-second.groupErr:
		if !errors.As(err, &claimed) {
			t.Errorf("error %v, want an IdentityClaimedError", err)
		}
	case <-time.After(awaitTimeout):
		t.Error("the second daemon keeps running")
	}
	if !first.group.Lease().IsValid(time.Now()) {
		t.Error("the first daemon lost its lease")
	}
}

// TestConfiguration checks that no daemon starts tasks in a data centre that has
// been declared out, whether it learns of the change from the store, from its
// peers or not at all.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	t.Run("a data centre declared out takes effect on all daemons", func(t *testing.T) {
		c.await("tasks to be allowed to start", func() bool { return nodes[2].owner.MayStart("atl-a", time.Now()) })
		assertMayStart(t, nodes[2], "ath-a", true)
		result, err := nodes[0].config.SetDataCentre(t.Context(), "atl-a", true)
		if err != nil {
			t.Fatal(err)
		}
		assertConfirmed(t, result)
		for _, n := range nodes {
			assertMayStart(t, n, "atl-a", false)
		}
	})
	t.Run("a daemon cut off from the store learns the change from its peers", func(t *testing.T) {
		nodes[2].cutStore.Store(true)
		result, err := nodes[0].config.SetDataCentre(t.Context(), "ath-a", true)
		if err != nil {
			t.Fatal(err)
		}
		assertConfirmed(t, result)
		assertMayStart(t, nodes[2], "ath-a", false)
	})
	t.Run("a daemon cut off from the store and its peers is reported and may start no tasks", func(t *testing.T) {
		if _, err := nodes[0].config.SetDataCentre(t.Context(), "ath-a", false); err != nil {
			t.Fatal(err)
		}
		c.await("tasks to be allowed to start", func() bool { return nodes[2].owner.MayStart("ath-a", time.Now()) })
		nodes[2].cutPeers.Store(true)
		result, err := nodes[0].config.SetDataCentre(t.Context(), "ath-a", true)
		if err != nil {
			t.Fatal(err)
		}
		if len(result.Unconfirmed) != 1 || result.Unconfirmed[0] != nodes[2].name {
			t.Errorf("unconfirmed %v, want %s", result.Unconfirmed, nodes[2].name)
		}
		if nodes[2].config.Declarations().IsOut("ath-a") {
			t.Error("the daemon learned the version although it is cut off")
		}
		assertMayStart(t, nodes[2], "ath-a", false)
	})
}

// TestConfigurationChanges checks that changes of the declarations are validated,
// compared with their base version and applied at most once, and that a daemon
// without the store gets them from its peers.
func TestConfigurationChanges(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(2)
	base := nodes[0].config.Current().Number
	changed := []byte(document + "teams:\n  - name: field-crews\n    weight: 2\n")
	t.Run("an invalid document is refused", func(t *testing.T) {
		var invalid *errs.DocumentError
		if _, err := nodes[0].config.Apply(t.Context(), []byte("regions: 7"), base); !errors.As(err, &invalid) {
			t.Errorf("error %v, want one about the document", err)
		}
	})
	t.Run("the second of two concurrent changes is refused with the difference", func(t *testing.T) {
		if _, err := nodes[0].config.Apply(t.Context(), changed, base); err != nil {
			t.Fatal(err)
		}
		_, err := nodes[1].config.Apply(t.Context(), []byte(document), base)
		var refused *errs.RefusedError
		if !errors.As(err, &refused) || !strings.Contains(refused.Why, "field-crews") {
			t.Errorf("error %v, want a refusal that names the change", err)
		}
	})
	t.Run("the same document again changes nothing", func(t *testing.T) {
		result, err := nodes[1].config.Apply(t.Context(), changed, configurer.AnyVersion)
		if err != nil || !result.Unchanged || result.Version != nodes[0].config.Current().Number {
			t.Errorf("result %+v, error %v, want the version in force unchanged", result, err)
		}
	})
	t.Run("a change is applied once despite lost answers", func(t *testing.T) {
		c.store.SetFaults(keyvalue.Faults{LoseAnswersPercent: 50, LateWrites: 3})
		for i := range 20 {
			result, err := nodes[i%2].config.SetDataCentre(t.Context(), "ath-a", i%2 == 0)
			var unknown *errs.UnknownOutcomeError
			if errors.As(err, &unknown) {
				continue
			}
			assertApplied(t, nodes[i%2], result, err)
		}
		c.store.SetFaults(keyvalue.Faults{})
	})
	t.Run("a daemon that starts during an outage learns the version from its peers", func(t *testing.T) {
		want := nodes[0].config.Current().Number
		c.store.SetFaults(keyvalue.Faults{Outage: true})
		outage := time.Now()
		late := c.start("atl-a-9", "atl-a")
		c.await("the new daemon to learn the version", func() bool { return late.config.Current().Number == want })
		// Until they expire, peers pass on proofs from before the outage.
		time.Sleep(time.Until(outage.Add(configurer.ProofLifetime)))
		for range 20 {
			assertMayStart(t, late, "atl-a", false)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func assertApplied(t *testing.T, n *node, result configurer.Result, err error) {
	t.Helper()
	if err != nil || result.Version > n.config.Current().Number {
		t.Errorf("result %+v, error %v, version %d in force", result, err, n.config.Current().Number)
	}
}

func assertConfirmed(t *testing.T, result configurer.Result) {
	t.Helper()
	if len(result.Unconfirmed) > 0 || result.Unchanged {
		t.Errorf("result %+v, want a change confirmed by all", result)
	}
}

func assertMayStart(t *testing.T, n *node, dataCentre string, want bool) {
	t.Helper()
	if got := n.owner.MayStart(dataCentre, time.Now()); got != want {
		t.Errorf("%s: MayStart(%s) = %t, want %t", n.name, dataCentre, got, want)
	}
}

func assertHeld(t *testing.T, n *node) {
	t.Helper()
	for _, p := range n.owner.Partitions() {
		if _, ok := n.owner.Holds(p, time.Now()); !ok {
			t.Errorf("%s is listed but not held", p)
		}
	}
}
