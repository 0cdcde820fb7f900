package pledger

import (
	"context"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/hlc"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// loopback is a peer client that calls this daemon.
type loopback struct {
	kumquatv1.Peer
	pledger *Pledger
}

func (l loopback) Block(ctx context.Context, req *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error) {
	return l.pledger.Block(ctx, req)
}

// TestBlockByFormerProcess asks a former process of this daemon to block an
// incarnation. The process that runs now may answer for the former one only if that
// had the same address; otherwise the former process may still run there and grant
// pledges.
func TestBlockByFormerProcess(t *testing.T) {
	store := keyvalue.NewFake()
	group := member.New(member.Settings{
		Identity:      member.Identity{Daemon: "atl-a-1", Address: "atl-a-1:1", Region: "north-ga"},
		Store:         store,
		Watcher:       watcher.New(store, watcher.Root, recorder.Discard{}),
		Clock:         &hlc.Clock{},
		Recorder:      recorder.Discard{},
		Configuration: func(time.Time) (version int64, proofAge time.Duration) { return 1, 0 },
	})
	heartbeat := &kumquatv1.HeartbeatRequest{From: &kumquatv1.Incarnation{Daemon: "atl-a-2", Number: 9}, Address: "atl-a-2:1"}
	if _, err := group.Heartbeat(t.Context(), heartbeat); err != nil {
		t.Fatal(err)
	}
	p := New(Settings{Group: group, Recorder: recorder.Discard{}})
	p.settings.Dial = func(string) kumquatv1.Peer { return loopback{pledger: p} }
	for _, test := range []struct {
		name    string
		address string
		want    int
	}{
		{"at the same address", "atl-a-1:1", 1},
		{"at another address", "atl-a-7:1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			former := Guarantor{Daemon: "atl-a-1", Incarnation: 2, Address: test.address}
			waits := p.collectBlocks(t.Context(), incarnation{daemon: "atl-a-2", number: 3}, []Guarantor{former})
			if len(waits) != test.want {
				t.Errorf("%d blocks, want %d", len(waits), test.want)
			}
		})
	}
}
