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

// newGroup returns the group of atl-a-2, which has fresh proof.
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

// TestHeard checks that the asked one of two daemons learns the asking one's
// load, because only one of the two asks.
func TestHeard(t *testing.T) {
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
		t.Fatalf("heard of %d free slots, want 8", free)
	}
}

// TestAnnounce checks that an announcement goes to all peers, also to those
// that ask this daemon.
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
		t.Errorf("asks %v", targets)
	}
	group.Announce()
	if !group.rest(t.Context(), time.Minute) {
		t.Error("the announcement did not end the pause")
	}
	if targets := group.targets(time.Now(), true); len(targets) != 1 || targets[0] != request.Address {
		t.Errorf("announces to %v", targets)
	}
}

// TestWhoWasHeard asks a daemon about incarnations, of which it heard one.
func TestWhoWasHeard(t *testing.T) {
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
		{"one that spoke", heard, now, true},
		{"one that has been silent", heard, now.Add(heardLately), false},
		{"a former one of the same name", &kumquatv1.Incarnation{Daemon: "atl-a-0", Number: 2}, now, false},
		{"an unknown one", &kumquatv1.Incarnation{Daemon: "atl-a-1", Number: 3}, now, false},
		{"this one", group.Incarnation(), now, true},
	} {
		if got := group.hears(c.of, c.at); got != c.want {
			t.Errorf("%s: heard %t, want %t", c.name, got, c.want)
		}
	}
}
