package owner_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// assertNotReleased checks that a daemon refuses to release the named daemons for
// a reason that contains the given text.
func assertNotReleased(t *testing.T, by *node, why string, daemons ...string) {
	t.Helper()
	_, err := by.releaser.Release(t.Context(), &kumquatv1.ReleaseRequest{Daemons: daemons})
	var refused *errs.RefusedError
	if !errors.As(err, &refused) || !strings.Contains(refused.Why, why) {
		t.Errorf("error %v, want a refusal because %q", err, why)
	}
}

// awaitGone waits until only the given daemons are registered.
func (c *cluster) awaitGone(left ...*node) {
	c.t.Helper()
	c.await("the leases to lapse", func() bool {
		listing, err := c.store.List(c.t.Context(), member.Prefix)
		return err == nil && len(listing.Entries) == len(left)
	})
}

// TestReleaseRefused checks that a daemon's partitions are not released while the
// daemon is registered, while a peer hears it, or while a peer that may hear it
// does not answer. Otherwise a daemon that still acts could lose its partitions to another.
func TestReleaseRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(4) // Two of three guarantors have to block.
	c.awaitLists(nodes)
	assertNotReleased(t, nodes[1], "is registered", nodes[0].name)
	assertNotReleased(t, nodes[1], "own no partitions", "no-such-daemon")
	nodes[0].cutStore.Store(true)
	c.awaitGone(nodes[1:]...)
	t.Run("a peer hears the daemon", func(t *testing.T) {
		assertNotReleased(t, nodes[1], "heard it", nodes[0].name)
	})
	t.Run("a peer that may hear the daemon does not answer", func(t *testing.T) {
		for _, n := range []*node{nodes[0], nodes[2], nodes[3]} {
			n.cutPeers.Store(true)
		}
		c.await("the silent peers to be named in the refusal", func() bool {
			_, err := nodes[1].releaser.Release(t.Context(), &kumquatv1.ReleaseRequest{Daemons: []string{nodes[0].name}})
			return err != nil && strings.Contains(err.Error(), "may still hear")
		})
	})
}

// TestRelease kills all daemons, so that no guarantor is left to block them. New
// daemons may own their partitions only after an operator has released them.
func TestRelease(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	nodes := c.startAll(3)
	c.awaitLists(nodes)
	var dead []string
	for _, n := range nodes {
		n.kill()
		dead = append(dead, n.name)
	}
	others := []*node{c.start("atl-a-8", "atl-a"), c.start("atl-a-9", "atl-a")}
	c.awaitGone(others...)
	time.Sleep(member.LeaseTTL + 2*time.Second) // Past reconnectGrace.
	if owned := len(others[0].owner.Partitions()) + len(others[1].owner.Partitions()); owned > 0 {
		t.Fatalf("%d partitions are owned before the release", owned)
	}
	assertNotReleased(t, others[0], "may still hear", dead[0])
	shown, err := others[0].releaser.Release(t.Context(), &kumquatv1.ReleaseRequest{Daemons: dead})
	if err != nil || shown.Released || len(shown.Incarnations) != len(dead) {
		t.Fatalf("answer %v, error %v, want %d incarnations and nothing released", shown, err, len(dead))
	}
	began := time.Now()
	done, err := others[1].releaser.Release(t.Context(), &kumquatv1.ReleaseRequest{Daemons: dead, Plan: shown.Plan})
	if err != nil || !done.Released {
		t.Fatalf("answer %v, error %v, want a release", done, err)
	}
	c.await("the partitions to be owned", func() bool { return c.isBalanced(others) })
	t.Logf("owned %s after the release", time.Since(began))
}
