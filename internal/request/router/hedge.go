package router

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// A hedgedAttempt is one of two concurrent attempts at a call. Its answer and error
// may be read once done is closed.
type hedgedAttempt struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
	answer *attempter.Answer
	err    error
}

// hedge executes a call on a slot. If the response takes longer than 95 % of the
// upstream's responses and the retry budget allows, a second attempt starts on a free
// slot of another runner. When one attempt has a response that is not worth a retry, the
// other attempt is cancelled; the slot of the cancelled attempt becomes free when its
// runner has ended the request.
func (rt *Router) hedge(ctx context.Context, call *attempter.Call, slot *slotter.Slot) (answer *attempter.Answer, err error) {
	startedAt := rt.opts.Now()
	defer func() {
		if err == nil {
			rt.delays.Observe(call.Upstream, rt.opts.Now().Sub(startedAt))
		}
	}()
	delay, ok := rt.delays.Of(call.Upstream)
	if !ok {
		return rt.local.ExecuteOn(ctx, call, slot)
	}
	runner := slot.Runner()
	first := rt.startAttempt(ctx, func(ctx context.Context) (*attempter.Answer, error) {
		return rt.local.ExecuteOn(ctx, call, slot)
	})
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-first.done:
		return first.answer, first.err
	case <-timer.C:
	}
	second := rt.startHedge(ctx, call.WithAvoid(runner))
	if second == nil {
		<-first.done
		return first.answer, first.err
	}
	return rt.awaitFirstGood(call, first, second)
}

// startHedge starts the second attempt. It returns nil if no other runner has a free
// slot or the retry budget is spent.
func (rt *Router) startHedge(ctx context.Context, call *attempter.Call) *hedgedAttempt {
	slot, ok := rt.opts.Slots.TryAcquire(attempter.SlotRequestFor(call))
	if !ok {
		return nil
	}
	if slot.Runner() == call.Avoid || ctx.Err() != nil || !rt.budgets.Spend(call.Upstream) {
		slot.Release()
		return nil
	}
	rt.recordRetry(call)
	return rt.startAttempt(ctx, func(ctx context.Context) (*attempter.Answer, error) {
		return rt.local.Try(ctx, call, slot)
	})
}

// startAttempt starts an attempt, which buffers the body of a short response.
func (rt *Router) startAttempt(ctx context.Context, execute func(context.Context) (*attempter.Answer, error)) *hedgedAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := &hedgedAttempt{cancel: cancel, done: make(chan struct{})}
	rt.active.Add(1)
	go func() {
		defer rt.active.Add(-1)
		defer close(attempt.done)
		attempt.answer, attempt.err = execute(ctx)
		if attempt.err == nil {
			attempt.err = attempt.answer.BufferShortBody()
		}
		if attempt.err != nil {
			attempt.answer = nil
			cancel(nil)
			return
		}
		release := attempt.answer.Release
		attempt.answer.Release = func() {
			release()
			cancel(nil)
		}
	}()
	return attempt
}

// awaitFirstGood returns the first response that is not worth a retry. If neither
// attempt has one, it waits for both and prefers a response over an error.
func (rt *Router) awaitFirstGood(call *attempter.Call, first, second *hedgedAttempt) (*attempter.Answer, error) {
	winner, loser := first, second
	select {
	case <-first.done:
	case <-second.done:
		winner, loser = second, first
	}
	if winner.err != nil || isWorthRetry(call, winner.answer, nil) {
		<-loser.done
		if loser.err == nil {
			winner, loser = loser, winner
		}
	}
	rt.cancelAttempt(loser)
	return winner.answer, withUnknownOutcome(winner.err)
}

// cancelAttempt cancels an attempt and releases its answer in the background.
func (rt *Router) cancelAttempt(attempt *hedgedAttempt) {
	attempt.cancel(slotter.ErrSuperseded)
	rt.active.Add(1)
	go func() {
		defer rt.active.Add(-1)
		<-attempt.done
		if attempt.answer != nil {
			attempt.answer.Release()
		}
	}()
}
