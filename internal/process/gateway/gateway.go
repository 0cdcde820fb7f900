package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/relayer"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/launcher"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/process/elector"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// ErrUnknownOutcome says that a submission may or may not be stored. The same
// request can be sent again.
var ErrUnknownOutcome = errors.New("submission may or may not be stored")

// A RejectedError says that a submission is not stored and never runs.
type RejectedError struct {
	Reason string
	// RetryAfter is when the same request has a chance to be accepted.
	RetryAfter time.Duration
}

// Unwrap tells peers that nothing was done.
func (e *RejectedError) Unwrap() error { return relayer.ErrNoEffect }

// Error implements error.
func (e *RejectedError) Error() string { return "submission rejected: " + e.Reason }

// Times of serving clients.
const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 700 * time.Millisecond
	// storeTries bounds calls to a store that answers that it did nothing.
	storeTries = 2
	// unknownTries bounds calls that resolve an unknown outcome.
	unknownTries = 2
	// storePause is the pause between tries.
	storePause = 120 * time.Millisecond
	// ownerTimeout bounds one call to the owner.
	ownerTimeout = 350 * time.Millisecond
	// reportTries bounds calls that hand a submission to the owner; the owner
	// also finds it in the store.
	reportTries = 12
	// reportPause is the pause between them.
	reportPause = 250 * time.Millisecond
	// viaOwnerTimeout bounds what the owner does for this daemon.
	viaOwnerTimeout = 1500 * time.Millisecond
	// outageRetryAfter is when clients may come back during an outage of the
	// store.
	outageRetryAfter = time.Second
)

// Options are what a gateway is made of.
type Options struct {
	Store    transactor.Store
	Elector  *elector.Elector
	Peers    *relayer.Client
	Recorder recorder.Recorder
	// Split divides the submissions; Local returns the duties of a part's owner
	// if this process has them, else nil.
	Split partitioner.Split
	Local func(part int) relayer.Owner
	// IsStoreLost reports whether the store did not answer lately.
	IsStoreLost func() bool
}

// A Gateway serves clients. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	loads   *partitioner.Balancer
	homes   *homes
	ctx     context.Context
	cancel  context.CancelFunc
	reports launcher.Group
}

// target returns the owner of a part as it is known now.
func (g *Gateway) target(part int) relayer.Target {
	return relayer.Target{Address: g.opts.Elector.Current(part).Address, Part: part}
}

// New returns a gateway.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, loads: partitioner.NewBalancer(), homes: newHomes(opts.Split)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Close gives up reports under way and waits for them.
func (g *Gateway) Close() {
	g.cancel()
	g.reports.Close()
}

// Submit makes a submission durable and hands it to the owner. It returns nil
// if the submission is stored, also by an earlier request; a *RejectedError if
// it never runs; ErrUnknownOutcome otherwise.
//
// Load: a store that turns some daemons away and serves others. They have the
// owner store what they are handed.
func (g *Gateway) Submit(ctx context.Context, sub submitter.Submission) (err error) {
	began := time.Now()
	defer func() { g.recordSubmit(&sub, began, err) }()
	if !g.opts.IsStoreLost() {
		return g.Accept(ctx, sub)
	}
	err = g.viaOwner(ctx, sub.ID, func(ctx context.Context, to relayer.Target) error {
		return g.opts.Peers.Accept(ctx, to, &sub)
	})
	return outcomeViaOwner(err)
}

// viaOwner has another daemon, the owner of a home of a submission, do what needs
// the store.
func (g *Gateway) viaOwner(ctx context.Context, id string, ask func(ctx context.Context, to relayer.Target) error) error {
	for _, part := range g.homes.of(id) {
		to := g.target(part)
		if to.Address == "" || g.opts.Local(part) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, viaOwnerTimeout)
		defer cancel()
		err := ask(ctx, to)
		if err != nil {
			g.suspect(err)
		}
		return err
	}
	return &RejectedError{Reason: "store is away", RetryAfter: outageRetryAfter}
}

// outcomeViaOwner translates what became of a request at the owner.
func outcomeViaOwner(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, relayer.ErrNoEffect):
		return &RejectedError{Reason: "store is away: " + err.Error(), RetryAfter: outageRetryAfter}
	default:
		return errors.Join(ErrUnknownOutcome, err)
	}
}

// Accept implements relayer.Keeper: it stores a submission through this
// daemon's own access to the store.
func (g *Gateway) Accept(ctx context.Context, sub submitter.Submission) (err error) {
	if g.opts.IsStoreLost() {
		return &RejectedError{Reason: "store is away", RetryAfter: outageRetryAfter}
	}
	homes := g.opts.Split.CandidateParts(sub.ID)
	part := g.loads.Choose(homes, partitioner.DemandOf(&sub))
	stamped := sub.WithOwner(g.opts.Elector.Current(part).Fence)
	value, err := stamped.Encode()
	if err != nil {
		return &RejectedError{Reason: err.Error()}
	}
	txn := transactor.Transaction{Writes: []transactor.Write{{Key: conductor.KeysOf(part).Work(sub.ID), Value: value}}}
	for _, home := range homes {
		txn.Conditions = append(txn.Conditions, transactor.Condition{Key: conductor.KeysOf(home).Work(sub.ID)})
	}
	err = g.commit(ctx, txn)
	var conflict *transactor.ConflictError
	accepted := &stamped
	if errors.As(err, &conflict) {
		// Accepted by an earlier request, whose daemon may not have reported it.
		part, accepted, err = earlier(sub.ID, homes, conflict)
	}
	if err != nil {
		return err
	}
	g.homes.note(sub.ID, part)
	g.report(func(ctx context.Context) error { return g.submitToOwner(ctx, part, accepted) })
	return nil
}

