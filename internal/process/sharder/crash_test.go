package sharder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// A moment is a point of a command: before it reaches the worker or after it
// took effect.
type moment struct {
	command string
	after   bool
	// number counts the commands of the kind from 1.
	number int
}

// A tap passes commands on, and calls strike at one moment. What strike
// returns is the answer of that command; a nil error lets it go on.
type tap struct {
	commander.Dialer
	at     moment
	strike func() error

	mu   sync.Mutex
	seen int
}

func (p *tap) Agent(address string) commander.Agent {
	return &tappedAgent{Agent: p.Dialer.Agent(address), tap: p}
}

// around runs a command with the strike at its moment.
func (p *tap) around(command string, send func() error) error {
	p.mu.Lock()
	hit := false
	if command == p.at.command {
		p.seen++
		hit = p.seen == p.at.number
	}
	p.mu.Unlock()
	if hit && !p.at.after {
		if err := p.strike(); err != nil {
			return err
		}
	}
	err := send()
	if hit && p.at.after {
		if struck := p.strike(); struck != nil {
			return struck
		}
	}
	return err
}

// An interceptor stands between an owner and its workers.
type interceptor interface {
	around(command string, send func() error) error
}

// A tappedAgent is an agent behind an interceptor.
type tappedAgent struct {
	commander.Agent
	tap interceptor
}

func (a *tappedAgent) Start(ctx context.Context, start commander.Start) error {
	return a.tap.around("start", func() error { return a.Agent.Start(ctx, start) })
}

func (a *tappedAgent) Stop(ctx context.Context, fence commander.Fence, id commander.RunID) error {
	return a.tap.around("stop", func() error { return a.Agent.Stop(ctx, fence, id) })
}

func (a *tappedAgent) Checkpoint(ctx context.Context, fence commander.Fence, id commander.RunID) (name string, err error) {
	err = a.tap.around("checkpoint", func() (err error) {
		name, err = a.Agent.Checkpoint(ctx, fence, id)
		return err
	})
	return name, err
}

func (a *tappedAgent) Renew(ctx context.Context, renewal commander.Renewal) (renewed commander.RenewalResult, err error) {
	err = a.tap.around("renew", func() (err error) {
		renewed, err = a.Agent.Renew(ctx, renewal)
		return err
	})
	return renewed, err
}

func (a *tappedAgent) Report(ctx context.Context, fence commander.Fence) (report commander.Report, err error) {
	err = a.tap.around("report", func() (err error) {
		report, err = a.Agent.Report(ctx, fence)
		return err
	})
	return report, err
}

// moments are all steps between the start of a task and its resumption.
var moments = map[string]moment{
	"before a start":           {command: "start", number: 3},
	"after a start":            {command: "start", number: 3, after: true},
	"before a checkpoint":      {command: "checkpoint", number: 2},
	"after a checkpoint":       {command: "checkpoint", number: 2, after: true},
	"before a stop":            {command: "stop", number: 2},
	"after a stop":             {command: "stop", number: 2, after: true},
	"before the report of it":  {command: "report", number: 4},
	"after the report of it":   {command: "report", number: 4, after: true},
	"before the first restart": {command: "start", number: 11},
	"after the first restart":  {command: "start", number: 11, after: true},
	"after a renewal":          {command: "renew", number: 3, after: true},
}

// evictSome takes four tasks off their workers to be resumed.
func (s *seat) evictSome() {
	n := 4
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range s.table.byWorker {
		for _, e := range sorted(group) {
			if n > 0 {
				s.remove(e, "", "test", time.Now())
				n--
			}
		}
	}
	s.wake()
}

// The owner dies at each step of start and eviction; its successor finishes
// the work.
func TestOwnerDies(t *testing.T) {
	for name, at := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				struck := make(chan struct{})
				var once sync.Once
				var first *seat
				first = r.own("atl-a", func(d commander.Dialer) commander.Dialer {
					return &tap{Dialer: d, at: at, strike: func() error {
						first.grant.set(false, false)
						first.stop()
						once.Do(func() { close(struck) })
						return context.Canceled
					}}
				})
				first.Ingest(intentOf("casts", "atl-a", 10, 20*time.Second))
				r.untilCount(first.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				first.evictSome()
				select {
				case <-struck:
				case <-time.After(8 * time.Second):
				}
				first.kill()
				second := r.own("atl-a", nil)
				defer second.kill()
				r.untilCount(second.Sharder, finishedState, 10)
				r.assertPromises(10)
			})
		})
	}
}

// The owner is paused at each step with the command in its hand, and wakes up
// after its successor has taken over.
func TestOwnerPaused(t *testing.T) {
	for name, at := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				woken := make(chan struct{})
				first := r.own("atl-a", func(d commander.Dialer) commander.Dialer {
					return &tap{Dialer: d, at: at, strike: func() error { <-woken; return nil }}
				})
				first.Ingest(intentOf("casts", "atl-a", 10, 40*time.Second))
				r.untilCount(first.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				first.evictSome()
				time.Sleep(4 * time.Second)
				first.grant.set(false, false)
				second := r.own("atl-a", nil)
				time.Sleep(2 * time.Second)
				close(woken)
				r.untilCount(second.Sharder, finishedState, 10)
				first.kill()
				second.kill()
				r.assertPromises(10)
			})
		})
	}
}

// Answers of single commands are lost; the same owner carries on.
func TestAnswerLost(t *testing.T) {
	for name, at := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				s := r.own("atl-a", func(d commander.Dialer) commander.Dialer {
					return &tap{Dialer: d, at: at, strike: func() error { return context.DeadlineExceeded }}
				})
				defer s.kill()
				s.Ingest(intentOf("casts", "atl-a", 10, 20*time.Second))
				r.untilCount(s.Sharder, assignedState, 10)
				time.Sleep(3 * time.Second)
				s.evictSome()
				r.untilCount(s.Sharder, finishedState, 10)
				r.assertPromises(10)
			})
		})
	}
}
