package configurer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

const (
	inService = "regions:\n  - name: north-ga\n    dataCentres:\n      - name: atl-a\n"
	takenOut  = inService + "        out: true\n"
)

// newConfigurer returns a configurer with version 1 of the declarations in force.
func newConfigurer(t testing.TB) *Configurer {
	t.Helper()
	c := New(Settings{Watcher: watcher.New(nil, watcher.Root, recorder.Discard{}), Recorder: recorder.Discard{}})
	if err := c.activate(1, []byte(inService), "test"); err != nil {
		t.Fatal(err)
	}
	return c
}

// heartbeatReply returns a peer's reply to a heartbeat sent at sentAt.
func heartbeatReply(sentAt time.Time, version int64, proofAge time.Duration) member.HeartbeatReply {
	return member.HeartbeatReply{SentAt: sentAt, Peer: member.Peer{State: &kumquatv1.HeartbeatRequest{
		ConfigurationVersion: version, StoreProofAgeMillis: proofAge.Milliseconds(),
	}}}
}

func TestMayStart(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		prepare func(c *Configurer)
		want    bool
	}{
		{"with own proof", func(c *Configurer) { c.addProof(Proof{At: now}) }, true},
		{"not without proof", func(*Configurer) {}, false},
		{"not with old proof", func(c *Configurer) { c.addProof(Proof{At: now.Add(-ProofLifetime)}) }, false},
		{"with a peer's proof", func(c *Configurer) { c.onHeartbeatReply(heartbeatReply(now, 1, time.Second)) }, true},
		{"not when proof age plus time since the heartbeat is too old", func(c *Configurer) {
			c.onHeartbeatReply(heartbeatReply(now.Add(-ProofLifetime/2), 1, ProofLifetime/2))
		}, false},
		{"not when a peer has no proof", func(c *Configurer) { c.onHeartbeatReply(heartbeatReply(now, 1, -time.Millisecond)) }, false},
		{"not when a peer has a newer version", func(c *Configurer) {
			c.addProof(Proof{At: now})
			c.fetching = true // Prevents a fetch, as there is no peer to dial.
			c.onHeartbeatReply(heartbeatReply(now, 2, 0))
		}, false},
		{"not once the data centre is out", func(c *Configurer) { c.addProof(Proof{At: now}); _ = c.activate(2, []byte(takenOut), "test") }, false},
		{"not after a version that can't be parsed", func(c *Configurer) {
			c.addProof(Proof{At: now})
			c.activateEntry(storer.Entry{Key: Key, Revision: 2, Value: []byte("{")}, "test")
		}, false},
		{"still after an older version", func(c *Configurer) { c.addProof(Proof{At: now}); _ = c.activate(0, []byte(takenOut), "test") }, true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			c := newConfigurer(t)
			each.prepare(c)
			if got := c.MayStart("atl-a", now); got != each.want {
				t.Errorf("MayStart returned %t, want %t", got, each.want)
			}
		})
	}
}

// TestNoStartAfterProofLifetime passes a proof that is older than a change along
// a chain of daemons, each of which measures a part of the proof's age on its own
// clock. No daemon may start tasks on the proof once ProofLifetime has passed since
// the change; a daemon would do so if a part of the age were lost on the way.
func TestNoStartAfterProofLifetime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		changed := time.Now()
		proof := Proof{At: changed.Add(-time.Duration(rapid.IntRange(0, 500).Draw(r, "read before")) * time.Millisecond)}
		sentAt := changed
		for range rapid.IntRange(1, 4).Draw(r, "hops") {
			sentAt = sentAt.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "pause")) * time.Millisecond)
			answered := sentAt.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "under way")) * time.Millisecond)
			age := proof.Age(answered).Truncate(time.Millisecond) + time.Millisecond
			next := newConfigurer(t)
			next.onHeartbeatReply(heartbeatReply(sentAt, 1, age))
			if next.MayStart("atl-a", changed.Add(ProofLifetime)) {
				r.Fatalf("a task starts %s after the change", ProofLifetime)
			}
			proof = next.proof
		}
	})
}

func TestApplied(t *testing.T) {
	stored := envelope{Attempt: "mine", FormerAttempt: "former", FormerVersion: 7}
	cases := []struct {
		attempt string
		want    int64
	}{{"mine", 9}, {"former", 7}, {"other", 0}}
	for _, c := range cases {
		version, ok := stored.applied(c.attempt, 9)
		if version != c.want || ok != (c.want != 0) {
			t.Errorf("%s: version %d, applied %t, want %d", c.attempt, version, ok, c.want)
		}
	}
}
