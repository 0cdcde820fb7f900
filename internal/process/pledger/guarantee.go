package pledger

import (
	"context"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Pledge implements the peer service. It grants the caller's incarnation a pledge
// of at most PledgeTTL, unless the incarnation is blocked. A successor of the caller
// has to wait until the pledge expires.
func (p *Pledger) Pledge(_ context.Context, req *kumquatv1.PledgeRequest) (*kumquatv1.PledgeResponse, error) {
	if req.Kind != kumquatv1.PledgeKind_PLEDGE_KIND_OWNERSHIP {
		return &kumquatv1.PledgeResponse{Refusal: "unknown kind of pledge"}, nil
	}
	now := time.Now()
	from := incarnation{daemon: req.GetFrom().GetDaemon(), number: req.GetFrom().GetNumber()}
	duration := min(time.Duration(req.DurationMillis)*time.Millisecond, PledgeTTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwnIncarnation(req.To) {
		return &kumquatv1.PledgeResponse{Refusal: "not this incarnation"}, nil
	}
	if p.blocked[from] {
		return &kumquatv1.PledgeResponse{Refusal: "blocked"}, nil
	}
	if end := now.Add(duration); end.After(p.pledgedUntil[from]) {
		p.pledgedUntil[from] = end
	}
	return &kumquatv1.PledgeResponse{Granted: true}, nil
}

// Block implements the peer service. It makes this daemon grant the given incarnation
// no further pledges, and returns the remaining time of the last pledge. It refuses if
// mustRefuseBlock is true.
func (p *Pledger) Block(_ context.Context, req *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error) {
	now := time.Now()
	if p.mustRefuseBlock(req, now) {
		return &kumquatv1.BlockResponse{}, nil
	}
	return p.blockLocally(req, now), nil
}

// blockLocally blocks an incarnation on behalf of this process, or of a former
// process of this daemon's name.
func (p *Pledger) blockLocally(req *kumquatv1.BlockRequest, now time.Time) *kumquatv1.BlockResponse {
	target := incarnation{daemon: req.GetBlocked().GetDaemon(), number: req.GetBlocked().GetNumber()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOwnIncarnation(req.To) {
		return p.blockFormerProcess(req, now)
	}
	if !p.blocked[target] {
		p.settings.Recorder.Record(now, EventBlocked, recorder.Fields{
			"daemon":      target.daemon,
			"incarnation": strconv.FormatInt(target.number, 10),
			"by":          req.GetFrom().GetDaemon(),
		})
	}
	return &kumquatv1.BlockResponse{Blocked: true, RemainingMillis: p.block(target, now).Milliseconds()}
}

// block stops pledges to an incarnation and returns the remaining time of the last
// pledge. It adds a millisecond, so that conversion to whole milliseconds does not
// shorten the time. The caller holds mu.
func (p *Pledger) block(target incarnation, now time.Time) time.Duration {
	p.blocked[target] = true
	remaining := p.pledgedUntil[target].Sub(now)
	if remaining <= 0 {
		return 0
	}
	return remaining + time.Millisecond
}

// isOwnIncarnation reports whether an incarnation belongs to this process; the
// caller holds mu.
func (p *Pledger) isOwnIncarnation(to *kumquatv1.Incarnation) bool {
	return to.GetDaemon() == p.settings.Group.Identity().Daemon && p.ownIncarnations[to.GetNumber()]
}

// mustRefuseBlock reports whether a daemon of another region, or an unknown daemon,
// asks to block a daemon that this daemon can reach. In that case the two regions are
// cut off from each other, and this region keeps working on its own.
func (p *Pledger) mustRefuseBlock(req *kumquatv1.BlockRequest, now time.Time) bool {
	asker, ok := p.settings.Group.Peer(req.GetFrom().GetDaemon())
	if ok && asker.Region == p.settings.Group.Identity().Region {
		return false
	}
	target, ok := p.settings.Group.Peer(req.GetBlocked().GetDaemon())
	return ok && target.IsReachable(now)
}

// blockFormerProcess answers for a former process of this daemon's name at the same
// address. The former process has ended, because this process listens on the address.
// The pledges of the former process have expired once this process is older than a
// pledge. The caller holds mu.
func (p *Pledger) blockFormerProcess(req *kumquatv1.BlockRequest, now time.Time) *kumquatv1.BlockResponse {
	identity := p.settings.Group.Identity()
	if req.GetTo().GetDaemon() != identity.Daemon || req.ToAddress != identity.Address {
		return &kumquatv1.BlockResponse{}
	}
	remaining := max(PledgeTTL+PledgeMargin-now.Sub(p.started), 0)
	return &kumquatv1.BlockResponse{Blocked: true, RemainingMillis: remaining.Milliseconds()}
}
