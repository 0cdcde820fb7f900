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

// ErrNotAuthorised reports a request that was not sent because this daemon may no
// longer use the runner.
var ErrNotAuthorised = errors.New("daemon may no longer use the runner")

// ErrDurationExceeded reports a request that held its slot for longer than the
// upstream's declared maximum duration.
var ErrDurationExceeded = errors.New("request exceeded the upstream's maximum duration")

// ErrSuperseded is the cause with which an attempt is cancelled after another
// attempt at the same request received a response.
var ErrSuperseded = errors.New("another attempt answered first")

// A Slot allows one request in flight at a runner. It is not safe for
// concurrent use and must be released.
type Slot struct {
	slots      *Slots
	up         *upstream
	runner     *runner
	name       string
	address    string
	request    SlotRequest
	acquiredAt time.Time
	conn       *exchanger.Conn
	sentAt     time.Time
	observed   picker.Observation // outcome of the use so far, for the runner's health
	latency    time.Duration      // time until the response or an error
	isLeaving  bool               // the runner has announced that it is leaving
	cancel     context.CancelFunc
	isReleased bool
}

// Runner returns the runner's name.
func (sl *Slot) Runner() string { return sl.name }

// Address returns the runner's IP address and port.
func (sl *Slot) Address() string { return sl.address }

// Do sends a request to the runner and returns its response. The response is
// complete only if its body is read to the end before Release. Errors, including
// those of reading the body, are of type *exchanger.SendError.
func (sl *Slot) Do(ctx context.Context, req *http.Request) (resp *http.Response, err error) {
	s := sl.slots
	ctx, sl.cancel = context.WithDeadlineCause(ctx, sl.acquiredAt.Add(sl.maxDuration()), ErrDurationExceeded)
	if err := sl.connect(ctx); err != nil {
		sl.noteFailure(ctx, picker.Unreachable)
		return nil, err
	}
	sl.sentAt = s.opts.Now()
	sl.observed = picker.Cancelled
	resp, err = sl.conn.Exchange(ctx, req, sl.authorise)
	sl.latency = s.opts.Now().Sub(sl.sentAt)
	if err != nil {
		sl.noteExchangeError(ctx, err)
		return nil, err
	}
	sl.isLeaving = resp.Header.Get(answerer.HeaderRunner) == answerer.RunnerLeaving
	sl.observed = picker.Answered
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusNotImplemented {
		sl.observed = picker.Failed
	}
	resp.Body = &slotBody{slot: sl, ctx: ctx, inner: resp.Body}
	return resp, nil
}

// maxDuration returns the maximum time that a request may hold the slot.
func (sl *Slot) maxDuration() time.Duration {
	sl.slots.mu.Lock()
	defer sl.slots.mu.Unlock()
	return sl.up.declared.MaxDuration
}

// connect opens a connection unless the slot has one that is still usable.
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

// authorise returns nil if this daemon may use the runner now. It is called
// immediately before the request's first byte is written.
func (sl *Slot) authorise() error {
	s := sl.slots
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !sl.runner.isUsable() || sl.runner.health.IsLeaving(now) || !s.mayUse(sl.runner, sl.up, now) {
		return ErrNotAuthorised
	}
	return nil
}

// noteFailure stores an observation of a failure. If the request's context has ended,
// the failure says nothing about the runner, and Cancelled is stored instead.
func (sl *Slot) noteFailure(ctx context.Context, observed picker.Observation) {
	if hasEnded(ctx) {
		observed = picker.Cancelled
	}
	sl.observed = observed
}

// hasEnded reports whether a context has ended or is past its deadline. A dial keeps the
// deadline by a timer of its own, which may fire before that of the context.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

