package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
	"github.com/kumquatstack/kumquatstack/internal/request/retrier"
)

const (
	// maxAttempts bounds the attempts at one idempotent request.
	maxAttempts = 3
	// maxAwaitingRunner bounds the requests that wait until some daemon has a usable runner.
	maxAwaitingRunner = 1000
	// runnerPollInterval is the interval at which a request that waits for a usable
	// runner is attempted again.
	runnerPollInterval = 20 * time.Millisecond
)

// execute executes a call. It retries an idempotent call after a failure at the
// runner while the deadline and the upstream's retry budget allow. The error is of
// type *attempter.Error.
func (rt *Router) execute(ctx context.Context, call *attempter.Call, retryPercent int) (answer *attempter.Answer, err error) {
	rt.budgets.Earn(call.Upstream, retryPercent)
	backoff := retrier.NewBackoff()
	answer, err = rt.attemptBuffered(ctx, call)
	for attempt := 1; attempt < maxAttempts && isWorthRetry(call, answer, err); attempt++ {
		pause := backoff.NextBackOff()
		if !rt.mayRetry(ctx, call, pause) {
			break
		}
		call = call.WithAvoid(runnerOf(answer, err))
		if answer != nil {
			answer.Release()
		}
		rt.recordRetry(call)
		pauser.Sleep(ctx, pause)
		answer, err = rt.attemptBuffered(ctx, call)
		err = withUnknownOutcome(err)
	}
	return answer, err
}

// isWorthRetry reports whether a call may be sent again and failed in a way that
// another attempt may mend.
func isWorthRetry(call *attempter.Call, answer *attempter.Answer, err error) bool {
	if !call.Idempotent || !call.Body.IsRepeatable() {
		return false
	}
	if err != nil {
		return asAttemptError(err).Outcome == answerer.OutcomeUnknown
	}
	switch answer.Response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayRetry reports whether the deadline and the retry budget allow another attempt
// after a pause. If so, it spends the budget.
func (rt *Router) mayRetry(ctx context.Context, call *attempter.Call, pause time.Duration) bool {
	if ctx.Err() != nil || !rt.opts.Now().Add(pause).Before(call.Deadline) {
		return false
	}
	return rt.budgets.Spend(call.Upstream)
}

// runnerOf returns the name of an attempt's runner, if known.
func runnerOf(answer *attempter.Answer, err error) string {
	if answer != nil {
		return answer.Runner
	}
	return asAttemptError(err).Runner
}

// withUnknownOutcome returns the error with the outcome set to unknown, because an
// earlier attempt at the call may have run even if the last one did not.
func withUnknownOutcome(err error) error {
	if err == nil {
		return nil
	}
	callErr := *asAttemptError(err)
	callErr.Outcome = answerer.OutcomeUnknown
	return &callErr
}

// asAttemptError returns err as an *attempter.Error. The outcome of errors of other
// types is unknown.
func asAttemptError(err error) *attempter.Error {
	var callErr *attempter.Error
	if errors.As(err, &callErr) {
		return callErr
	}
	return &attempter.Error{Outcome: answerer.OutcomeUnknown, Reason: "internal error", Cause: err}
}

// attemptBuffered attempts a call once and buffers the body of a short response.
func (rt *Router) attemptBuffered(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	answer, err = rt.attempt(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := answer.BufferShortBody(); err != nil {
		return nil, err
	}
	return answer, nil
}

// attempt attempts a call once. While neither this daemon nor a known peer has a
// usable runner, it waits for one.
func (rt *Router) attempt(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	for {
		answer, err = rt.dispatch(ctx, call)
		if !errors.Is(err, slotter.ErrNoRunner) {
			return answer, err
		}
		if err := rt.awaitRunner(ctx); err != nil {
			return nil, err
		}
	}
}

// dispatch executes a call on a free slot of this daemon or else at a peer. If no
// peer could run it, the call is queued at this daemon.
func (rt *Router) dispatch(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	if slot, ok := rt.opts.Slots.TryAcquire(attempter.SlotRequestFor(call)); ok {
		if call.Hedge && call.Body.IsRepeatable() {
			return rt.hedge(ctx, call, slot)
		}
		return rt.local.ExecuteOn(ctx, call, slot)
	}
	answer, err = rt.opts.Forwarder.Execute(ctx, call)
	if err == nil || !mayRunHere(call, err) {
		return answer, err
	}
	return rt.local.Execute(ctx, call)
}

// mayRunHere reports whether a call may still be executed by this daemon after
// forwarding it to peers has failed.
func mayRunHere(call *attempter.Call, err error) bool {
	if errors.Is(err, forwarder.ErrNoPeer) {
		return true
	}
	return asAttemptError(err).Outcome == answerer.OutcomeNotRun && call.Body.IsRepeatable()
}

// awaitRunner pauses a call for which no daemon has a usable runner at the moment. It
// returns an error if too many calls are waiting already or the context has ended.
func (rt *Router) awaitRunner(ctx context.Context) error {
	if rt.awaitingRunner.Add(1) > maxAwaitingRunner {
		rt.awaitingRunner.Add(-1)
		return &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "no runner is available", RetryAfter: time.Second}
	}
	defer rt.awaitingRunner.Add(-1)
	pauser.Sleep(ctx, runnerPollInterval)
	if ctx.Err() != nil {
		return &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "no runner became available before the deadline", RetryAfter: time.Second}
	}
	return nil
}

// recordRetry counts and records a retry or a hedge.
func (rt *Router) recordRetry(call *attempter.Call) {
	rt.counters.retried.Add(1)
	rt.opts.Recorder.Record(rt.opts.Now(), EventRetried, recorder.Fields{
		"request": call.Request, "upstream": call.Upstream, "runner": call.Avoid,
	})
}
