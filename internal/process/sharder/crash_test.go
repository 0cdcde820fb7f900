package sharder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// A commandPoint is a point in the course of a command: before it reaches the
// worker, or after it has taken effect there.
type commandPoint struct {
	command string
	after   bool
	// number says which command of the kind is meant, counted from 1.
	number int
}

// A faultDialer passes commands on and calls inject at one commandPoint. An
// error that inject returns becomes the answer of that command; with nil, the
// command goes on.
type faultDialer struct {
	commander.Dialer
	at     commandPoint
	inject func() error

	mu   sync.Mutex
	seen int
}

func (p *faultDialer) Agent(address string) commander.Agent {
	return &interceptedAgent{Agent: p.Dialer.Agent(address), interceptor: p}
}

// intercept runs a command and calls inject at the chosen point.
func (p *faultDialer) intercept(command string, send func() error) error {
	p.mu.Lock()
	hit := false
	if command == p.at.command {
		p.seen++
		hit = p.seen == p.at.number
	}
	p.mu.Unlock()
	if hit && !p.at.after {
		if err := p.inject(); err != nil {
			return err
		}
	}
	err := send()
	if hit && p.at.after {
		if injected := p.inject(); injected != nil {
			return injected
		}
	}
	return err
}

// An interceptor wraps the commands of an owner to its workers.
type interceptor interface {
	intercept(command string, send func() error) error
}

// An interceptedAgent is an agent whose commands go through an interceptor.
type interceptedAgent struct {
	commander.Agent
	interceptor interceptor
}

func (a *interceptedAgent) Start(ctx context.Context, start commander.Start) error {
	return a.interceptor.intercept("start", func() error { return a.Agent.Start(ctx, start) })
}

func (a *interceptedAgent) Stop(ctx context.Context, fence commander.Fence, id commander.RunID) error {
	return a.interceptor.intercept("stop", func() error { return a.Agent.Stop(ctx, fence, id) })
}

func (a *interceptedAgent) Checkpoint(ctx context.Context, fence commander.Fence, id commander.RunID) (name string, err error) {
	err = a.interceptor.intercept("checkpoint", func() (err error) {
		name, err = a.Agent.Checkpoint(ctx, fence, id)
		return err
	})
	return name, err
}

func (a *interceptedAgent) Renew(ctx context.Context, renewal commander.Renewal) (renewed commander.RenewalResult, err error) {
	err = a.interceptor.intercept("renew", func() (err error) {
		renewed, err = a.Agent.Renew(ctx, renewal)
		return err
	})
	return renewed, err
}

func (a *interceptedAgent) Report(ctx context.Context, fence commander.Fence) (report commander.Report, err error) {
	err = a.interceptor.intercept("report", func() (err error) {
		report, err = a.Agent.Report(ctx, fence)
		return err
	})
	return report, err
}

// commandPoints are all points from the start of a task until it has been
// evicted and started again.
var commandPoints = map[string]commandPoint{
	"before a start":           {command: "start", number: 3},
	"after a start":            {command: "start", number: 3, after: true},
	"before a checkpoint":      {command: "checkpoint", number: 2},
	"after a checkpoint":       {command: "checkpoint", number: 2, after: true},
	"before a stop":            {command: "stop", number: 2},
	"after a stop":             {command: "stop", number: 2, after: true},
	"before a report of stops": {command: "report", number: 4},
	"after a report of stops":  {command: "report", number: 4, after: true},
	"before the first restart": {command: "start", number: 11},
	"after the first restart":  {command: "start", number: 11, after: true},
	"after a renewal":          {command: "renew", number: 3, after: true},
}

// evictSome evicts four tasks from their workers, so that they resume.
func (s *testOwner) evictSome() {
	n := 4
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range s.table.byWorker {
		for _, e := range sorted(group) {
			if n > 0 {
				s.evict(e, "", "test", time.Now())
				n--
			}
		}
	}
	s.wake()
}

// The owner of a shard dies at one of commandPoints. The next owner must finish
// every task exactly once, whether or not the interrupted command took effect
// at the worker.
func TestOwnerDies(t *testing.T) {
	for name, at := range commandPoints {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				injected := make(chan struct{})
				var once sync.Once
				var first *testOwner
				first = r.startOwner("atl-a", func(d commander.Dialer) commander.Dialer {
					return &faultDialer{Dialer: d, at: at, inject: func() error {
						first.authority.set(false, false)
						first.stop()
						once.Do(func() { close(injected) })
						return context.Canceled
					}}
				})
				first.Ingest(intentOf("casts", "atl-a", 10, 20*time.Second))
				r.untilCount(first.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				first.evictSome()
				select {
				case <-injected:
				case <-time.After(8 * time.Second):
				}
				first.kill()
				second := r.startOwner("atl-a", nil)
				defer second.kill()
				r.untilCount(second.Sharder, finishedState, 10)
				r.assertGuarantees(10)
			})
		})
	}
}

// The owner is paused at one of commandPoints and goes on after another owner
// has taken over. Every task must finish exactly once, so a command that is
// late must not interfere with the new owner's.
func TestOwnerPaused(t *testing.T) {
	for name, at := range commandPoints {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				woken := make(chan struct{})
				first := r.startOwner("atl-a", func(d commander.Dialer) commander.Dialer {
					return &faultDialer{Dialer: d, at: at, inject: func() error { <-woken; return nil }}
				})
				first.Ingest(intentOf("casts", "atl-a", 10, 40*time.Second))
				r.untilCount(first.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				first.evictSome()
				time.Sleep(4 * time.Second)
				first.authority.set(false, false)
				second := r.startOwner("atl-a", nil)
				time.Sleep(2 * time.Second)
				close(woken)
				r.untilCount(second.Sharder, finishedState, 10)
				first.kill()
				second.kill()
				r.assertGuarantees(10)
			})
		})
	}
}

// The answer to one command is lost and the same owner goes on. It must neither
// run a task twice nor lose one.
func TestAnswerLost(t *testing.T) {
	for name, at := range commandPoints {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				s := r.startOwner("atl-a", func(d commander.Dialer) commander.Dialer {
					return &faultDialer{Dialer: d, at: at, inject: func() error { return context.DeadlineExceeded }}
				})
				defer s.kill()
				s.Ingest(intentOf("casts", "atl-a", 10, 20*time.Second))
				r.untilCount(s.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				s.evictSome()
				r.untilCount(s.Sharder, finishedState, 10)
				r.assertGuarantees(10)
			})
		})
	}
}
