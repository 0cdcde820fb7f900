package exchanger

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// A headerLimiter limits the bytes that are read between start and stop.
type headerLimiter struct {
	reader    net.Conn
	bounded   bool
	remaining int
}

// start limits the bytes of the following reads.
func (l *headerLimiter) start(limit int) { l.bounded, l.remaining = true, limit }

// stop removes the limit.
func (l *headerLimiter) stop() { l.bounded = false }

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.bounded {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrResponseHeaderTooLarge
	}
	p = p[:min(len(p), l.remaining)]
	n, err := l.reader.Read(p)
	l.remaining -= n
	return n, err
}

// A responseBody is the body of a response. It records whether it was read to
// its end.
type responseBody struct {
	conn     *Conn
	ctx      context.Context
	inner    io.ReadCloser
	complete bool
	last     bool // the runner closes the connection after this response
	done     bool // the exchange has ended; reads fail
}

// Read implements io.Reader. Errors other than io.EOF are of type *SendError.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, &SendError{Sent: true, Cause: net.ErrClosed}
	}
	n, err := b.inner.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.complete = true
		return n, io.EOF
	}
	b.conn.failed = true
	return n, b.conn.sendError(b.ctx, err)
}

// Close implements io.Closer. It does nothing; Finish or Drain ends the exchange.
func (b *responseBody) Close() error { return nil }

var _ io.ReadCloser = (*responseBody)(nil)

// IsUsable reports whether an idle connection is open and has no bytes to read. A
// connection that the runner has closed, or on which it has sent unexpected bytes, is
// not usable.
func (c *Conn) IsUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}
