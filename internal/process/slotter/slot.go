package slotter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// ErrNoAuthority reports a request that was not sent because this daemon may
// not use the runner any more.
var ErrNoAuthority = errors.New("daemon doesn't own the runner any more")

// ErrTooLong reports a request that held a slot for longer than declared.
var ErrTooLong = errors.New("request exceeds the upstream's longest duration")

// ErrOvertaken is the cause with which an attempt is cancelled after another
// attempt at the same request answered.
var ErrOvertaken = errors.New("another attempt answered first")

// A Slot is the right to have one request at a runner. It is for one goroutine
// at a time and has to be released.
type Slot struct {
	slots    *Slots
	up       *upstream
	runner   *runner
	name     string
	address  string
	ask      Ask
	taken    time.Time
	conn     *exchanger.Conn
	sentAt   time.Time
	seen     picker.Observation
	latency  time.Duration
	leaving  bool
	cancel   context.CancelFunc
	released bool
}

// Runner returns the runner's name.
func (sl *Slot) Runner() string { return sl.name }

// Address returns the runner's IP number and port.
func (sl *Slot) Address() string { return sl.address }

// Do sends a request to the runner and returns its answer. The answer's body
// has to be read to its end before Release for the answer to be whole. Errors,
// also those of the body, are of type *exchanger.SendError.
func (sl *Slot) Do(ctx context.Context, req *http.Request) (resp *http.Response, err error) {
	s := sl.slots
	ctx, sl.cancel = context.WithDeadlineCause(ctx, sl.taken.Add(sl.maxDuration()), ErrTooLong)
	if err := sl.connect(ctx); err != nil {
		sl.blame(ctx, picker.Unreachable)
		return nil, err
	}
	sl.sentAt = s.opts.Now()
	sl.seen = picker.Cancelled
	resp, err = sl.conn.Exchange(ctx, req, sl.gate)
	sl.latency = s.opts.Now().Sub(sl.sentAt)
	if err != nil {
		sl.blameExchange(ctx, err)
		return nil, err
	}
	sl.leaving = resp.Header.Get(answerer.HeaderRunner) == answerer.RunnerLeaving
	sl.seen = picker.Answered
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusNotImplemented {
		sl.seen = picker.Failed
	}
	resp.Body = &slotBody{slot: sl, ctx: ctx, inner: resp.Body}
	return resp, nil
}

// maxDuration returns the longest time that a request may hold the slot.
func (sl *Slot) maxDuration() time.Duration {
	sl.slots.mu.Lock()
	defer sl.slots.mu.Unlock()
	return sl.up.declared.MaxDuration
}

