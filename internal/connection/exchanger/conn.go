// Package exchanger sends one HTTP/1.1 request at a time over one connection
// to a runner. In contrast to http.Transport it tells whether a byte of a
// request may have left, never sends a request twice, and knows when a runner
// no longer works on a request.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// MaxAnswerHeaderBytes bounds the header of an answer.
const MaxAnswerHeaderBytes = 64 << 10

// maxInformational bounds the interim (1xx) answers of one exchange.
const maxInformational = 8

// writerGrace is the time a whole answer waits for the end of its request.
const writerGrace = 50 * time.Millisecond

// A Conn is one connection to a runner. Its methods are for one goroutine at a
// time. A Conn is either idle, or busy from Exchange until Reuse returns true.
type Conn struct {
	tcp     *net.TCPConn
	limited *headerLimiter
	reader  *bufio.Reader

	stopAbort func() bool
	stopped   bool          // stopAbort has kept abort from running
	aborted   chan struct{} // closed when abort has run
	writer    *gatedWriter
	written   chan struct{} // closed when the request's writer has ended
	writeErr  error         // valid once written is closed
	body      *answerBody
	failed    bool
	closeOnce sync.Once
}

// Dial connects to a runner's IP number and port.
func Dial(ctx context.Context, address string) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = &SendError{Cause: fmt.Errorf("connect to %s: %w", address, err)}
		}
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errors.New("not a TCP connection"), conn.Close())
	}
	return newConn(tcp), nil
}

// newConn wraps an open connection.
func newConn(tcp *net.TCPConn) *Conn {
	limited := &headerLimiter{reader: tcp}
	return &Conn{tcp: tcp, limited: limited, reader: bufio.NewReader(limited)}
}

// Exchange sends a request and returns its answer once the answer's header has
// arrived. The gate is asked right before the first byte. The end of the
// context breaks the exchange, also while the answer's body is read, and tells
// the runner so. Reuse or Drain has to be called afterwards, whatever is
// returned. Errors are of type *SendError.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, gate Gate) (resp *http.Response, err error) {
	c.writer = &gatedWriter{conn: c.tcp, gate: gate}
	c.written = make(chan struct{})
	c.body = nil
	c.aborted = make(chan struct{})
	c.stopped = false
	c.stopAbort = context.AfterFunc(ctx, c.abort)
	source := watchSource(req)
	go c.write(req)
	resp, err = c.readAnswer(req)
	if err == nil && c.isRequestCut(ctx, source) {
		err = ErrRequestCut
	}
	if err != nil {
		c.failed = true
		return nil, c.sendError(ctx, err)
	}
	c.body = &answerBody{conn: c, ctx: ctx, inner: resp.Body, whole: resp.Body == http.NoBody, last: resp.Close}
	resp.Body = c.body
	return resp, nil
}

// isRequestCut reports whether the runner can't have the whole request, because
// its source failed or the exchange ended before it was written. The answer to
// such a request is no answer to the caller's.
func (c *Conn) isRequestCut(ctx context.Context, source *sourceBody) bool {
	if source.failed.Load() {
		return true
	}
	if ctx.Err() == nil {
		return false
	}
	select {
	case <-c.written:
		return c.writeErr != nil
	default:
		return true
	}
}

// write sends the request and half-closes the connection if that fails.
func (c *Conn) write(req *http.Request) {
	defer close(c.written)
	c.writeErr = req.Write(c.writer)
	if c.writeErr == nil {
		return
	}
	if !c.writer.isSent() {
		c.closeTCP()
		return
	}
	_ = c.tcp.CloseWrite()
}

// abort tells the runner that nobody waits any more and unblocks the reader.
func (c *Conn) abort() {
	defer close(c.aborted)
	_ = c.tcp.CloseWrite()
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}

// readAnswer reads the header of the final answer.
func (c *Conn) readAnswer(req *http.Request) (resp *http.Response, err error) {
	c.limited.start(MaxAnswerHeaderBytes)
	defer c.limited.stop()
	for range maxInformational {
		resp, err = http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, checkFraming(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: unasked switch of protocols", ErrProtocol)
		}
	}
	return nil, fmt.Errorf("%w: too many interim answers", ErrProtocol)
}

// checkFraming refuses answers that end with the connection.
func checkFraming(resp *http.Response) error {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return nil
	}
	if len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked" {
		return nil
	}
	return ErrUnframed
}

// sendError makes the error of a broken exchange.
func (c *Conn) sendError(ctx context.Context, cause error) error {
	sent, refusal := c.writer.settle()
	if refusal != nil {
		cause = refusal
	}
	if ctx.Err() != nil {
		cause = errors.Join(context.Cause(ctx), cause)
	}
	return &SendError{Sent: sent, Cause: cause}
}

// Finish ends an exchange and reports whether the connection is idle again. If
// it isn't, Drain has to follow.
func (c *Conn) Finish() bool {
	if c.writer == nil {
		return false
	}
	c.stop()
	return c.stopped && c.isReusable()
}

// IsSent reports whether a byte of the last request may have left.
func (c *Conn) IsSent() bool { return c.writer != nil && c.writer.isSent() }

// Drain ends an exchange whose connection can't be used again. It half-closes
// the connection and returns when the runner has closed its side, or at the
// given time, whichever comes first. Only then the runner no longer works on
// the request. If no byte was sent, Drain returns at once.
func (c *Conn) Drain(until time.Time) {
	defer c.closeTCP()
	if c.writer == nil {
		return
	}
	c.stop()
	if c.IsSent() {
		c.linger(until)
	}
}

// stop ends the exchange for its reader. A running abort is waited for, because
// it would end a later draining.
func (c *Conn) stop() {
	if c.stopped {
		return
	}
	if c.stopAbort() {
		c.stopped = true
	} else {
		<-c.aborted
	}
	if c.body != nil {
		c.body.done = true
	}
}

// isReusable reports whether the exchange ended whole and left nothing behind.
func (c *Conn) isReusable() bool {
	return c.isWhole() && !c.body.last && c.isWritten() && c.reader.Buffered() == 0
}

// isWhole reports whether the answer has been read to its end.
func (c *Conn) isWhole() bool {
	return !c.failed && c.body != nil && c.body.whole
}

// isWritten reports whether the whole request has been sent.
func (c *Conn) isWritten() bool {
	timer := time.NewTimer(writerGrace)
	defer timer.Stop()
	select {
	case <-c.written:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// linger half-closes the connection and discards what the runner still sends
// until it has closed its side.
func (c *Conn) linger(until time.Time) {
	_ = c.tcp.CloseWrite()
	if err := c.tcp.SetReadDeadline(until); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.tcp)
}

// Close ends an idle connection.
func (c *Conn) Close() { c.closeTCP() }

// closeTCP closes the connection once.
func (c *Conn) closeTCP() {
	c.closeOnce.Do(func() { _ = c.tcp.Close() })
}
