package member

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/hlc"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// newGroup returns the group of daemon atl-a-2, which has a fresh proof of the
// configuration.
func newGroup() *Group {
	store := keyvalue.NewFake()
	return New(Settings{
		Identity:      Identity{Daemon: "atl-a-2"},
		Store:         store,
		Watcher:       watcher.New(store, "ctl/", recorder.Discard{}),
		Clock:         &hlc.Clock{},
		Recorder:      recorder.Discard{},
		Configuration: func(time.Time) (version int64, proofAge time.Duration) { return 1, 0 },
	})
}

// TestHeartbeatCarriesLoad checks that the receiver of a heartbeat learns the load of
// its sender. Of two daemons only one sends heartbeats, so the receiver has no other
// way to learn it.
func TestHeartbeatCarriesLoad(t *testing.T) {
	group := newGroup()
	var free int32
	group.OnHeartbeat(func(peer Peer, _ time.Time) { free = peer.State.GetUpstreams()[0].GetFreeSlots() })
	request := &kumquatv1.HeartbeatRequest{
		From:      &kumquatv1.Incarnation{Daemon: "atl-a-0", Number: 3},
		Upstreams: []*kumquatv1.UpstreamLoad{{Upstream: "charm", FreeSlots: 8}},
	}
	if _, err := group.Heartbeat(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	if free != 8 {
		t.Fatalf("learned of %d free slots, want 8", free)
	}
}

// TestAnnounce checks that an announcement ends the wait between heartbeats and goes
// to all peers, including those to which this daemon sends no regular heartbeats.
func TestAnnounce(t *testing.T) {
	group := newGroup()
	request := &kumquatv1.HeartbeatRequest{
		From:    &kumquatv1.Incarnation{Daemon: "atl-a-0", Number: 3},
		Address: "atl-a-0:1",
	}
	if _, err := group.Heartbeat(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	if targets := group.targets(time.Now(), false); len(targets) > 0 {
		t.Errorf("sends heartbeats to %v, want none", targets)
	}
	group.Announce()
	if !group.waitInterval(t.Context(), time.Minute) {
		t.Error("the announcement did not end the wait")
	}
	if targets := group.targets(time.Now(), true); len(targets) != 1 || targets[0] != request.Address {
		t.Errorf("announces to %v, want the one peer", targets)
	}
}

// TestHeardByIncarnation checks that a daemon counts an incarnation as heard only if a
// heartbeat of that very incarnation arrived recently. Otherwise the partitions of a
// daemon that still acts could be released.
func TestHeardByIncarnation(t *testing.T) {
	group := newGroup()
	heard := &kumquatv1.Incarnation{Daemon: "atl-a-0", Number: 3}
	if _, err := group.Heartbeat(t.Context(), &kumquatv1.HeartbeatRequest{From: heard}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, c := range []struct {
		name string
		of   *kumquatv1.Incarnation
		at   time.Time
		want bool
	}{
		{"incarnation with a recent heartbeat", heard, now, true},
		{"incarnation without a recent heartbeat", heard, now.Add(heardWindow), false},
		{"former incarnation of the daemon", &kumquatv1.Incarnation{Daemon: "atl-a-0", Number: 2}, now, false},
		{"unknown daemon", &kumquatv1.Incarnation{Daemon: "atl-a-1", Number: 3}, now, false},
		{"this daemon", group.Incarnation(), now, true},
	} {
		if got := group.hasHeard(c.of, c.at); got != c.want {
			t.Errorf("%s: heard %t, want %t", c.name, got, c.want)
		}
	}
}
