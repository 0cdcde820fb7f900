package router

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// An exchange is one of two attempts at a call that run side by side. Its
// result may be read when done is closed.
type exchange struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
	answer *attempter.Answer
	err    error
}

// hedge carries out a call on a slot. If its answer takes longer than 95 % of
// the answers, and the budget of retries allows, a second attempt starts on a
// free slot of another runner. The other attempt is cancelled when one has a
// good answer; its slot is free when its runner has ended.
func (rt *Router) hedge(ctx context.Context, call *attempter.Call, slot *slotter.Slot) (answer *attempter.Answer, err error) {
	began := rt.opts.Now()
	defer func() {
		if err == nil {
			rt.delays.Note(call.Upstream, rt.opts.Now().Sub(began))
		}
	}()
	delay, ok := rt.delays.Of(call.Upstream)
	if !ok {
		return rt.local.ExecuteOn(ctx, call, slot)
	}
	runner := slot.Runner()
	first := rt.begin(ctx, func(ctx context.Context) (*attempter.Answer, error) {
		return rt.local.ExecuteOn(ctx, call, slot)
	})
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-first.done:
		return first.answer, first.err
	case <-timer.C:
	}
	second := rt.beginSecond(ctx, call.WithAvoid(runner))
	if second == nil {
		<-first.done
		return first.answer, first.err
	}
	return rt.decide(call, first, second)
}

// beginSecond starts a second attempt, or returns nil if there is no free slot
// of another runner or no budget.
func (rt *Router) beginSecond(ctx context.Context, call *attempter.Call) *exchange {
	slot, ok := rt.opts.Slots.TryAcquire(attempter.SlotRequestFor(call))
	if !ok {
		return nil
	}
	if slot.Runner() == call.Avoid || ctx.Err() != nil || !rt.budgets.Spend(call.Upstream) {
		slot.Release()
		return nil
	}
	rt.noteRetry(call)
	return rt.begin(ctx, func(ctx context.Context) (*attempter.Answer, error) {
		return rt.local.Try(ctx, call, slot)
	})
}

// begin starts an attempt and reads a short answer to its end.
func (rt *Router) begin(ctx context.Context, execute func(context.Context) (*attempter.Answer, error)) *exchange {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{cancel: cancel, done: make(chan struct{})}
	rt.active.Add(1)
	go func() {
		defer rt.active.Add(-1)
		defer close(e.done)
		e.answer, e.err = execute(ctx)
		if e.err == nil {
			e.err = e.answer.BufferShortBody()
		}
		if e.err != nil {
			e.answer = nil
			cancel(nil)
			return
		}
		release := e.answer.Release
		e.answer.Release = func() {
			release()
			cancel(nil)
		}
	}()
	return e
}

// decide waits for the first good answer, or else for both attempts.
func (rt *Router) decide(call *attempter.Call, first, second *exchange) (*attempter.Answer, error) {
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
	rt.drop(loser)
	return winner.answer, asRun(winner.err)
}

// drop cancels an attempt and gives its answer up.
func (rt *Router) drop(e *exchange) {
	e.cancel(slotter.ErrOvertaken)
	rt.active.Add(1)
	go func() {
		defer rt.active.Add(-1)
		<-e.done
		if e.answer != nil {
			e.answer.Release()
		}
	}()
}
