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

// maxUnsent bounds the runners that one call is tried on without being sent.
const maxUnsent = 4

// LocalExecutor carries out calls on the runners that this daemon owns.
type LocalExecutor struct {
	slots *slotter.Slots
	now   func() time.Time
}

var _ Executor = (*LocalExecutor)(nil)

// NewLocalExecutor returns an executor on this daemon's runners.
func NewLocalExecutor(slots *slotter.Slots, now func() time.Time) *LocalExecutor {
	return &LocalExecutor{slots: slots, now: now}
}

// SlotRequestFor returns what a call asks of the slots.
func SlotRequestFor(call *Call) slotter.Ask {
	return slotter.Ask{
		Upstream: call.Upstream, Request: call.Request, Caller: call.Caller,
		Deadline: call.Deadline, MissCost: call.MissCost, Idempotent: call.Idempotent, Avoid: call.Avoid,
	}
}

// Execute implements Executor. It waits for a slot.
func (l *LocalExecutor) Execute(ctx context.Context, call *Call) (answer *Answer, err error) {
	slot, err := l.slots.Acquire(ctx, SlotRequestFor(call))
	if err != nil {
		return nil, notRun(err)
	}
	return l.ExecuteOn(ctx, call, slot)
}

// ExecuteOn carries out a call on a slot that was acquired for it. If the call
// could not be sent, other runners are tried.
func (l *LocalExecutor) ExecuteOn(ctx context.Context, call *Call, slot *slotter.Slot) (answer *Answer, err error) {
	for attempt := 1; ; attempt++ {
		answer, err = l.Try(ctx, call, slot)
		if err == nil {
			return answer, nil
		}
		var failed *Error
		if !errors.As(err, &failed) || failed.Outcome != answerer.OutcomeNotRun {
			return nil, err
		}
		if attempt == maxUnsent || ctx.Err() != nil || !call.Body.IsRepeatable() {
			return nil, err
		}
		ask := SlotRequestFor(call)
		ask.Avoid = slot.Runner()
		slot, err = l.slots.Acquire(ctx, ask)
		if err != nil {
			return nil, notRun(err)
		}
	}
}

// Try sends a call to one runner, on a slot that was acquired for it.
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
	failed := &Error{Outcome: answerer.OutcomeNotRun, Reason: "runner could not be reached", Runner: slot.Runner(), Cause: err}
	if exchanger.IsSent(err) {
		failed.Outcome = answerer.OutcomeUnknown
		failed.Reason = "exchange with the runner broke"
	}
	return nil, failed
}

// notRun makes the error of a call that got no slot.
func notRun(err error) *Error {
	failed := &Error{Outcome: answerer.OutcomeNotRun, Reason: "no slot", RetryAfter: time.Second, Cause: err}
	var refused *errs.NotRunError
	if errors.As(err, &refused) {
		failed.Reason = refused.Reason
		failed.RetryAfter = refused.RetryAfter
	}
	if refused != nil && !errors.Is(err, slotter.ErrNoRunner) {
		failed.Cause = nil // The reason says it all.
	}
	return failed
}
