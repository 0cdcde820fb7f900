package pledger

import (
	"context"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Pledge implements the peer service: this daemon binds itself not to take
// part in replacing the caller.
func (p *Pledger) Pledge(_ context.Context, req *kumquatv1.PledgeRequest) (*kumquatv1.PledgeResponse, error) {
	if req.Kind != kumquatv1.PledgeKind_PLEDGE_KIND_OWNERSHIP {
		return &kumquatv1.PledgeResponse{Refusal: "unknown kind of pledge"}, nil
	}
	now := time.Now()
	from := incarnation{daemon: req.GetFrom().GetDaemon(), number: req.GetFrom().GetNumber()}
	duration := min(time.Duration(req.DurationMillis)*time.Millisecond, Lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isSelf(req.To) {
		return &kumquatv1.PledgeResponse{Refusal: "not this incarnation"}, nil
	}
	if p.blocked[from] {
		return &kumquatv1.PledgeResponse{Refusal: "blocked"}, nil
	}
	if end := now.Add(duration); end.After(p.given[from]) {
		p.given[from] = end
	}
	return &kumquatv1.PledgeResponse{Granted: true}, nil
}

// Block implements the peer service: this daemon gives an incarnation no
// further pledges.
func (p *Pledger) Block(_ context.Context, req *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error) {
	now := time.Now()
	if p.isForeign(req, now) {
		return &kumquatv1.BlockResponse{}, nil
	}
	return p.blockHere(req, now), nil
}

// blockHere blocks an incarnation at this process, or vouches for a former one.
func (p *Pledger) blockHere(req *kumquatv1.BlockRequest, now time.Time) *kumquatv1.BlockResponse {
	target := incarnation{daemon: req.GetBlocked().GetDaemon(), number: req.GetBlocked().GetNumber()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isSelf(req.To) {
		return p.vouch(req, now)
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

// block ends pledges for an incarnation and returns how long the last one
// still binds, rounded up to a millisecond; the caller holds mu.
func (p *Pledger) block(target incarnation, now time.Time) time.Duration {
	p.blocked[target] = true
	remaining := p.given[target].Sub(now)
	if remaining <= 0 {
		return 0
	}
	return remaining + time.Millisecond
}

// isSelf reports whether an incarnation is of this process; the caller holds mu.
func (p *Pledger) isSelf(to *kumquatv1.Incarnation) bool {
	return to.GetDaemon() == p.settings.Group.Identity().Daemon && p.lives[to.GetNumber()]
}

// isForeign reports whether a daemon of another region asks to block one that
// is alive here: then the region is cut off and goes on by itself.
func (p *Pledger) isForeign(req *kumquatv1.BlockRequest, now time.Time) bool {
	asker, ok := p.settings.Group.Peer(req.GetFrom().GetDaemon())
	if ok && asker.Region == p.settings.Group.Identity().Region {
		return false
	}
	target, ok := p.settings.Group.Peer(req.GetBlocked().GetDaemon())
	return ok && target.IsReachable(now)
}

// vouch answers for a former process of the same name at the same address: it
// has ended, since this process listens there, and its pledges have run out
// once this one is older than a pledge. The caller holds mu.
func (p *Pledger) vouch(req *kumquatv1.BlockRequest, now time.Time) *kumquatv1.BlockResponse {
	identity := p.settings.Group.Identity()
	if req.GetTo().GetDaemon() != identity.Daemon || req.ToAddress != identity.Address {
		return &kumquatv1.BlockResponse{}
	}
	remaining := max(Lifetime+Margin-now.Sub(p.started), 0)
	return &kumquatv1.BlockResponse{Blocked: true, RemainingMillis: remaining.Milliseconds()}
}
