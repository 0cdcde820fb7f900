package router

import (
	"context"
	"net/http"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// serve carries out a request without an idempotency key. It ends when its
// caller goes away.
func (v *visit) serve() {
	ctx, cancel := context.WithDeadline(v.r.Context(), v.call.Deadline)
	defer cancel()
	answer, err := v.router.execute(ctx, v.call, v.target.upstream.RetryPercent)
	if err != nil {
		v.refuse(v.router.refusalFor(v.call, asError(err)))
		return
	}
	defer answer.Release()
	if err := attempter.Relay(v.w, answer, v.id); err != nil {
		v.cut(err)
	}
	v.router.counters.answered.Add(1)
}

// cut breaks the caller's connection, so that the answer can't look whole.
func (v *visit) cut(err error) {
	v.router.counters.cut.Add(1)
	v.router.opts.Recorder.Record(v.router.opts.Now(), EventAnswerCut, recorder.Fields{
		"request": v.id, "upstream": v.call.Upstream, "reason": err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// refusalFor returns the answer for a request without a runner's answer.
func (rt *Router) refusalFor(call *attempter.Call, failed *attempter.Error) answerer.Refusal {
	refusal := answerer.Refusal{
		Status:     http.StatusServiceUnavailable,
		Outcome:    answerer.OutcomeNotRun,
		Event:      EventNotRun,
		Reason:     failed.Reason,
		RetryAfter: failed.RetryAfter,
	}
	if failed.Outcome != answerer.OutcomeNotRun {
		refusal.Status = http.StatusBadGateway
		refusal.Outcome = answerer.OutcomeUnknown
		refusal.Event = EventOutcomeUnknown
	}
	if !rt.opts.Now().Before(call.Deadline) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}
