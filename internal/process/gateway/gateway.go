package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
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

// ErrUnknownOutcome is returned if a submission or cancellation may or may not have
// been stored. The client can safely repeat the same request.
var ErrUnknownOutcome = errors.New("request may or may not have been stored")

// A RejectedError reports that a submission or cancellation was not stored and has no
// effect.
type RejectedError struct {
	Reason string
	// RetryAfter is the time after which the same request may be accepted; zero if no
	// time is known.
	RetryAfter time.Duration
}

// Unwrap returns relayer.ErrNoEffect, which tells other daemons that nothing was
// stored.
func (e *RejectedError) Unwrap() error { return relayer.ErrNoEffect }

// Error implements error.
func (e *RejectedError) Error() string { return "request rejected: " + e.Reason }

// Timeouts and retries of client requests.
const (
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 700 * time.Millisecond
	// storeAttempts limits the calls for one transaction if the store reports that the
	// calls had no effect.
	storeAttempts = 2
	// unknownOutcomeAttempts limits the calls for one transaction if the outcome of a
	// call is unknown; a repeated call finds out what the outcome was.
	unknownOutcomeAttempts = 2
	// maxRequestAge is the age, suspension of the host included, from which on no call is made
	// for a transaction.
	maxRequestAge = 15 * time.Second
	// storeRetryDelay is the pause between calls for one transaction.
	storeRetryDelay = 120 * time.Millisecond
	// ownerTimeout is the timeout of one call to the owner.
	ownerTimeout = 350 * time.Millisecond
	// reportAttempts limits the calls that report a submission or cancellation to the
	// owner, which also finds it in the store.
	reportAttempts = 12
	// reportRetryDelay is the pause between calls that report to the owner.
	reportRetryDelay = 250 * time.Millisecond
	// viaOwnerTimeout is the timeout of a call that has the owner use the store for
	// this daemon.
	viaOwnerTimeout = 1500 * time.Millisecond
	// outageRetryAfter is the time after which clients may retry during an outage of
	// the store.
	outageRetryAfter = time.Second
)

// Options configure a Gateway.
type Options struct {
	Store    transactor.Store
	Elector  *elector.Elector
	Peers    *relayer.Client
	Recorder recorder.Recorder
	// Split divides the submissions into parts; LocalOwner returns a part's owner if
	// it is this process, else nil.
	Split      partitioner.Split
	LocalOwner func(part int) relayer.Owner
	// IsStoreLost reports whether recent calls to the store were not answered.
	IsStoreLost func() bool
	// MaxValueBytes is the size of the largest value that the store takes, or zero if that is
	// not known.
	MaxValueBytes int
}

// A Gateway serves the requests of clients. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	balancer *partitioner.Balancer
	parts    *partCache
	marks    *markLeaser
	ctx      context.Context
	cancel   context.CancelFunc
	reports  launcher.Group // calls in progress that report to owners
}

// target returns the address of a part's owner as of the last read of the owner records.
func (g *Gateway) target(part int) relayer.Target {
	return relayer.Target{Address: g.opts.Elector.Current(part).Address, Part: part}
}

// New returns a gateway; Close stops it.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, balancer: partitioner.NewBalancer(), parts: newPartCache(opts.Split), marks: newMarkLeaser()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Close cancels the reports to owners and waits until they have ended.
func (g *Gateway) Close() {
	g.cancel()
	g.reports.Close()
}

// Submit stores a submission and reports it to the owner of its part. It returns nil if
// the submission is stored, possibly by an earlier request; a *RejectedError if the
// submission never runs; an error that wraps ErrUnknownOutcome otherwise.
//
// Load: a store that serves some daemons and not others. A daemon that can't reach the
// store has the owner store the submission.
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

// viaOwner makes a call that has another daemon, the owner of a candidate part of a
// submission, use the store on behalf of this daemon.
func (g *Gateway) viaOwner(ctx context.Context, id string, call func(ctx context.Context, to relayer.Target) error) error {
	for _, part := range g.parts.candidates(id) {
		to := g.target(part)
		if to.Address == "" || g.opts.LocalOwner(part) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, viaOwnerTimeout)
		defer cancel()
		err := call(ctx, to)
		if err != nil {
			g.recheckOwner(err)
		}
		return err
	}
	return &RejectedError{Reason: "store is unavailable", RetryAfter: outageRetryAfter}
}

