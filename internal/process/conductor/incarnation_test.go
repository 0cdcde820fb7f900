package conductor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A pollCall is a poll that a rebornRunner has got.
type pollCall struct {
	Poll

	at      time.Time
	endedAt time.Time // zero while it is under way
	isCut   bool      // it had no answer
}

// A rebornRunner is the client of a runner that is restarted under its ID. An incarnation
// refuses tokens that are lower than the highest one that it has seen. A poll that is under
// way at a restart gets no answer.
type rebornRunner struct {
	c        *Conductor
	registry listRegistry
	heldAt   atomic.Int64
	deposed  atomic.Int64
	refused  atomic.Int64 // events of refused calls for former incarnations

	mu              sync.Mutex
	began           time.Time
	lifetime, token int64
	isSilent        bool
	polls           []pollCall
	orders          []dispatcher.Order
	ended           []dispatcher.End
	// cutError is the error of a poll that is cut; nil stands for that of its context.
	cutError error
	// orderDelay is how long an order is on its way.
	orderDelay time.Duration
}

func (r *rebornRunner) Poll(ctx context.Context, _ dispatcher.RunnerInfo, poll Poll) (report dispatcher.Report, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.polls)
	r.polls = append(r.polls, pollCall{Poll: poll, at: time.Now()})
	defer func() { r.polls[n].endedAt = time.Now() }()
	if poll.Token < r.token {
		return report, ErrFenced
	}
	r.token = poll.Token
	lifetime := r.lifetime
	r.unlocked(func() { pauser.Sleep(ctx, max(poll.Wait, time.Millisecond)) })
	if r.isSilent || lifetime != r.lifetime {
		r.unlocked(func() { <-ctx.Done() })
	}
	if ctx.Err() != nil {
		r.polls[n].isCut = true
		if r.cutError != nil {
			return report, r.cutError
		}
		return report, ctx.Err()
	}
	r.ended = slices.DeleteFunc(r.ended, func(e dispatcher.End) bool { return e.N <= poll.Acked })
	return dispatcher.Report{Lifetime: r.lifetime, Clock: r.clock(), Ended: slices.Clone(r.ended)}, nil
}

// Send implements RunnerClient. What is started is done at once.
func (r *rebornRunner) Send(ctx context.Context, _ string, order dispatcher.Order) OrderResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, order)
	r.unlocked(func() { pauser.Sleep(ctx, r.orderDelay) })
	switch {
	case ctx.Err() != nil:
		return OrderResult{Outcome: dispatcher.Unanswered}
	case order.Token < r.token:
		return OrderResult{Outcome: dispatcher.Fenced}
	}
	r.token = order.Token
	if order.Kind == dispatcher.Start {
		r.ended = append(r.ended, dispatcher.End{N: int64(len(r.ended)) + 1, Task: order.Task, Run: order.Run, Kind: dispatcher.Done})
	}
	return OrderResult{Outcome: dispatcher.Succeeded, Clock: r.clock(), Lifetime: r.lifetime}
}

// unlocked calls a function without the lock.
func (r *rebornRunner) unlocked(f func()) {
	r.mu.Unlock()
	defer r.mu.Lock()
	f()
}

func (r *rebornRunner) clock() int64 { return time.Since(r.began).Milliseconds() + 1 }

// Record implements recorder.Recorder.
func (r *rebornRunner) Record(_ time.Time, number recorder.Number, _ recorder.Fields) {
	if number == EventFormerCallRefused {
		r.refused.Add(1)
	}
}

// restart starts the next incarnation.
func (r *rebornRunner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began, r.token, r.ended = time.Now(), 0, nil
	r.lifetime++
}

// list lets the registry list the present incarnation, and waits until that has had its effects.
func (r *rebornRunner) list() {
	r.mu.Lock()
	info := heldRunner
	info.Lifetime = r.lifetime
	r.mu.Unlock()
	r.registry <- []dispatcher.RunnerInfo{info}
	synctest.Wait()
}

// set changes the runner.
func (r *rebornRunner) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *rebornRunner) sent() (polls []pollCall, orders []dispatcher.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls), slices.Clone(r.orders)
}

// runReborn runs a test with the owner of a runner whose tokens may be as high as heldAt, and
// whose clock advances only while the test waits.
func runReborn(t *testing.T, heldAt int64, test func(t *testing.T, r *rebornRunner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		held := newHeldClient()
		r := &rebornRunner{registry: held.registry, began: time.Now(), lifetime: 1}
		r.heldAt.Store(heldAt)
		opts := heldOptions(t, held)
		opts.RunnerClient, opts.Recorder, opts.HeldAt = r, r, r.heldAt.Load
		opts.OnDeposed = func(string) { r.deposed.Add(1) }
		r.c = start(t, held, opts, heldRunner)
		time.Sleep(pollWait)
		test(t, r)
		r.c.Close()
	})
}

// awaitPoll waits until a poll is under way that a condition holds for.
func (r *rebornRunner) awaitPoll(t *testing.T, holds func(p Poll) bool) {
	t.Helper()
	assertEventually(t, "a poll is under way", func() bool {
		polls, _ := r.sent()
		last := polls[len(polls)-1]
		return last.endedAt.IsZero() && holds(last.Poll)
	})
}

