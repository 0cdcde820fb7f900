package scheduler

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/process/gateway"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// retryLoad is the pause before a new owner tries again to load the records.
const retryLoad = 200 * time.Millisecond

// Times of asking a former owner whether it has stopped.
const (
	askTimeout = 250 * time.Millisecond
	askAgain   = 150 * time.Millisecond
)

// duties are what a daemon does once the split is known: it serves clients and
// may own parts.
type duties struct {
	s       *Scheduler
	split   partitioner.Split
	elector *elector.Elector
	gateway *gateway.Gateway
	owners  []atomic.Pointer[conductor.Conductor] // by part
	ended   []atomic.Pointer[relayer.TermStatus]  // by part: the last term that has ended
}

// newDuties takes up the duties until close.
func newDuties(ctx context.Context, s *Scheduler, split partitioner.Split) *duties {
	d := &duties{
		s: s, split: split, owners: make([]atomic.Pointer[conductor.Conductor], split.Parts),
		ended: make([]atomic.Pointer[relayer.TermStatus], split.Parts),
	}
	d.elector = elector.New(elector.Options{
		Store: s.opts.Store, Instance: s.opts.Instance, Address: s.opts.PeerAddress, Parts: split.Parts,
		Delay: s.opts.CampaignDelay, Recorder: s.opts.Recorder, Serve: d.serveOwner,
	})
	d.gateway = gateway.New(gateway.Options{
		Store: s.opts.Store, Elector: d.elector, Peers: s.client, Recorder: s.opts.Recorder,
		Split: split, Local: d.local, IsStoreLost: s.opts.Declarations.IsStoreLost,
	})
	d.elector.Run(ctx)
	return d
}

// close ends the duties and waits for them.
func (d *duties) close() {
	d.elector.Close()
	d.gateway.Close()
}

// local returns the duties of a part's owner if this process has them.
func (d *duties) local(part int) relayer.Owner {
	if part < 0 || part >= len(d.owners) {
		return nil
	}
	if c := d.owners[part].Load(); c != nil {
		return c
	}
	return nil
}

// term tells of a part, and of the last term here that has ended.
func (d *duties) term(part int) relayer.TermStatus {
	term := relayer.TermStatus{}
	if part >= 0 && part < len(d.ended) {
		if ended := d.ended[part].Load(); ended != nil {
			term = *ended
		}
	}
	term.Instance, term.Serves = d.s.opts.Instance, d.local(part) != nil
	return term
}

// configure hands the declarations in force to the owners of this daemon.
func (d *duties) configure(world conductor.Configuration) {
	for part := range d.owners {
		if c := d.owners[part].Load(); c != nil {
			c.Configure(world)
		}
	}
}

// serveOwner runs the duties of an owner for one term.
func (d *duties) serveOwner(ctx context.Context, term *elector.Term) {
	owner, former := term.Owner, term.Former
	formerEnd := time.Now()
	if former.Fence > 0 && former.Address != d.s.opts.PeerAddress {
		formerEnd = formerEnd.Add(elector.MaxUnconfirmed)
	}
	var settling sync.WaitGroup
	defer settling.Wait()
	settling.Go(func() { d.settleFormer(ctx, former, formerEnd) })
	opts := conductor.Options{
		Limits: d.s.opts.Limits, Store: d.s.opts.Store, Agents: d.s.opts.RunnerClient, Registry: d.s.opts.Registry,
		Adviser: d.s.opts.Adviser, Recorder: d.s.opts.Recorder, Metrics: d.s.metrics,
		Part: owner.Part, Split: d.split, OwnerKey: elector.RecordKey(owner.Part),
		Fence: owner.Fence, Generation: owner.Generation, FormerEnd: formerEnd,
		ConfirmedAt: term.ConfirmedAt,
		Deposed:     func(reason string) { term.Depose(time.Now(), reason) },
	}
	for ctx.Err() == nil {
		c, err := conductor.Start(ctx, opts, d.s.world())
		if err != nil {
			d.s.opts.Recorder.Record(time.Now(), EventLoadFailed, recorder.Fields{"part": strconv.Itoa(owner.Part), "error": err.Error()})
			pauser.Sleep(ctx, retryLoad)
			continue
		}
		d.owners[owner.Part].Store(c)
		c.Configure(d.s.world())
		d.s.opts.Recorder.Record(time.Now(), EventServing, recorder.Fields{
			"part": strconv.Itoa(owner.Part), "fence": strconv.FormatInt(owner.Fence, 10),
		})
		<-ctx.Done()
		d.owners[owner.Part].Store(nil)
		c.Close()
		d.ended[owner.Part].Store(&relayer.TermStatus{Ended: owner.Fence, Settled: c.Settled()})
	}
}

// settleFormer asks a former owner whether it has stopped, so that what may run
// on silent runners need not wait for longest, and for the runners on which it
// had no stop under way.
func (d *duties) settleFormer(ctx context.Context, former elector.Owner, formerEnd time.Time) {
	for ctx.Err() == nil && time.Now().Before(formerEnd) {
		if c := d.owners[former.Part].Load(); c != nil {
			term, err := d.askFormer(ctx, former)
			switch {
			case err != nil:
			case term.Instance == former.Instance && term.Ended == former.Fence:
				c.FormerVouched(term.Settled)
				return
			case term.Instance != former.Instance:
				c.FormerEnded()
				return
			case !term.Serves:
				c.FormerEnded() // it may vouch for runners in a moment
			}
		}
		pauser.Sleep(ctx, askAgain)
	}
}

// askFormer asks the daemon of a former owner about its term.
func (d *duties) askFormer(ctx context.Context, former elector.Owner) (relayer.TermStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.s.client.Term(ctx, relayer.Target{Address: former.Address, Part: former.Part})
}
