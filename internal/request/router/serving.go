package router

import (
	"context"
	"net/http"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// serve serves a request without an idempotency key. The request is cancelled when
// its caller disconnects.
func (in *inboundRequest) serve() {
	ctx, cancel := context.WithDeadline(in.r.Context(), in.call.Deadline)
	defer cancel()
	answer, err := in.router.execute(ctx, in.call, in.target.upstream.RetryPercent)
	if err != nil {
		in.refuse(in.router.refusalFor(in.call, asAttemptError(err)))
		return
	}
	defer answer.Release()
	if err := attempter.Relay(in.w, answer, in.id); err != nil {
		in.abortResponse(err)
	}
	in.router.counters.answered.Add(1)
}

// abortResponse aborts the caller's connection, so that an incomplete response can't
// be taken for a complete one.
func (in *inboundRequest) abortResponse(err error) {
	in.router.counters.cut.Add(1)
	in.router.opts.Recorder.Record(in.router.opts.Now(), EventAnswerCut, recorder.Fields{
		"request": in.id, "upstream": in.call.Upstream, "reason": err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// refusalFor returns the refusal for a call that failed without a runner's response.
func (rt *Router) refusalFor(call *attempter.Call, callErr *attempter.Error) answerer.Refusal {
	refusal := answerer.Refusal{
		Status:     http.StatusServiceUnavailable,
		Outcome:    answerer.OutcomeNotRun,
		Event:      EventNotRun,
		Reason:     callErr.Reason,
		RetryAfter: callErr.RetryAfter,
	}
	if callErr.Outcome != answerer.OutcomeNotRun {
		refusal.Status = http.StatusBadGateway
		refusal.Outcome = answerer.OutcomeUnknown
		refusal.Event = EventOutcomeUnknown
	}
	if !rt.opts.Now().Before(call.Deadline) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}
