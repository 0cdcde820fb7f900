package router

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
	"github.com/kumquatstack/kumquatstack/internal/request/attempter"
)

const (
	// maxKeptBody is the size up to which a body is read before it is sent.
	maxKeptBody = 64 << 10
	// maxKeyedBody is the size of the largest body with an idempotency key.
	maxKeyedBody = 1 << 20
	// maxKeptBodies is the memory for all bodies that are kept at a time.
	maxKeptBodies = 8 << 20
	// defaultMaxBody bounds bodies for upstreams that declare no bound.
	defaultMaxBody = 1 << 20
	// maxDiscarded is the part of a refused body that is read, so that its
	// sender sees the answer.
	maxDiscarded = 1 << 20
	// discardTimeout bounds the time for that.
	discardTimeout = 500 * time.Millisecond
	// bodyTimeout is the time in which a kept body has to arrive.
	bodyTimeout = 10 * time.Second
)

// readBody reads a short body, so that a slow sender occupies no slot, and
// leaves a long one to be streamed.
func (v *visit) readBody(now time.Time) *answerer.Refusal {
	limit := v.target.upstream.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	length := v.r.ContentLength
	if length > limit {
		return bad(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large")
	}
	keep := int64(maxKeptBody)
	if v.key != "" {
		keep = maxKeyedBody
	}
	switch {
	case length == 0:
		return nil
	case length > keep && v.key != "":
		return bad(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large for an idempotency key")
	case length > keep:
		v.streamBody(length)
		return nil
	}
	return v.keepBody(min(limit, keep), limit, now)
}

// keepBody reads the whole body into memory.
func (v *visit) keepBody(keep, limit int64, now time.Time) *answerer.Refusal {
	reserve := v.r.ContentLength
	if reserve < 0 {
		reserve = keep + 1
	}
	if !v.router.bodies.TryAcquire(reserve) {
		refusal := bad(http.StatusServiceUnavailable, EventBodiesExhausted, "memory for bodies is used up")
		refusal.RetryAfter = time.Second
		return refusal
	}
	v.kept = reserve
	controller := http.NewResponseController(v.w)
	_ = controller.SetReadDeadline(earlier(v.call.Deadline, now.Add(bodyTimeout)))
	body, err := io.ReadAll(io.LimitReader(v.r.Body, reserve+1))
	if err == nil {
		v.isRead = true
		_ = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, EventSlowSender, "body did not arrive in time")
	case err != nil:
		return bad(http.StatusBadRequest, EventBodyBroken, "body could not be read")
	case int64(len(body)) > limit:
		return bad(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large")
	case int64(len(body)) > keep:
		return bad(http.StatusLengthRequired, EventLengthMissing, "a long body has to state its length")
	}
	v.call.Body = attempter.Body{Bytes: body}
	return nil
}

// streamBody leaves the body to be read while it is sent.
func (v *visit) streamBody(length int64) {
	_ = http.NewResponseController(v.w).SetReadDeadline(v.call.Deadline)
	v.stream = &streamBody{inner: v.r.Body}
	v.call.Body = attempter.Body{Stream: v.stream, Length: length}
}

// hurry bounds the time in which package http reads what is left of a refused
// body before it sends the refusal.
func (v *visit) hurry() {
	if v.r.ContentLength == 0 || v.isRead {
		return
	}
	_ = http.NewResponseController(v.w).SetReadDeadline(v.router.opts.Now().Add(discardTimeout))
}

// discardBody reads what is left of a long refused body within bounds.
func (v *visit) discardBody() {
	if v.r.ContentLength <= maxKeptBody || v.stream != nil {
		return
	}
	_ = http.NewResponseController(v.w).Flush()
	_, _ = io.CopyN(io.Discard, v.r.Body, maxDiscarded)
}

// earlier returns the earlier of two instants.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// A streamBody knows whether a streamed body has been read to its end.
type streamBody struct {
	inner io.Reader
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}
