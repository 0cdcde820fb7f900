package scheduler

import (
	"context"
	"iter"
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
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

// loadRetryDelay is the pause before a new owner tries again to load the records.
const loadRetryDelay = 200 * time.Millisecond

// Times of the requests that ask a former owner whether it has stopped.
const (
	askTimeout  = 250 * time.Millisecond
	askInterval = 150 * time.Millisecond
)

// duties run once the split is known: the daemon serves clients and may own parts.
type duties struct {
	s          *Scheduler
	split      partitioner.Split
	elector    *elector.Elector
	gateway    *gateway.Gateway
	conductors []atomic.Pointer[conductor.Conductor] // by part; nil if not owned
	endedTerms []atomic.Pointer[endedTerm]           // by part: this daemon's last ended term
	departures departures
}

// An endedTerm is a term of this daemon that has ended.
type endedTerm struct {
	fence    int64
	handover conductor.Handover
}

// newDuties starts the duties; close stops them.
func newDuties(ctx context.Context, s *Scheduler, split partitioner.Split) *duties {
	d := &duties{
		s: s, split: split, conductors: make([]atomic.Pointer[conductor.Conductor], split.Parts),
		endedTerms: make([]atomic.Pointer[endedTerm], split.Parts),
	}
	d.elector = d.newElector(d.serveOwner)
	d.gateway = gateway.New(gateway.Options{
		Store: s.opts.Store, Elector: d.elector, Peers: s.client, Recorder: s.opts.Recorder,
		Split: split, LocalOwner: d.localOwner, IsStoreLost: s.opts.Declarations.IsStoreLost,
		MaxValueBytes: s.opts.MaxValueBytes,
	})
	d.elector.Run(ctx)
	return d
}

// newElector returns an elector that runs serve while the daemon owns a part.
func (d *duties) newElector(serve func(ctx context.Context, term *elector.Term)) *elector.Elector {
	opts := &d.s.opts
	return elector.New(elector.Options{
		Store: opts.Store, Instance: opts.Instance, Address: opts.PeerAddress, Parts: d.split.Parts,
		CampaignDelay: d.campaignDelay, Recorder: opts.Recorder, Serve: serve,
	})
}

// close stops the duties and waits until they have ended.
func (d *duties) close() {
	d.elector.Close()
	d.gateway.Close()
}

// localOwner returns a part's owner if it is this process, else nil.
func (d *duties) localOwner(part int) relayer.Owner {
	if part < 0 || part >= len(d.conductors) {
		return nil
	}
	if c := d.conductors[part].Load(); c != nil {
		return c
	}
	return nil
}

// term returns this daemon's status for a part: whether it serves as the part's owner
// now, and which of its terms as the owner ended last.
func (d *duties) term(part int) relayer.TermStatus {
	term := relayer.TermStatus{}
	if part >= 0 && part < len(d.endedTerms) {
		if ended := d.endedTerms[part].Load(); ended != nil {
			term = ended.status(time.Now())
		}
	}
	term.Instance, term.Serves = d.s.opts.Instance, d.localOwner(part) != nil
	return term
}

// status returns the report about an ended term.
func (e *endedTerm) status(now time.Time) relayer.TermStatus {
	status := relayer.TermStatus{Ended: e.fence, Settled: e.handover.Settled}
	if e.handover.Lapses == nil {
		return status
	}
	status.LeasesMS = make(map[string]int64, len(e.handover.Lapses))
	for id, lapse := range e.handover.Lapses {
		if left := lapse.Sub(now); left > 0 {
			status.LeasesMS[id] = left.Milliseconds() + 1
		}
	}
	return status
}

// configure passes a configuration to the parts that this daemon owns.
func (d *duties) configure(config dispatcher.Configuration) {
	for _, c := range d.owned() {
		c.Configure(config)
	}
}

// owned iterates over the parts that this daemon serves as the owner.
func (d *duties) owned() iter.Seq2[int, *conductor.Conductor] {
	return func(yield func(int, *conductor.Conductor) bool) {
		for part := range d.conductors {
			if c := d.conductors[part].Load(); c != nil && !yield(part, c) {
				return
			}
		}
	}
}

// publish makes a conductor visible as the owner of its part, with the latest
// configuration, if one has been read.
func (d *duties) publish(part int, c *conductor.Conductor) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	d.conductors[part].Store(c)
	if config, ok := d.s.config.Get(); ok {
		c.Configure(config.Dispatch)
	}
}

