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
	// maxAttempts bounds how often one idempotent request is sent.
	maxAttempts = 3
	// maxHomeless bounds the requests that wait for any daemon with runners.
	maxHomeless = 1000
	// homelessPause is the time between two looks for such a daemon.
	homelessPause = 20 * time.Millisecond
)

// execute carries out a call, and again if it is idempotent, is worth it and
// the budget allows. The error is of type *attempter.Error.
func (rt *Router) execute(ctx context.Context, call *attempter.Call, retryPercent int) (answer *attempter.Answer, err error) {
	rt.budgets.Earn(call.Upstream, retryPercent)
	pauses := retrier.NewPauses()
	answer, err = rt.attemptWhole(ctx, call)
	for attempt := 1; attempt < maxAttempts && isWorthRetry(call, answer, err); attempt++ {
		pause := pauses.NextBackOff()
		if !rt.mayRetry(ctx, call, pause) {
			break
		}
		call = call.WithAvoid(runnerOf(answer, err))
		if answer != nil {
			answer.Release()
		}
		rt.noteRetry(call)
		pauser.Sleep(ctx, pause)
		answer, err = rt.attemptWhole(ctx, call)
		err = asRun(err)
	}
	return answer, err
}

// isWorthRetry reports whether another attempt may be made and may help.
func isWorthRetry(call *attempter.Call, answer *attempter.Answer, err error) bool {
	if !call.Idempotent || !call.Body.IsRepeatable() {
		return false
	}
	if err != nil {
		return asError(err).Outcome == answerer.OutcomeUnknown
	}
	switch answer.Response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// mayRetry reports whether time and budget allow one more attempt.
func (rt *Router) mayRetry(ctx context.Context, call *attempter.Call, pause time.Duration) bool {
	if ctx.Err() != nil || !rt.opts.Now().Add(pause).Before(call.Deadline) {
		return false
	}
	return rt.budgets.Spend(call.Upstream)
}

// runnerOf returns the runner of an attempt, if known.
func runnerOf(answer *attempter.Answer, err error) string {
	if answer != nil {
		return answer.Runner
	}
	return asError(err).Runner
}

// asRun returns an error that doesn't deny earlier attempts.
func asRun(err error) error {
	if err == nil {
		return nil
	}
	failed := *asError(err)
	failed.Outcome = answerer.OutcomeUnknown
	return &failed
}

// asError returns the attempt's error. Errors of other kinds are of unknown outcome.
func asError(err error) *attempter.Error {
	var failed *attempter.Error
	if errors.As(err, &failed) {
		return failed
	}
	return &attempter.Error{Outcome: answerer.OutcomeUnknown, Reason: "internal error", Cause: err}
}

// attemptWhole carries out a call once and reads a short answer to its end.
func (rt *Router) attemptWhole(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	answer, err = rt.attempt(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := answer.BufferShortBody(); err != nil {
		return nil, err
	}
	return answer, nil
}

// attempt carries out a call once. It looks again where to while neither this
// daemon nor one that it knows has a runner.
func (rt *Router) attempt(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	for {
		answer, err = rt.attemptHere(ctx, call)
		if !errors.Is(err, slotter.ErrNoRunner) {
			return answer, err
		}
		if err := rt.awaitHome(ctx); err != nil {
			return nil, err
		}
	}
}

// attemptHere carries out a call on a free slot of this daemon, at a better
// peer, or after waiting here.
func (rt *Router) attemptHere(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	if slot, ok := rt.opts.Slots.TryAcquire(attempter.SlotRequestFor(call)); ok {
		if call.Hedge && call.Body.IsRepeatable() {
			return rt.hedge(ctx, call, slot)
		}
		return rt.local.ExecuteOn(ctx, call, slot)
	}
	answer, err = rt.opts.Forwarder.Execute(ctx, call)
	if err == nil || !isPassable(call, err) {
		return answer, err
	}
	return rt.local.Execute(ctx, call)
}

// isPassable reports whether a call may still be carried out here after the
// peers gave an error.
func isPassable(call *attempter.Call, err error) bool {
	if errors.Is(err, forwarder.ErrNoPeer) {
		return true
	}
	return asError(err).Outcome == answerer.OutcomeNotRun && call.Body.IsRepeatable()
}

// awaitHome pauses a call that no daemon has a runner for at the moment.
func (rt *Router) awaitHome(ctx context.Context) error {
	if rt.homeless.Add(1) > maxHomeless {
		rt.homeless.Add(-1)
		return &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "no runner is available", RetryAfter: time.Second}
	}
	defer rt.homeless.Add(-1)
	pauser.Sleep(ctx, homelessPause)
	if ctx.Err() != nil {
		return &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "no runner was available in time", RetryAfter: time.Second}
	}
	return nil
}

// noteRetry counts and records a retry.
func (rt *Router) noteRetry(call *attempter.Call) {
	rt.counters.retried.Add(1)
	rt.opts.Recorder.Record(rt.opts.Now(), EventRetried, recorder.Fields{
		"request": call.Request, "upstream": call.Upstream, "runner": call.Avoid,
	})
}