// outcomeViaOwner translates an error of viaOwner into one for the client.
func outcomeViaOwner(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, relayer.ErrNoEffect):
		return &RejectedError{Reason: "store is unavailable: " + err.Error(), RetryAfter: outageRetryAfter}
	default:
		return errors.Join(ErrUnknownOutcome, err)
	}
}

// Accept implements relayer.SubmissionStore: it stores a submission through this daemon's
// own connection to the store, and reports it to the owner of its part.
func (g *Gateway) Accept(ctx context.Context, sub submitter.Submission) (err error) {
	if g.opts.IsStoreLost() {
		return &RejectedError{Reason: "store is unavailable", RetryAfter: outageRetryAfter}
	}
	candidates := g.opts.Split.CandidateParts(sub.ID)
	part := g.choose(candidates, &sub)
	stamped := sub.WithOwner(g.opts.Elector.Current(part).Fence)
	value, err := stamped.Encode()
	if err != nil {
		return &RejectedError{Reason: err.Error()}
	}
	if size, limit := max(len(value), sub.OccurrenceBytes()), g.opts.MaxValueBytes; limit > 0 && size > limit {
		return &RejectedError{Reason: fmt.Sprintf("submission or its progress may take %d bytes, the store takes %d", size, limit)}
	}
	err = g.commit(ctx, transactor.Transaction{
		Conditions: append(absence(sub.ID, candidates), transactor.Condition{Key: markKey(sub.ID)}),
		Writes:     []transactor.Write{{Key: conductor.KeysOf(part).Submission(sub.ID), Value: value}},
	})
	var conflict *transactor.ConflictError
	accepted := &stamped
	if errors.As(err, &conflict) {
		// An earlier request has stored the submission, and the daemon that served it may
		// have failed to report the submission to the owner.
		part, accepted, err = g.storedSubmission(ctx, sub.ID, candidates, conflict)
	}
	if err != nil {
		return err
	}
	g.parts.add(sub.ID, part)
	g.report(func(ctx context.Context) error { return g.submitToOwner(ctx, part, accepted) })
	return nil
}

// absence returns the conditions that a submission is not stored in its candidate parts.
func absence(id string, candidates []int) (conditions []transactor.Condition) {
	for _, candidate := range candidates {
		conditions = append(conditions, transactor.Condition{Key: conductor.KeysOf(candidate).Submission(id)})
	}
	return conditions
}

// storedSubmission returns the submission that an earlier request has stored, and
// its part. If it was cancelled before it was stored, the error is a *RejectedError.
func (g *Gateway) storedSubmission(ctx context.Context, id string, candidates []int, conflict *transactor.ConflictError) (part int, sub *submitter.Submission, err error) {
	for _, candidate := range candidates {
		if item := conflict.Find(conductor.KeysOf(candidate).Submission(id)); item.Revision > 0 {
			if part, item, err = g.follow(ctx, id, candidate, item); err != nil {
				return 0, nil, errors.Join(ErrUnknownOutcome, err)
			}
			sub, err = submitter.Decode(item.Value)
			return part, sub, err
		}
	}
	if conflict.Find(markKey(id)).Revision > 0 {
		return 0, nil, &RejectedError{Reason: "submission was cancelled before"}
	}
	// The store reports that a key exists, but not which one.
	return 0, nil, errors.Join(ErrUnknownOutcome, conflict)
}

// commit runs a transaction and repeats it, up to a limit, until its outcome is known.
// It returns a *transactor.ConflictError, a *RejectedError, transactor.ErrNotFound if the lease of
// a write has ended, or an error that wraps ErrUnknownOutcome.
func (g *Gateway) commit(ctx context.Context, txn transactor.Transaction) error {
	return g.commitBefore(ctx, txn, clocker.SinceBoot()+maxRequestAge)
}

