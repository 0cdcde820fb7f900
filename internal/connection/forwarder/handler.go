package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/slotter"
	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

// maxKeptBody is the size up to which a forwarded body is read into memory before
// a slot is acquired, so that it can be sent again to another runner.
const maxKeptBody = 64 << 10

// A Handler serves the calls that peers forward. It must be mounted at Path, and
// only on the listener for peers.
type Handler struct {
	forwarder *Forwarder
	local     *attempter.LocalExecutor
}

var _ http.Handler = (*Handler)(nil)

// Handler returns the peer handler of this daemon.
func (f *Forwarder) Handler() *Handler {
	return &Handler{forwarder: f, local: attempter.NewLocalExecutor(f.opts.Slots, f.opts.Now)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.forwarder.opts.Now()
	call, err := unwrap(r, now)
	if err != nil {
		h.forwarder.opts.Recorder.Record(now, EventForwardMalformed, recorder.Fields{"reason": err.Error()})
		h.refuse(w, "", &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: err.Error()})
		return
	}
	if err := readBody(r, call); err != nil {
		h.refuse(w, call.Upstream, &attempter.Error{Outcome: answerer.OutcomeNotRun, Reason: "body could not be read"})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, err := h.execute(ctx, call)
	if err == nil {
		defer answer.Release()
		err = answer.BufferShortBody()
	}
	if err != nil {
		h.refuse(w, call.Upstream, asError(err))
		return
	}
	h.relay(w, call, answer)
}

// readBody reads short bodies into memory and leaves long ones to be streamed.
func readBody(r *http.Request, call *attempter.Call) (err error) {
	if r.ContentLength > maxKeptBody {
		call.Body = attempter.Body{Stream: r.Body, Length: r.ContentLength}
		return nil
	}
	call.Body.Bytes, err = io.ReadAll(r.Body)
	return err
}

// execute runs a call on one of this daemon's runners. If none has a free slot,
// it first tries to forward the call once more, unless the call has reached
// MaxHops or its body can't be repeated.
func (h *Handler) execute(ctx context.Context, call *attempter.Call) (answer *attempter.Answer, err error) {
	if slot, ok := h.forwarder.opts.Slots.TryAcquire(attempter.SlotRequestFor(call)); ok {
		return h.local.ExecuteOn(ctx, call, slot)
	}
	if call.Hops < MaxHops && call.Body.IsRepeatable() {
		answer, err = h.forwarder.Execute(ctx, call)
		if !isNotRun(err) {
			return answer, err
		}
	}
	return h.local.Execute(ctx, call)
}

// isNotRun reports whether an attempt to forward a call failed without any peer
// running it, so that it may still run here.
func isNotRun(err error) bool {
	if errors.Is(err, ErrNoPeer) {
		return true
	}
	var failed *attempter.Error
	return errors.As(err, &failed) && failed.Outcome == answerer.OutcomeNotRun
}

// asError returns an error as an *attempter.Error. Errors of other types get an
// unknown outcome.
func asError(err error) *attempter.Error {
	var failed *attempter.Error
	if errors.As(err, &failed) {
		return failed
	}
	return &attempter.Error{Outcome: answerer.OutcomeUnknown, Reason: err.Error()}
}

// refuse reports to a peer that no runner gave a response, and why.
func (h *Handler) refuse(w http.ResponseWriter, upstream string, failed *attempter.Error) {
	header := w.Header()
	h.setLoad(header, upstream)
	header.Set(answerer.HeaderOutcome, string(failed.Outcome))
	header.Set(headerReason, failed.Reason)
	header.Set(headerRunnerName, failed.Runner)
	header.Set(headerRetryAfter, strconv.FormatInt(failed.RetryAfter.Milliseconds(), 10))
	header.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// relay passes on a runner's response. If that fails, it aborts the connection,
// so that the peer doesn't take a truncated response for a complete one.
func (h *Handler) relay(w http.ResponseWriter, call *attempter.Call, answer *attempter.Answer) {
	h.setLoad(w.Header(), call.Upstream)
	w.Header().Set(headerRunnerName, answer.Runner)
	if err := attempter.Relay(w, answer, call.Request); err != nil {
		h.forwarder.record(EventForwardCut, call, Peer{})
		panic(http.ErrAbortHandler)
	}
}

// setLoad adds the load of this daemon's runners of an upstream to the header of a
// response.
func (h *Handler) setLoad(header http.Header, upstream string) {
	slots := h.forwarder.opts.Slots
	header.Set(headerLoad, formatLoad(loadOf(slots, upstream, h.forwarder)))
}

// loadOf returns the current load of an upstream.
func loadOf(slots *slotter.Slots, upstream string, f *Forwarder) slotter.Load {
	return slots.Load(upstream, f.opts.Now())
}