// connect makes sure that the slot has an open connection.
func (sl *Slot) connect(ctx context.Context) (err error) {
	if sl.conn != nil {
		if sl.conn.IsUsable() {
			return nil
		}
		sl.conn.Close()
		sl.conn = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	sl.conn, err = sl.slots.opts.Dial(ctx, sl.address)
	return err
}

// gate lets the request go if this daemon may use the runner at this instant.
func (sl *Slot) gate() error {
	s := sl.slots
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !sl.runner.isUsable() || sl.runner.health.IsLeaving(now) || !s.mayUse(sl.runner, sl.up, now) {
		return ErrNoAuthority
	}
	return nil
}

// blame notes an observation unless the request's context ended.
func (sl *Slot) blame(ctx context.Context, seen picker.Observation) {
	if ctx.Err() == nil {
		sl.seen = seen
		return
	}
	sl.seen = picker.Cancelled
}

// blameExchange notes why an exchange broke. An answer that came too late
// counts with the time waited for it.
func (sl *Slot) blameExchange(ctx context.Context, err error) {
	switch {
	case errors.Is(err, ErrNoAuthority):
		sl.seen = picker.Cancelled
	case errors.Is(err, ErrTooLong):
		sl.seen = picker.Broken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		sl.seen = sl.judgeLate()
	case errors.Is(context.Cause(ctx), ErrOvertaken):
		sl.seen = picker.HedgeLost
	default:
		sl.blame(ctx, picker.Broken)
	}
}

// judgeLate returns what an answer that came too late says of the runner: that
// it failed if others answer much faster, and otherwise only how long it took.
func (sl *Slot) judgeLate() picker.Observation {
	sl.slots.mu.Lock()
	defer sl.slots.mu.Unlock()
	if median := sl.up.median; median > 0 && sl.latency > lateFactor*median {
		return picker.Failed
	}
	return picker.Answered
}

// Release gives the slot back. The slot is free when the answer is whole, or
// when the runner has closed its side of the connection.
func (sl *Slot) Release() {
	if sl.released {
		return
	}
	sl.released = true
	if sl.cancel != nil {
		defer sl.cancel()
	}
	if sl.conn == nil || (sl.sentAt.IsZero() && sl.conn.IsUsable()) {
		sl.slots.free(sl, sl.conn)
		return
	}
	if sl.conn.Finish() {
		sl.slots.free(sl, sl.conn)
		return
	}
	if !sl.conn.IsSent() {
		sl.conn.Close()
		sl.slots.free(sl, nil)
		return
	}
	sl.slots.jobs.Add(1)
	go sl.drain()
}

// drain waits until the runner no longer works on the request.
func (sl *Slot) drain() {
	defer sl.slots.jobs.Done()
	stop := context.AfterFunc(sl.slots.life, sl.conn.Close)
	defer stop()
	sl.conn.Drain(sl.slots.opts.Now().Add(sl.maxDuration()))
	sl.slots.free(sl, nil)
}

// free takes a slot back into the table, with its connection if that is idle.
func (s *Slots) free(sl *Slot, conn *exchanger.Conn) {
	now := s.opts.Now()
	s.mu.Lock()
	r := sl.runner
	r.inFlight--
	s.observe(sl, now)
	keep := conn != nil && !s.closed && r.isUsable() && s.mayUse(r, sl.up, now)
	if keep {
		r.idle = append(r.idle, idleConn{conn: conn, since: now})
	}
	if !sl.sentAt.IsZero() {
		sl.up.noteService(now.Sub(sl.taken))
	}
	s.dispatch(sl.up, now)
	s.mu.Unlock()
	if conn != nil && !keep {
		conn.Close()
	}
}

// observe takes over what a slot has shown of its runner.
func (s *Slots) observe(sl *Slot, now time.Time) {
	before := sl.runner.health
	after := before
	if !sl.sentAt.IsZero() || sl.seen != picker.Answered {
		after = before.With(sl.seen, sl.latency, now)
	}
	spared := sl.seen != picker.Unreachable && !after.FailsConsecutively()
	if spared && after.IsEjected(now) && s.isMostlyEjected(sl.up, now) {
		after = after.WithEjectionOf(before)
	}
	if sl.leaving {
		after = after.WithLeaving(now.Add(leavingHold))
	}
	sl.runner.health = after
	switch {
	case !before.IsEjected(now) && after.IsEjected(now):
		s.record(now, EventRunnerEjected, sl.ask, sl.name)
	case before.IsProbing() && !after.IsProbing():
		s.record(now, EventRunnerReturned, sl.ask, sl.name)
	case sl.leaving && !before.IsLeaving(now):
		s.record(now, EventRunnerLeaving, sl.ask, sl.name)
	}
}

// isMostlyEjected reports whether one more ejection would leave less than half
// of this daemon's runners. Ejecting them for their answers would help nobody.
func (s *Slots) isMostlyEjected(up *upstream, now time.Time) bool {
	own, ejected := 0, 1
	for _, c := range s.candidates(up, now) {
		if c.IsExcluded {
			continue
		}
		own++
		if c.Health.IsEjected(now) {
			ejected++
		}
	}
	return 2*ejected > own
}

// A slotBody is the body of an answer that notes when the answer breaks.
type slotBody struct {
	slot  *Slot
	ctx   context.Context
	inner io.ReadCloser
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.slot.blame(b.ctx, picker.Broken)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error { return b.inner.Close() }
