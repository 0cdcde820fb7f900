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

// TestHeard checks that the asked one of two daemons learns the asking one's
// load, because only one of the two asks.
func TestHeard(t *testing.T) {
	store := keyvalue.NewFake()
	group := New(Settings{
		Identity: Identity{Daemon: "atl-a-2"},
		Store:    store,
		Watcher:  watcher.New(store, "ctl/", recorder.Discard{}),
		Clock:    &hlc.Clock{},
		Recorder: recorder.Discard{},
	})
	var free int32
	group.OnHeard(func(peer Peer, _ time.Time) { free = peer.State.GetUpstreams()[0].GetFreeSlots() })
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