// isRenewal reports whether a poll moves the ends of leases.
func isRenewal(p Poll) bool { return p.LeaseEnd > 0 }

// assertNewPoll checks that the last of the polls was sent at a time, with a token of a new
// incarnation, and that it says nothing that was meant for the former one.
func assertNewPoll(t *testing.T, polls []pollCall, token int64, at time.Time) {
	t.Helper()
	last := polls[len(polls)-1]
	if want := (Poll{Token: token}); last.Poll != want || !last.at.Equal(at) {
		t.Errorf("poll %+v %s after the restart was learnt, want %+v at once", last.Poll, last.at.Sub(at), want)
	}
}

func assertDeposed(t *testing.T, r *rebornRunner, want bool) {
	t.Helper()
	if got := r.deposed.Load() > 0; got != want {
		t.Errorf("deposed: %t, want %t", got, want)
	}
}

// assertRenewed checks that the last poll that was answered was a renewal with a token.
func assertRenewed(t *testing.T, r *rebornRunner, token int64) {
	t.Helper()
	polls, _ := r.sent()
	polls = slices.DeleteFunc(polls, func(p pollCall) bool { return p.endedAt.IsZero() })
	if last := polls[len(polls)-1]; last.Token != token || last.LeaseEnd == 0 || last.isCut {
		t.Errorf("last answered poll %+v, want a renewal with token %d", last, token)
	}
}

// Guards against a poll for a former incarnation that keeps the owner from calling the next
// one, and against lease ends and acknowledgements for the former one there.
func TestRestartEndsThePollUnderWay(t *testing.T) {
	t.Parallel()
	runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
		submit(r.c, "a", 1)
		r.awaitPoll(t, func(p Poll) bool { return p.Acked > 0 && isRenewal(p) })
		r.restart()
		r.list()
		polls, _ := r.sent()
		assertNewPoll(t, polls, 2, time.Now())
		if former := polls[len(polls)-2]; !former.isCut || !former.endedAt.Equal(time.Now()) {
			t.Errorf("the poll for the former incarnation ended %s ago, cut: %t; want it to be cut now", time.Since(former.endedAt), former.isCut)
		}
		time.Sleep(2 * idleWait)
		assertRenewed(t, r, 2)
		assertDeposed(t, r, false)
	})
}

// Guards against a poll for a former incarnation that is sent as the restart is learnt.
func TestPollForAFormerIncarnationIsNotSent(t *testing.T) {
	t.Parallel()
	runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
		to, poll, ok := r.c.nextPoll(&poller{}, "r")
		if !ok || poll.Token != 1 {
			t.Fatalf("next poll %+v, want one with token 1", poll)
		}
		r.restart()
		r.list()
		before, _ := r.sent()
		if _, err := r.c.poll(t.Context(), &poller{}, to, poll); !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want %v", err, context.Canceled)
		}
		if after, _ := r.sent(); len(after) > len(before) {
			t.Errorf("poll %+v was sent", after[len(after)-1])
		}
	})
}

// Guards against an end of a poll that is used for the next one.
func TestPollAfterARestartThatAnAnswerShowsIsNotEnded(t *testing.T) {
	t.Parallel()
	runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
		r.awaitPoll(t, isRenewal)
		r.restart()
		time.Sleep(idleWait + pollTimeout + 2*pollRetryDelay + 2*idleWait)
		polls, _ := r.sent()
		first := slices.IndexFunc(polls, func(p pollCall) bool { return p.Token == 2 })
		if first < 0 {
			t.Fatalf("polls %+v, want some with token 2", polls)
		}
		assertNewPoll(t, polls[:first+1], 2, polls[first-1].endedAt)
		for _, p := range polls[first:] {
			if p.Token != 2 || p.isCut {
				t.Errorf("poll %+v, want an answered one with token 2", p)
			}
		}
		assertRenewed(t, r, 2)
	})
}

// Guards against an owner that gives up since a restarted runner refuses a call that was meant
// for its former incarnation.
func TestRefusalOfAFormerTokenDoesNotDepose(t *testing.T) {
	t.Parallel()
	t.Run("of a poll", func(t *testing.T) {
		t.Parallel()
		runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
			r.awaitPoll(t, isRenewal)
			r.set(func() { r.cutError = ErrFenced })
			r.restart()
			r.list()
			polls, _ := r.sent()
			assertNewPoll(t, polls, 2, time.Now())
			assertFormerCallRefused(t, r)
		})
	})
	t.Run("of an order", func(t *testing.T) {
		t.Parallel()
		runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
			r.set(func() { r.orderDelay = orderTimeout / 2 })
			submit(r.c, "a", 1)
			time.Sleep(orderTimeout / 4)
			r.restart()
			r.list()
			assertFormerCallRefused(t, r)
			time.Sleep(10 * time.Second)
			_, orders := r.sent()
			if last := orders[len(orders)-1]; last.Kind != dispatcher.Start || last.Token != 2 || last.Lifetime != 2 {
				t.Errorf("last order %+v, want a start on the next incarnation", last)
			}
		})
	})
}

