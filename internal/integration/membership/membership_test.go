// Package membership tests with real processes that partitions move to other owners.
package membership

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/harness"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	// patience is how long a test waits for a condition.
	patience    = 40 * time.Second
	callTimeout = time.Second
	// allPartitions is the number of partitions of two data centres.
	allPartitions = 2*(owner.RunnerPartitionCount+1) + owner.ClaimPartitionCount
)

var sites = []harness.Site{
	{DataCentre: "atl-a", Region: "north-ga", Daemons: 2},
	{DataCentre: "ath-a", Region: "north-ga", Daemons: 2},
}

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// ownersOf returns the owners of all partitions, as each daemon reports its own.
func ownersOf(ctx context.Context, daemons []*harness.Daemon) map[string][]string {
	owners := make(map[string][]string)
	for _, daemon := range daemons {
		for _, partition := range partitionsOf(ctx, daemon) {
			owners[partition] = append(owners[partition], daemon.Name)
		}
	}
	return owners
}

// partitionsOf returns the partitions that a daemon reports as its own, none if it
// doesn't answer.
func partitionsOf(ctx context.Context, daemon *harness.Daemon) []string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := daemon.Operator().Status(ctx, &kumquatv1.StatusRequest{})
	if err != nil {
		return nil
	}
	for _, status := range response.GetDaemons() {
		if status.GetIncarnation().GetDaemon() == daemon.Name {
			return status.GetPartitions()
		}
	}
	return nil
}

// awaitOwned waits until daemons own all partitions.
func awaitOwned(t testing.TB, daemons []*harness.Daemon) {
	t.Helper()
	harness.Eventually(t, patience, "all partitions are owned", func() bool {
		return len(ownersOf(t.Context(), daemons)) == allPartitions
	})
}

// assertOneOwner fails the test if two daemons report the same partition as theirs.
func assertOneOwner(t *testing.T, daemons []*harness.Daemon) {
	t.Helper()
	for partition, owners := range ownersOf(t.Context(), daemons) {
		if len(owners) > 1 {
			t.Errorf("%s is owned by %s", partition, strings.Join(owners, " and "))
		}
	}
}

// TestOwnersChange checks that all partitions get an owner again after a daemon is
// killed, restarts or is paused beyond its lease, and after all daemons restart at
// once.
func TestOwnersChange(t *testing.T) {
	cluster := harness.Start(t, harness.Options{Sites: sites})
	all := cluster.Daemons
	awaitOwned(t, all)
	time.Sleep(2 * callTimeout) // Lets the daemons write their lists of guarantors.
	t.Run("a daemon is killed", func(t *testing.T) {
		killed := time.Now()
		all[0].Kill()
		awaitOwned(t, all[1:])
		t.Logf("all partitions owned %s after the kill", time.Since(killed).Round(time.Millisecond))
		assertOneOwner(t, all[1:])
	})
	t.Run("a daemon restarts at its address", func(t *testing.T) {
		all[0].Start()
		harness.Eventually(t, patience, "the restarted daemon owns its share", func() bool {
			return len(partitionsOf(t.Context(), all[0])) > 0
		})
		awaitOwned(t, all)
	})
	t.Run("a daemon is paused until its lease has lapsed", func(t *testing.T) {
		all[1].Pause()
		others := []*harness.Daemon{all[0], all[2], all[3]}
		awaitOwned(t, others)
		all[1].Resume()
		harness.Eventually(t, patience, "the resumed daemon owns its share again", func() bool {
			return len(partitionsOf(t.Context(), all[1])) > 0
		})
		awaitOwned(t, all)
	})
	t.Run("all daemons restart at once", func(t *testing.T) {
		for _, daemon := range all {
			daemon.Kill()
		}
		killed := time.Now()
		for _, daemon := range all {
			daemon.Start()
		}
		awaitOwned(t, all)
		t.Logf("all partitions owned %s after the kill", time.Since(killed).Round(time.Millisecond))
	})
}