// earlier returns the submission that an earlier request has stored, and its
// home.
func earlier(id string, homes []int, conflict *transactor.ConflictError) (part int, sub *submitter.Submission, err error) {
	for _, home := range homes {
		if item := conflict.Find(conductor.KeysOf(home).Work(id)); item.Revision > 0 {
			sub, err = submitter.Decode(item.Value)
			return home, sub, err
		}
	}
	// The store says that a key exists, and names none of them.
	return 0, nil, errors.Join(ErrUnknownOutcome, conflict)
}

// commit carries out a transaction until its outcome is known. Besides a
// conflict it returns a *RejectedError or ErrUnknownOutcome.
func (g *Gateway) commit(ctx context.Context, txn transactor.Transaction) error {
	unknown := false
	tries := storeTries
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := g.opts.Store.Commit(callCtx, txn)
		cancel()
		var conflict *transactor.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		if !errors.Is(err, transactor.ErrUnavailable) {
			unknown, tries = true, unknownTries
		}
		if try+1 >= tries || !pauser.Sleep(ctx, storePause) {
			if unknown {
				return errors.Join(ErrUnknownOutcome, err)
			}
			return &RejectedError{Reason: err.Error(), RetryAfter: outageRetryAfter}
		}
	}
}

// report tells the owner something in the background.
func (g *Gateway) report(tell func(ctx context.Context) error) {
	g.reports.Go(func() {
		var err error
		for range reportTries {
			ctx, cancel := context.WithTimeout(g.ctx, ownerTimeout)
			err = tell(ctx)
			cancel()
			if err == nil {
				return
			}
			g.suspect(err)
			if !pauser.Sleep(g.ctx, reportPause) {
				return
			}
		}
		g.opts.Recorder.Record(time.Now(), EventReportFailed, recorder.Fields{"error": err.Error()})
	})
}

// suspect asks for another look at the owner's record after a failed call.
func (g *Gateway) suspect(err error) {
	if errors.Is(err, relayer.ErrConnectionRefused) || errors.Is(err, relayer.ErrNotOwner) {
		g.opts.Elector.Suspect()
	}
}

func (g *Gateway) submitToOwner(ctx context.Context, part int, sub *submitter.Submission) error {
	if local := g.opts.Local(part); local != nil {
		g.loads.UpdateLoad(part, local.Submit(sub))
		return nil
	}
	load, err := g.opts.Peers.Submit(ctx, g.target(part), sub)
	if err == nil {
		g.loads.UpdateLoad(part, load)
	}
	return err
}

// Cancel makes a cancellation durable and tells the owner. It reports whether
// the submission is known.
func (g *Gateway) Cancel(ctx context.Context, id string) (known bool, err error) {
	defer func() {
		fields := recorder.Fields{"id": id, "known": strconv.FormatBool(known)}
		if err != nil {
			fields["error"] = err.Error()
		}
		g.opts.Recorder.Record(time.Now(), EventCancelled, fields)
	}()
	if !g.opts.IsStoreLost() {
		return g.Revoke(ctx, id)
	}
	err = g.viaOwner(ctx, id, func(ctx context.Context, to relayer.Target) (err error) {
		known, err = g.opts.Peers.Revoke(ctx, to, id)
		return err
	})
	return known, outcomeViaOwner(err)
}

// Revoke implements relayer.Keeper: it stores a cancellation through this
// daemon's own access to the store.
func (g *Gateway) Revoke(ctx context.Context, id string) (known bool, err error) {
	part, item, err := g.find(ctx, id)
	if errors.Is(err, transactor.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	key := conductor.KeysOf(part).Cancel(id)
	err = g.commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: item.Key, Revision: item.Revision}, {Key: key}},
		Writes:     []transactor.Write{{Key: key, Value: []byte("{}")}},
	})
	var conflict *transactor.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return true, err
	}
	g.report(func(ctx context.Context) error {
		if local := g.opts.Local(part); local != nil {
			local.Cancel(id)
			return nil
		}
		return g.opts.Peers.Cancel(ctx, g.target(part), id)
	})
	return true, nil
}

func (g *Gateway) recordSubmit(sub *submitter.Submission, began time.Time, err error) {
	fields := recorder.Fields{
		"id": sub.ID, "queue": sub.Queue, "steps": strconv.Itoa(len(sub.Steps)),
		"tookMs": strconv.FormatInt(time.Since(began).Milliseconds(), 10),
	}
	var rejected *RejectedError
	switch {
	case err == nil:
		g.opts.Recorder.Record(time.Now(), EventAccepted, fields)
	case errors.As(err, &rejected):
		fields["reason"] = rejected.Reason
		g.opts.Recorder.Record(time.Now(), EventRejected, fields)
	default:
		fields["reason"] = err.Error()
		g.opts.Recorder.Record(time.Now(), EventOutcomeUnknown, fields)
	}
}
