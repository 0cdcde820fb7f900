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

// newConfigurer returns one with version 1 of the declarations.
func newConfigurer(t testing.TB) *Configurer {
	t.Helper()
	c := New(Settings{Watcher: watcher.New(nil, watcher.Root, recorder.Discard{}), Recorder: recorder.Discard{}})
	if err := c.offer(1, []byte(inService), "test"); err != nil {
		t.Fatal(err)
	}
	return c
}

// word returns a peer's answer to a question of the time.
func word(asked time.Time, version int64, proofAge time.Duration) member.HeartbeatReply {
	return member.HeartbeatReply{SentAt: asked, Peer: member.Peer{State: &kumquatv1.HeartbeatRequest{
		ConfigurationVersion: version, StoreProofAgeMillis: proofAge.Milliseconds(),
	}}}
}

func TestMayStart(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		learn func(c *Configurer)
		want  bool
	}{
		{"on proof of its own", func(c *Configurer) { c.prove(Proof{At: now}) }, true},
		{"not without proof", func(*Configurer) {}, false},
		{"not on old proof", func(c *Configurer) { c.prove(Proof{At: now.Add(-ProofLifetime)}) }, false},
		{"on a peer's proof", func(c *Configurer) { c.hear(word(now, 1, time.Second)) }, true},
		{"not when question and proof together are old", func(c *Configurer) {
			c.hear(word(now.Add(-ProofLifetime/2), 1, ProofLifetime/2))
		}, false},
		{"not on a peer's word that it has none", func(c *Configurer) { c.hear(word(now, 1, -time.Millisecond)) }, false},
		{"not when a peer has a later version", func(c *Configurer) {
			c.prove(Proof{At: now})
			c.fetching = true // The peer can't be asked for it here.
			c.hear(word(now, 2, 0))
		}, false},
		{"not once out", func(c *Configurer) { c.prove(Proof{At: now}); _ = c.offer(2, []byte(takenOut), "test") }, false},
		{"not after a version that can't be read", func(c *Configurer) {
			c.prove(Proof{At: now})
			c.takeEntry(storer.Entry{Key: Key, Revision: 2, Value: []byte("{")}, "test")
		}, false},
		{"still after an older version", func(c *Configurer) { c.prove(Proof{At: now}); _ = c.offer(0, []byte(takenOut), "test") }, true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			c := newConfigurer(t)
			each.learn(c)
			if got := c.MayStart("atl-a", now); got != each.want {
				t.Errorf("may start %t, want %t", got, each.want)
			}
		})
	}
}

// TestNoStartBeyondBound passes a proof of before a change along a chain of
// daemons, each of whose clocks tells a part of its age.
func TestNoStartBeyondBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		changed := time.Now()
		proof := Proof{At: changed.Add(-time.Duration(rapid.IntRange(0, 500).Draw(r, "read before")) * time.Millisecond)}
		asked := changed
		for range rapid.IntRange(1, 4).Draw(r, "hops") {
			asked = asked.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "pause")) * time.Millisecond)
			answered := asked.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "under way")) * time.Millisecond)
			age := proof.Age(answered).Truncate(time.Millisecond) + time.Millisecond
			next := newConfigurer(t)
			next.hear(word(asked, 1, age))
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
