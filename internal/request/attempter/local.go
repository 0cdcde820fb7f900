package attempter

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// maxUnsentAttempts bounds the attempts at runners to which a call could not be sent.
const maxUnsentAttempts = 4

// LocalExecutor executes calls on the runners that this daemon owns.
type LocalExecutor struct {
	slots *slotter.Slots
	now   func() time.Time
}

var _ Executor = (*LocalExecutor)(nil)

// NewLocalExecutor returns an executor that uses this daemon's runners.
func NewLocalExecutor(slots *slotter.Slots, now func() time.Time) *LocalExecutor {
	return &LocalExecutor{slots: slots, now: now}
}

// SlotRequestFor returns the request for a slot on which a call can be sent.
func SlotRequestFor(call *Call) slotter.SlotRequest {
	return slotter.SlotRequest{
		Upstream: call.Upstream, RequestID: call.Request, Caller: call.Caller,
		Deadline: call.Deadline, MissCost: call.MissCost, Idempotent: call.Idempotent, Avoid: call.Avoid,
	}
}

// Execute implements Executor. It queues the call if no slot is free.
func (l *LocalExecutor) Execute(ctx context.Context, call *Call) (answer *Answer, err error) {
	slot, err := l.slots.Acquire(ctx, SlotRequestFor(call))
	if err != nil {
		return nil, notRunError(err)
	}
	return l.ExecuteOn(ctx, call, slot)
}

// ExecuteOn executes a call on a slot that was acquired for it. If the call could
// not be sent, it is retried at other runners.
func (l *LocalExecutor) ExecuteOn(ctx context.Context, call *Call, slot *slotter.Slot) (answer *Answer, err error) {
	for attempt := 1; ; attempt++ {
		answer, err = l.Try(ctx, call, slot)
		if err == nil {
			return answer, nil
		}
		var callErr *Error
		if !errors.As(err, &callErr) || callErr.Outcome != answerer.OutcomeNotRun {
			return nil, err
		}
		if attempt == maxUnsentAttempts || ctx.Err() != nil || !call.Body.IsRepeatable() {
			return nil, err
		}
		request := SlotRequestFor(call)
		request.Avoid = slot.Runner()
		slot, err = l.slots.Acquire(ctx, request)
		if err != nil {
			return nil, notRunError(err)
		}
	}
}

// Try sends a call once, on a slot that was acquired for it.
func (l *LocalExecutor) Try(ctx context.Context, call *Call, slot *slotter.Slot) (answer *Answer, err error) {
	req, err := call.NewRequest(ctx, slot.Address(), l.now())
	if err != nil {
		slot.Release()
		return nil, &Error{Outcome: answerer.OutcomeNotRun, Reason: "request target is malformed", Cause: err}
	}
	resp, err := slot.Do(ctx, req) //nolint:bodyclose // The slot's Release ends it.
	if err == nil {
		return &Answer{Response: resp, Runner: slot.Runner(), Release: slot.Release}, nil
	}
	slot.Release()
	callErr := &Error{Outcome: answerer.OutcomeNotRun, Reason: "runner could not be reached", Runner: slot.Runner(), Cause: err}
	if exchanger.IsSent(err) {
		callErr.Outcome = answerer.OutcomeUnknown
		callErr.Reason = "exchange with the runner failed"
	}
	return nil, callErr
}

// notRunError returns the error of a call that got no slot.
func notRunError(err error) *Error {
	callErr := &Error{Outcome: answerer.OutcomeNotRun, Reason: "no slot was granted", RetryAfter: time.Second, Cause: err}
	var refused *errs.NotRunError
	if errors.As(err, &refused) {
		callErr.Reason = refused.Reason
		callErr.RetryAfter = refused.RetryAfter
	}
	if refused != nil && !errors.Is(err, slotter.ErrNoRunner) {
		callErr.Cause = nil // The cause would only repeat the reason.
	}
	return callErr
}
