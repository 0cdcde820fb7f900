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
	// maxBufferedBody is the size up to which a body is buffered before the request is sent.
	maxBufferedBody = 64 << 10
	// maxKeyedBody bounds the body of a request with an idempotency key.
	maxKeyedBody = 1 << 20
	// maxBufferedBodies bounds the memory for all bodies that are buffered at a time.
	maxBufferedBodies = 8 << 20
	// defaultMaxBody bounds the body if the upstream declares no bound.
	defaultMaxBody = 1 << 20
	// maxDiscarded bounds how much of a refused body is read and discarded, so
	// that its sender receives the response.
	maxDiscarded = 1 << 20
	// discardTimeout bounds the time for which a refused body is read.
	discardTimeout = 500 * time.Millisecond
	// bodyTimeout is the time within which a buffered body has to arrive.
	bodyTimeout = 10 * time.Second
)

// readBody buffers a short body, so that a slow sender doesn't occupy a slot, and
// leaves a long one to be streamed.
func (in *inboundRequest) readBody(now time.Time) *answerer.Refusal {
	limit := in.target.upstream.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	length := in.r.ContentLength
	if length > limit {
		return refusalNotRun(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large")
	}
	keep := int64(maxBufferedBody)
	if in.key != "" {
		keep = maxKeyedBody
	}
	switch {
	case length == 0:
		return nil
	case length > keep && in.key != "":
		return refusalNotRun(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large for an idempotency key")
	case length > keep:
		in.streamBody(length)
		return nil
	}
	return in.bufferBody(min(limit, keep), limit, now)
}

// bufferBody reads the whole body into memory that is reserved for it.
func (in *inboundRequest) bufferBody(keep, limit int64, now time.Time) *answerer.Refusal {
	reserve := in.r.ContentLength
	if reserve < 0 {
		reserve = keep + 1
	}
	if !in.router.bodyMemory.TryAcquire(reserve) {
		refusal := refusalNotRun(http.StatusServiceUnavailable, EventBodiesExhausted, "memory for request bodies is exhausted")
		refusal.RetryAfter = time.Second
		return refusal
	}
	in.reservedBytes = reserve
	controller := http.NewResponseController(in.w)
	_ = controller.SetReadDeadline(earlier(in.call.Deadline, now.Add(bodyTimeout)))
	body, err := io.ReadAll(io.LimitReader(in.r.Body, reserve+1))
	if err == nil {
		in.isBodyRead = true
		_ = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusalNotRun(http.StatusRequestTimeout, EventSlowSender, "body did not arrive in time")
	case err != nil:
		return refusalNotRun(http.StatusBadRequest, EventBodyBroken, "body could not be read")
	case int64(len(body)) > limit:
		return refusalNotRun(http.StatusRequestEntityTooLarge, EventBodyTooLarge, "body is too large")
	case int64(len(body)) > keep:
		return refusalNotRun(http.StatusLengthRequired, EventLengthMissing, "a long body requires Content-Length")
	}
	in.call.Body = attempter.Body{Bytes: body}
	return nil
}

// streamBody sets up the body to be streamed to the runner. It has to arrive before
// the request's deadline.
func (in *inboundRequest) streamBody(length int64) {
	_ = http.NewResponseController(in.w).SetReadDeadline(in.call.Deadline)
	in.stream = &streamBody{inner: in.r.Body}
	in.call.Body = attempter.Body{Stream: in.stream, Length: length}
}

// shortenReadDeadline bounds the time for which package http reads the rest of a
// refused body before it sends the refusal.
func (in *inboundRequest) shortenReadDeadline() {
	if in.r.ContentLength == 0 || in.isBodyRead {
		return
	}
	_ = http.NewResponseController(in.w).SetReadDeadline(in.router.opts.Now().Add(discardTimeout))
}

// discardBody reads and discards the rest of a long refused body, up to
// maxDiscarded bytes.
func (in *inboundRequest) discardBody() {
	if in.r.ContentLength <= maxBufferedBody || in.stream != nil {
		return
	}
	_ = http.NewResponseController(in.w).Flush()
	_, _ = io.CopyN(io.Discard, in.r.Body, maxDiscarded)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// A streamBody records whether a streamed body has been read to its end.
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