// serveOwner runs the duties of a part's owner for one term.
func (d *duties) serveOwner(ctx context.Context, term *elector.Term) {
	owner, former := term.Owner, term.Former
	formerEnd := formerOwnerEnd(former, term.EarlierEnd, d.s.opts.PeerAddress, time.Now())
	var background sync.WaitGroup
	defer background.Wait()
	var ended atomic.Bool
	background.Go(func() {
		ended.Store(awaitEnds(ctx, formerEnd, time.Time{}, func() bool { return d.hasEnded(ctx, former) }, never))
	})
	background.Go(func() {
		if awaitEnds(ctx, formerEnd, term.EarlierEnd, ended.Load, func() bool { return d.hasQuorum(owner.Part) }) {
			term.RecordSettled()
		}
	})
	watcher := newReachWatcher(d.s.opts.RunnerClient)
	background.Go(func() {
		if watcher.awaitLoss(ctx, term.ConfirmedAt) {
			d.leave(term, time.Now())
		}
	})
	background.Go(func() { d.leaveIfStrained(ctx, term) })
	opts := conductor.Options{
		Limits: d.s.opts.Limits, Store: d.s.opts.Store, RunnerClient: watcher, Registry: d.s.opts.Registry,
		Adviser: d.s.opts.Adviser, Recorder: d.s.opts.Recorder, Metrics: d.s.metrics,
		Part: owner.Part, Split: d.split, OwnerKey: elector.RecordKey(owner.Part),
		Fence: owner.Fence, Generation: owner.Generation, FormerOwnerEnd: formerEnd,
		EarlierOwnersEnd: term.EarlierEnd,
		ConfirmedAt:      term.ConfirmedAt, HeldAt: term.HeldAt, MayAct: term.MayAct, Unconfirmed: term.Unconfirmed,
		OnDeposed: func(reason string) { term.Depose(time.Now(), reason) },
	}
	if d.split.Parts > 1 {
		opts.AskOffer = d.askOffer
	}
	own := endedTerm{fence: owner.Fence}
	defer func() { d.endedTerms[owner.Part].Store(&own) }()
	for ctx.Err() == nil {
		c, err := conductor.Start(ctx, opts)
		if err != nil {
			d.s.opts.Recorder.Record(time.Now(), EventLoadFailed, recorder.Fields{"part": strconv.Itoa(owner.Part), "error": err.Error()})
			pauser.Sleep(ctx, loadRetryDelay)
			continue
		}
		d.publish(owner.Part, c)
		if status := d.term(owner.Part); status.Instance == former.Instance && isOver(status, former) {
			c.TakeOver(handoverOf(status, former, time.Now())) // this process succeeds itself
		}
		d.s.opts.Recorder.Record(time.Now(), EventServing, recorder.Fields{
			"part": strconv.Itoa(owner.Part), "fence": strconv.FormatInt(owner.Fence, 10),
		})
		<-ctx.Done()
		d.conductors[owner.Part].Store(nil)
		c.Close()
		own.handover = c.Handover()
	}
}

// askOffer asks the owner of a part what the part offers for some needs.
func (d *duties) askOffer(ctx context.Context, part int, needs []partitioner.Need) (partitioner.Offer, error) {
	if local := d.localOwner(part); local != nil {
		return local.Offer(needs), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.s.client.Offer(ctx, relayer.Target{Address: d.elector.Current(part).Address, Part: part}, needs)
}

// leave gives up a part whose runners this daemon does not reach.
func (d *duties) leave(term *elector.Term, now time.Time) {
	d.departures.note(term.Owner.Part, departure{at: now, delay: unreachedDelay, strained: d.departures.strained(term.Owner.Part)})
	term.Resign(now, "its runners are out of reach")
}

// formerOwnerEnd returns the latest time at which an earlier owner may still act, for a
// daemon at the given address that succeeds former. Of that daemon's own earlier
// processes none does. The owners before former act until earlierEnd at most.
func formerOwnerEnd(former elector.Owner, earlierEnd time.Time, address string, now time.Time) time.Time {
	end := now
	if former.Fence > 0 && former.Address != address {
		end = now.Add(elector.MaxUnconfirmed)
	}
	if earlierEnd.After(end) {
		return earlierEnd
	}
	return end
}

// never is a condition that does not come true.
func never() bool { return false }

// hasQuorum reports whether so many of a part's runners have accepted this daemon as the
// owner that no earlier one can renew leases.
func (d *duties) hasQuorum(part int) bool {
	c := d.conductors[part].Load()
	return c != nil && c.HasQuorum()
}

// awaitEnds waits until no earlier owner can move the end of a lease any more: until
// formerEnd; once hasEnded says so of the former owner, until earlierEnd; or until hasQuorum
// says so of all of them. It reports whether the context has not ended.
func awaitEnds(ctx context.Context, formerEnd, earlierEnd time.Time, hasEnded, hasQuorum func() bool) bool {
	for now := time.Now(); now.Before(formerEnd); now = time.Now() {
		if hasQuorum() || (hasEnded() && !now.Before(earlierEnd)) {
			return ctx.Err() == nil
		}
		if !pauser.Sleep(ctx, askInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// hasEnded asks the former owner whether it has stopped, and for what it leaves to this
// owner. Once the former owner is known to have stopped, this daemon
// need not assume that it renews leases at runners that do not answer.
func (d *duties) hasEnded(ctx context.Context, former elector.Owner) bool {
	c := d.conductors[former.Part].Load()
	if c == nil {
		return false
	}
	term, err := d.formerTerm(ctx, former)
	if err != nil || !isOver(term, former) {
		return false
	}
	c.TakeOver(handoverOf(term, former, time.Now()))
	return true
}

// isOver reports whether the term of a former owner has ended, by what its daemon reports
// about its terms. A daemon that does not serve may still be loading the records of that
// term, and begin to serve before it learns of its successor.
func isOver(term relayer.TermStatus, former elector.Owner) bool {
	return term.Instance != former.Instance || term.Ended == former.Fence
}

// handoverOf returns what a former owner has left, by a report that was received at a
// time.
func handoverOf(term relayer.TermStatus, former elector.Owner, receivedAt time.Time) (handover conductor.Handover) {
	if term.Instance != former.Instance {
		return handover // of a later process
	}
	handover.Settled = term.Settled
	if term.LeasesMS == nil {
		return handover
	}
	handover.Lapses = make(map[string]time.Time, len(term.LeasesMS))
	for id, left := range term.LeasesMS {
		handover.Lapses[id] = receivedAt.Add(time.Duration(left) * time.Millisecond)
	}
	return handover
}

// formerTerm asks the former owner's daemon for its status for the part.
func (d *duties) formerTerm(ctx context.Context, former elector.Owner) (relayer.TermStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.s.client.Term(ctx, relayer.Target{Address: former.Address, Part: former.Part})
}
