// Package attempter executes a single urgent request on a runner of this daemon.
package attempter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// A Call is one urgent request to be sent to a runner. It is immutable, except that
// a streamed body is consumed while it is sent.
type Call struct {
	// Request is the request id that logs and the timeline use.
	Request  string
	Upstream string
	Caller   string
	Method   string
	// Target is the request target, path and query.
	Target string
	Host   string
	// Header holds the end-to-end header fields.
	Header   http.Header
	Body     Body
	Deadline time.Time
	// MissCost is the cost of a missed deadline; calls of higher cost are served earlier.
	MissCost int
	// Idempotent calls may be sent more than once.
	Idempotent bool
	// Hedge allows a second attempt while the first is in flight.
	Hedge bool
	// Avoid is the name of the runner of an earlier attempt; other runners are preferred.
	Avoid string
	// Hops is the number of daemons that have forwarded the call.
	Hops int
}

// WithAvoid returns a copy of the call, for another attempt, that avoids a runner and
// is not hedged.
func (c *Call) WithAvoid(runner string) *Call {
	next := *c
	next.Hedge = false
	next.Avoid = runner
	return &next
}

// A Body is the body of a call, either buffered bytes or a stream that can be read once.
type Body struct {
	Bytes  []byte
	Stream io.Reader
	// Length is the length of the stream in bytes.
	Length int64
}

// IsRepeatable reports whether the body can be sent again.
func (b Body) IsRepeatable() bool { return b.Stream == nil }

// Size returns the length of the body in bytes.
func (b Body) Size() int64 {
	if b.Stream != nil {
		return b.Length
	}
	return int64(len(b.Bytes))
}

// Reader returns a reader of the body, or nil if the body is empty.
func (b Body) Reader() io.Reader {
	switch {
	case b.Stream != nil:
		return b.Stream
	case len(b.Bytes) > 0:
		return bytes.NewReader(b.Bytes)
	default:
		return nil
	}
}

// NewRequest returns the HTTP request to a runner at an address. Its header carries
// the time that remains until the deadline.
func (c *Call) NewRequest(ctx context.Context, address string, now time.Time) (req *http.Request, err error) {
	target, err := url.ParseRequestURI(c.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", address
	req = &http.Request{
		Method: c.Method, URL: target, Host: c.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.Header.Clone(), Body: http.NoBody,
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if body := c.Body.Reader(); body != nil {
		req.Body = io.NopCloser(body)
		req.ContentLength = c.Body.Size()
	}
	if c.Body.IsRepeatable() {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.Body.Bytes)), nil }
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	req.Header.Set(answerer.HeaderRequest, c.Request)
	req.Header.Set(answerer.HeaderDeadline, answerer.FormatRemaining(c.Deadline, now))
	return req.WithContext(ctx), nil
}
