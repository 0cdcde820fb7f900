// Package exchanger sends one HTTP/1.1 request at a time over one connection
// to a runner. Unlike http.Transport, it reports whether any byte of a request
// may have been sent, never repeats a request, and detects that a runner has
// stopped working on a request.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// MaxResponseHeaderBytes bounds the header of a response.
const MaxResponseHeaderBytes = 64 << 10

// maxInformational bounds the interim (1xx) responses of one exchange.
const maxInformational = 8

// writerGrace is how long an exchange whose response is complete waits for its
// request to be written to the end.
const writerGrace = 50 * time.Millisecond

// headerSize is the expected size of the header of a request, in bytes.
const headerSize = 1 << 10

// A Conn is one connection to a runner. Only one goroutine at a time may call
// its methods. A Conn is idle, or busy from Exchange until Finish returns true.
type Conn struct {
	tcp     *net.TCPConn
	limiter *headerLimiter
	reader  *bufio.Reader

	stopAbort func() bool   // prevents abort from running when the context ends
	stopped   bool          // stopAbort has prevented abort from running
	aborted   chan struct{} // closed when abort has run
	writer    *gatedWriter
	written   chan struct{} // closed when write has returned
	writeErr  error         // valid once written is closed
	body      *responseBody
	failed    bool // the exchange has failed, and the connection can't be reused
	closeOnce sync.Once
}

// Dial connects to a runner's IP address and port. Errors are of type *SendError.
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

// newConn wraps an established TCP connection.
func newConn(tcp *net.TCPConn) *Conn {
	limiter := &headerLimiter{reader: tcp}
	return &Conn{tcp: tcp, limiter: limiter, reader: bufio.NewReader(limiter)}
}

// Exchange sends a request and returns its response once the response's header
// has arrived. A request whose body is in memory, which GetBody shows, is sent in
// one piece. The gate is called right before the first byte is written. When the
// context ends, the exchange is aborted, even while the response body is being
// read, and the runner notices it by the half-closed connection. The caller must
// call Finish or Drain afterwards, even after an error. Errors are of type
// *SendError.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, gate Gate) (resp *http.Response, err error) {
	c.writer = &gatedWriter{conn: c.tcp, gate: gate}
	c.written = make(chan struct{})
	c.body = nil
	c.aborted = make(chan struct{})
	c.stopped = false
	c.stopAbort = context.AfterFunc(ctx, c.abort)
	source := watchSource(req)
	go c.write(req)
	resp, err = c.readResponse(req)
	if err == nil && c.isRequestTruncated(ctx, source) {
		err = ErrRequestTruncated
	}
	if err != nil {
		c.failed = true
		return nil, c.sendError(ctx, err)
	}
	c.body = &responseBody{conn: c, ctx: ctx, inner: resp.Body, complete: resp.Body == http.NoBody, last: resp.Close}
	resp.Body = c.body
	return resp, nil
}

// isRequestTruncated reports whether only a part of the request was sent, because
// reading its body failed or the context ended before all of it was written. A
// response to such a part must not be passed on to the caller.
func (c *Conn) isRequestTruncated(ctx context.Context, source *sourceBody) bool {
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

// write sends the request. If that fails, it closes the connection, or only its
// sending side if a part of the request may have been sent.
func (c *Conn) write(req *http.Request) {
	defer close(c.written)
	c.writeErr = writeRequest(c.writer, req)
	if c.writeErr == nil {
		return
	}
	if !c.writer.isSent() {
		c.closeTCP()
		return
	}
	_ = c.tcp.CloseWrite()
}

// writeRequest writes a request, in one piece unless its body is a stream. A part of a
// request that a paused daemon has sent takes one of the runner's slots until the daemon
// resumes, long after another daemon may use them all.
func writeRequest(w io.Writer, req *http.Request) error {
	if req.GetBody == nil && req.Body != nil && req.Body != http.NoBody {
		return req.Write(w)
	}
	var whole bytes.Buffer
	whole.Grow(headerSize + int(max(req.ContentLength, 0)))
	if err := req.Write(&whole); err != nil {
		return err
	}
	_, err := w.Write(whole.Bytes())
	return err
}

// abort half-closes the connection, which tells the runner that the response is
// no longer wanted, and unblocks the pending read.
func (c *Conn) abort() {
	defer close(c.aborted)
	_ = c.tcp.CloseWrite()
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}

// readResponse reads the header of the final response and skips interim ones.
func (c *Conn) readResponse(req *http.Request) (resp *http.Response, err error) {
	c.limiter.start(MaxResponseHeaderBytes)
	defer c.limiter.stop()
	for range maxInformational {
		resp, err = http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, checkFraming(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: unexpected protocol switch", ErrProtocol)
		}
	}
	return nil, fmt.Errorf("%w: too many interim responses", ErrProtocol)
}

// checkFraming rejects responses whose body is delimited only by the end of the
// connection, because a truncated body would look complete.
func checkFraming(resp *http.Response) error {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return nil
	}
	if len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked" {
		return nil
	}
	return ErrUnframed
}

// sendError returns the error of a failed exchange and prevents later writes of
// the request if none has begun.
func (c *Conn) sendError(ctx context.Context, cause error) error {
	sent, gateErr := c.writer.closeUnsent()
	if gateErr != nil {
		cause = gateErr
	}
	if ctx.Err() != nil {
		cause = errors.Join(context.Cause(ctx), cause)
	}
	return &SendError{Sent: sent, Cause: cause}
}

// Finish ends an exchange and reports whether the connection is idle again. If
// it isn't, the caller must call Drain.
func (c *Conn) Finish() bool {
	if c.writer == nil {
		return false
	}
	c.stop()
	return c.stopped && c.isReusable()
}

// IsSent reports whether any byte of the last request may have been sent.
func (c *Conn) IsSent() bool { return c.writer != nil && c.writer.isSent() }

// Drain ends an exchange whose connection can't be reused. It half-closes the
// connection and waits until the runner closes its side, which shows that the
// runner has stopped working on the request, or until the given time. It returns
// at once if no byte was sent.
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

// stop ends the reading of the response. It waits for a running abort, whose
// read deadline would otherwise end a later Drain early.
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

// isReusable reports whether request and response are complete, the runner keeps
// the connection open, and no further bytes have been received.
func (c *Conn) isReusable() bool {
	return c.isComplete() && !c.body.last && c.isWritten() && c.reader.Buffered() == 0
}

// isComplete reports whether the response has been read to its end.
func (c *Conn) isComplete() bool {
	return !c.failed && c.body != nil && c.body.complete
}

// isWritten reports whether the complete request has been sent. It waits up to
// writerGrace for that.
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

// linger half-closes the connection and discards what the runner sends until it
// has closed its side.
func (c *Conn) linger(until time.Time) {
	_ = c.tcp.CloseWrite()
	if err := c.tcp.SetReadDeadline(until); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.tcp)
}

// Close closes an idle connection.
func (c *Conn) Close() { c.closeTCP() }

// closeTCP closes the connection once.
func (c *Conn) closeTCP() {
	c.closeOnce.Do(func() { _ = c.tcp.Close() })
}
