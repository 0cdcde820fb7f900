package member

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// heardLately is how long ago the last word of a daemon that counts as alive
// may be. A daemon that has been silent for it has lost its lease.
const heardLately = LeaseTTL

// Heard implements the peer service.
func (g *Group) Heard(_ context.Context, req *kumquatv1.HeardRequest) (*kumquatv1.HeardResponse, error) {
	now := time.Now()
	resp := &kumquatv1.HeardResponse{}
	for _, each := range req.GetIncarnations() {
		if g.hears(each, now) {
			resp.Heard = append(resp.Heard, each)
		}
	}
	return resp, nil
}

// hears reports whether an incarnation spoke lately, or is this daemon's own.
func (g *Group) hears(each *kumquatv1.Incarnation, now time.Time) bool {
	if each.GetDaemon() == g.settings.Identity.Daemon {
		return each.GetNumber() == g.Lease().Incarnation
	}
	peer, ok := g.Peer(each.GetDaemon())
	return ok && peer.spoke(each.GetNumber(), now)
}

// spoke reports whether the peer was heard lately under an incarnation.
func (p Peer) spoke(number int64, now time.Time) bool {
	return p.State.GetFrom().GetNumber() == number && Elapsed(p.HeardAt, now) < heardLately
}