// noteExchangeError stores the observation that follows from a failed exchange. If the
// response missed the deadline, the time waited for it is used as the latency.
func (sl *Slot) noteExchangeError(ctx context.Context, err error) {
	switch {
	case errors.Is(err, ErrNotAuthorised):
		sl.observed = picker.Cancelled
	case errors.Is(err, ErrDurationExceeded):
		sl.observed = picker.Broken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		sl.observed = sl.lateObservation()
	case errors.Is(context.Cause(ctx), ErrSuperseded):
		sl.observed = picker.HedgeLost
	default:
		sl.noteFailure(ctx, picker.Broken)
	}
}

// lateObservation classifies a response that missed the deadline: as a failure if
// the other runners respond much faster, and otherwise as a latency sample only.
func (sl *Slot) lateObservation() picker.Observation {
	sl.slots.mu.Lock()
	defer sl.slots.mu.Unlock()
	if median := sl.up.median; median > 0 && sl.latency > lateFactor*median {
		return picker.Failed
	}
	return picker.Answered
}

// Release gives the slot back. The slot becomes free when the response is
// complete, or when the runner has closed its side of the connection.
func (sl *Slot) Release() {
	if sl.isReleased {
		return
	}
	sl.isReleased = true
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
	if !sl.slots.runInBackground(sl.drain) {
		sl.conn.Close()
		sl.slots.free(sl, nil)
	}
}

// drain frees the slot once the runner no longer works on the request, or after
// the upstream's maximum duration.
func (sl *Slot) drain() {
	stop := context.AfterFunc(sl.slots.baseCtx, sl.conn.Close)
	defer stop()
	sl.conn.Drain(sl.slots.opts.Now().Add(sl.maxDuration()))
	sl.slots.free(sl, nil)
}

// free returns a slot to the table. conn is the slot's idle connection, or nil; it is
// kept for reuse if the daemon may use the runner, and closed otherwise.
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
		sl.up.noteServiceTime(now.Sub(sl.acquiredAt))
	}
	s.dispatch(sl.up, now)
	s.mu.Unlock()
	if conn != nil && !keep {
		conn.Close()
	}
}

// observe updates the runner's health with the outcome of a slot's use, and records an
// event if the runner is now ejected, has recovered from an ejection, or is leaving.
func (s *Slots) observe(sl *Slot, now time.Time) {
	before := sl.runner.health
	after := before
	if !sl.sentAt.IsZero() || sl.observed != picker.Answered {
		after = before.With(sl.observed, sl.latency, now)
	}
	isEjectionWaivable := sl.observed != picker.Unreachable && !after.FailsConsecutively()
	if isEjectionWaivable && after.IsEjected(now) && s.wouldEjectMost(sl.up, now) {
		after = after.WithEjectionOf(before)
	}
	if sl.isLeaving {
		after = after.WithLeaving(now.Add(leavingPeriod))
	}
	sl.runner.health = after
	switch {
	case !before.IsEjected(now) && after.IsEjected(now):
		s.record(now, EventRunnerEjected, sl.request, sl.name)
	case before.IsProbing() && !after.IsProbing():
		s.record(now, EventRunnerReturned, sl.request, sl.name)
	case sl.isLeaving && !before.IsLeaving(now):
		s.record(now, EventRunnerLeaving, sl.request, sl.name)
	}
}

// wouldEjectMost reports whether one more ejection would leave less than half of
// the runners that this daemon may use. Ejecting runners for their failure rate
// or latency would then only remove capacity.
func (s *Slots) wouldEjectMost(up *upstream, now time.Time) bool {
	usable, ejected := 0, 1
	for _, c := range s.candidates(up, now) {
		if c.IsExcluded {
			continue
		}
		usable++
		if c.Health.IsEjected(now) {
			ejected++
		}
	}
	return 2*ejected > usable
}

// A slotBody is a response body that reports read errors to its slot.
type slotBody struct {
	slot  *Slot
	ctx   context.Context
	inner io.ReadCloser
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.slot.noteFailure(b.ctx, picker.Broken)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error { return b.inner.Close() }
