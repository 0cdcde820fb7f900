package member

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// heardWindow is the age up to which a daemon's last heartbeat shows that the daemon is
// alive. A daemon that has sent none for this long has lost its lease.
const heardWindow = LeaseTTL

// Heard implements the peer service. It returns those of the given incarnations
// from which a heartbeat has arrived within heardWindow.
func (g *Group) Heard(_ context.Context, req *kumquatv1.HeardRequest) (*kumquatv1.HeardResponse, error) {
	now := time.Now()
	resp := &kumquatv1.HeardResponse{}
	for _, each := range req.GetIncarnations() {
		if g.hasHeard(each, now) {
			resp.Heard = append(resp.Heard, each)
		}
	}
	return resp, nil
}

// hasHeard reports whether a heartbeat of an incarnation arrived within heardWindow,
// or the incarnation is this daemon's current one.
func (g *Group) hasHeard(each *kumquatv1.Incarnation, now time.Time) bool {
	if each.GetDaemon() == g.settings.Identity.Daemon {
		return each.GetNumber() == g.Lease().Incarnation
	}
	peer, ok := g.Peer(each.GetDaemon())
	return ok && peer.wasHeard(each.GetNumber(), now)
}

// wasHeard reports whether the peer's last heartbeat arrived within heardWindow and
// was of the given incarnation.
func (p Peer) wasHeard(number int64, now time.Time) bool {
	return p.State.GetFrom().GetNumber() == number && Elapsed(p.HeardAt, now) < heardWindow
}