// commitBefore is like commit, and makes no call from a time since the start of the host on.
func (g *Gateway) commitBefore(ctx context.Context, txn transactor.Transaction, end time.Duration) error {
	unknown := false
	limit := storeAttempts
	for attempt := 0; ; attempt++ {
		err := transactor.ErrUnavailable
		if clocker.SinceBoot() < end {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			_, err = g.opts.Store.Commit(callCtx, txn)
			cancel()
		}
		var conflict *transactor.ConflictError
		if err == nil || errors.As(err, &conflict) || errors.Is(err, transactor.ErrNotFound) {
			return err
		}
		var refused *transactor.RefusedError
		if errors.As(err, &refused) {
			return &RejectedError{Reason: err.Error()}
		}
		if !errors.Is(err, transactor.ErrUnavailable) {
			unknown, limit = true, unknownOutcomeAttempts
		}
		if attempt+1 >= limit || !pauser.Sleep(ctx, storeRetryDelay) {
			if unknown {
				return errors.Join(ErrUnknownOutcome, err)
			}
			return &RejectedError{Reason: err.Error(), RetryAfter: outageRetryAfter}
		}
	}
}

// report makes a call to the owner in the background and repeats it until it
// succeeds, up to a limit.
func (g *Gateway) report(call func(ctx context.Context) error) {
	g.reports.Go(func() {
		var err error
		for range reportAttempts {
			ctx, cancel := context.WithTimeout(g.ctx, ownerTimeout)
			err = call(ctx)
			cancel()
			if err == nil {
				return
			}
			g.recheckOwner(err)
			if !pauser.Sleep(g.ctx, reportRetryDelay) {
				return
			}
		}
		g.opts.Recorder.Record(time.Now(), EventReportFailed, recorder.Fields{"error": err.Error()})
	})
}

// recheckOwner makes the elector read the owner records again if the error of a call to
// an owner shows that the owner may have changed.
func (g *Gateway) recheckOwner(err error) {
	if errors.Is(err, relayer.ErrConnectionRefused) || errors.Is(err, relayer.ErrNotOwner) {
		g.opts.Elector.Recheck()
	}
}

// submitToOwner reports a stored submission to the owner of its part, and updates the
// balancer with the load that the owner returns.
func (g *Gateway) submitToOwner(ctx context.Context, part int, sub *submitter.Submission) error {
	var receipt partitioner.Receipt
	var err error
	if local := g.opts.LocalOwner(part); local != nil {
		receipt = local.Submit(sub)
	} else {
		receipt, err = g.opts.Peers.Submit(ctx, g.target(part), sub)
	}
	g.noteLoad(part, receipt.Load, err)
	g.balancer.NoteUnable(part, receipt.Unable, time.Now())
	return err
}

// Cancel stores a cancellation and reports it to the owner. known is true if the
// submission exists.
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

// Revoke implements relayer.SubmissionStore: it stores a cancellation through this daemon's
// own connection to the store, and reports it to the owner. If there is no such submission, none
// that is still under way is accepted later.
func (g *Gateway) Revoke(ctx context.Context, id string) (known bool, err error) {
	for range maxMoves {
		part, item, err := g.find(ctx, id)
		if errors.Is(err, transactor.ErrNotFound) {
			isStored, err := g.mark(ctx, id)
			if err != nil || !isStored {
				return false, err
			}
			continue
		}
		if err != nil {
			return false, err
		}
		isLost, err := g.storeCancellation(ctx, part, item, id)
		if err != nil {
			return true, err
		}
		if !isLost {
			g.reportCancellation(part, id)
			return true, nil
		}
	}
	return true, ErrUnknownOutcome
}

// reportCancellation reports a stored cancellation to the owner of the submission's part.
func (g *Gateway) reportCancellation(part int, id string) {
	g.report(func(ctx context.Context) error {
		if local := g.opts.LocalOwner(part); local != nil {
			local.Cancel(id)
			return nil
		}
		return g.opts.Peers.Cancel(ctx, g.target(part), id)
	})
}

// storeCancellation stores the cancellation of a submission that was found in a part. isLost says
// that the submission is no longer there.
func (g *Gateway) storeCancellation(ctx context.Context, part int, found transactor.Item, id string) (isLost bool, err error) {
	key := conductor.KeysOf(part).Cancellation(id)
	err = g.commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: found.Key, Revision: found.Revision}, {Key: key}},
		Writes:     []transactor.Write{{Key: key, Value: []byte("{}")}},
	})
	var conflict *transactor.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Find(key).Revision == 0, nil
	}
	return false, err
}

// recordSubmit records the event of a submission's outcome.
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
