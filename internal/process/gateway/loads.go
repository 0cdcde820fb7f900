package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// choose returns the part for a submission. The owners of those of its other candidate parts
// whose loads are outdated are asked in the background.
func (g *Gateway) choose(candidates []int, sub *submitter.Submission) (chosen int) {
	able := g.balancer.Able(candidates, needsOf(sub), time.Now())
	chosen = g.balancer.Choose(able, partitioner.DemandOf(sub))
	others := make([]int, 0, len(candidates))
	for _, part := range candidates {
		if part != chosen {
			others = append(others, part)
		}
	}
	for _, part := range g.balancer.Outdated(others, time.Now()) {
		g.reports.Go(func() {
			ctx, cancel := context.WithTimeout(g.ctx, ownerTimeout)
			defer cancel()
			g.readLoad(ctx, part)
		})
	}
	return chosen
}

// needsOf returns what a submission needs by the terms of its queue.
func needsOf(sub *submitter.Submission) []partitioner.Need {
	if sub.Terms == nil {
		return nil
	}
	return partitioner.NeedsOf(sub, sub.Terms.Service)
}

// readLoad asks the owner of a part for its load.
func (g *Gateway) readLoad(ctx context.Context, part int) {
	if local := g.opts.LocalOwner(part); local != nil {
		g.balancer.UpdateLoad(part, local.Load(), time.Now())
		return
	}
	load, err := g.opts.Peers.Load(ctx, g.target(part))
	g.noteLoad(part, load, err)
	if err != nil {
		g.recheckOwner(err)
	}
}

// noteLoad updates the balancer with the result of a call to the owner of a part.
func (g *Gateway) noteLoad(part int, load partitioner.Load, err error) {
	switch {
	case err == nil:
		g.balancer.UpdateLoad(part, load, time.Now())
	case !errors.Is(err, relayer.ErrUnsupported):
		g.balancer.MarkSilent(part)
	}
}