// assertFormerCallRefused checks that the runner refuses one call for a former incarnation, and
// that the owner goes on.
func assertFormerCallRefused(t *testing.T, r *rebornRunner) {
	t.Helper()
	time.Sleep(2 * idleWait)
	if got := r.refused.Load(); got != 1 {
		t.Errorf("%d refused calls for a former incarnation were recorded, want 1", got)
	}
	assertDeposed(t, r, false)
	assertRenewed(t, r, 2)
}

// Guards against an owner that takes the refusals of a successor's runners for those of
// restarted ones.
func TestRefusalOfTheCurrentTokenDeposes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name        string
		isRestarted bool
		send        func(r *rebornRunner)
	}{
		{"of a poll", false, func(*rebornRunner) { time.Sleep(2 * idleWait) }},
		{"of a poll after a restart", true, func(*rebornRunner) { time.Sleep(2 * idleWait) }},
		{"of an order", false, func(r *rebornRunner) { submit(r.c, "a", 1); time.Sleep(orderTimeout) }},
		{"of an order after a restart", true, func(r *rebornRunner) { submit(r.c, "a", 1); time.Sleep(orderTimeout) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
				if c.isRestarted {
					r.restart()
					r.list()
					time.Sleep(time.Second)
				}
				r.awaitPoll(t, isRenewal)
				r.set(func() { r.token++ })
				c.send(r)
				assertDeposed(t, r, true)
			})
		})
	}
}

// Guards against fencing tokens that a successor may use, too.
func TestRunnerWithoutATokenIsNotCalled(t *testing.T) {
	t.Parallel()
	t.Run("where nothing runs", func(t *testing.T) {
		t.Parallel()
		runReborn(t, 1, func(t *testing.T, r *rebornRunner) {
			polls, _ := r.assertNotCalledWithoutAToken(t)
			later, _ := r.sent()
			if len(later) == len(polls) {
				t.Fatal("no poll although there is a token")
			}
			assertNewPoll(t, later[:len(polls)+1], 2, later[len(polls)].at)
		})
	})
	t.Run("where a run has to be stopped", func(t *testing.T) {
		t.Parallel()
		runReborn(t, 1, func(t *testing.T, r *rebornRunner) {
			r.set(func() { r.orderDelay = time.Minute })
			submit(r.c, "a", 1)
			time.Sleep(orderTimeout / 2)
			_, orders := r.assertNotCalledWithoutAToken(t)
			time.Sleep(time.Second)
			_, later := r.sent()
			if later = later[len(orders):]; len(later) == 0 || later[0].Kind != dispatcher.Stop || later[0].Token != 2 {
				t.Errorf("orders %+v, want the stop of the unanswered start with token 2", later)
			}
		})
	})
}

// assertNotCalledWithoutAToken restarts the runner and checks that it is called only once there
// is a token for the new incarnation. It returns the calls before the restart.
func (r *rebornRunner) assertNotCalledWithoutAToken(t *testing.T) (polls []pollCall, orders []dispatcher.Order) {
	t.Helper()
	r.restart()
	r.list()
	polls, orders = r.sent()
	time.Sleep(5 * time.Second)
	if laterPolls, laterOrders := r.sent(); len(laterPolls) > len(polls) || len(laterOrders) > len(orders) {
		t.Errorf("polls %+v and orders %+v without a token, want none", laterPolls[len(polls):], laterOrders[len(orders):])
	}
	r.set(func() { r.orderDelay = 0 })
	r.heldAt.Store(2)
	time.Sleep(authorityRetryDelay + time.Millisecond)
	later, _ := r.sent()
	if len(later) == len(polls) || later[len(polls)].Token != 2 {
		t.Errorf("polls %+v, want one with token 2", later[len(polls):])
	}
	time.Sleep(2 * idleWait)
	assertRenewed(t, r, 2)
	return polls, orders
}

// Guards against calls for the time before a runner was dropped, and against an end of a poll
// that concerns a former poll loop.
func TestRunnerThatComesBackHasAHigherToken(t *testing.T) {
	t.Parallel()
	runReborn(t, 1000, func(t *testing.T, r *rebornRunner) {
		r.set(func() { r.isSilent = true })
		r.registry <- nil
		assertEventually(t, "the runner is dropped", func() bool {
			r.c.mu.Lock()
			defer r.c.mu.Unlock()
			_, isKnown := r.c.table.Runner("r")
			return !isKnown
		})
		r.set(func() { r.isSilent = false })
		time.Sleep(time.Minute)
		r.list()
		polls, _ := r.sent()
		assertNewPoll(t, polls, 2, time.Now())
		time.Sleep(time.Second)
		r.awaitPoll(t, isRenewal)
		r.restart()
		r.list()
		polls, _ = r.sent()
		assertNewPoll(t, polls, 3, time.Now())
		time.Sleep(2 * idleWait)
		assertRenewed(t, r, 3)
		assertDeposed(t, r, false)
	})
}
