package exchanger

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// A headerLimiter bounds the bytes that are read while it is started.
type headerLimiter struct {
	reader    net.Conn
	bounded   bool
	remaining int
}

// start bounds the following reads.
func (l *headerLimiter) start(limit int) { l.bounded, l.remaining = true, limit }

// stop removes the bound.
func (l *headerLimiter) stop() { l.bounded = false }

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.bounded {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrAnswerHeaderTooLarge
	}
	p = p[:min(len(p), l.remaining)]
	n, err := l.reader.Read(p)
	l.remaining -= n
	return n, err
}

// An answerBody is the body of an answer. It knows whether its end was read.
type answerBody struct {
	conn  *Conn
	ctx   context.Context
	inner io.ReadCloser
	whole bool
	last  bool // the runner closes the connection after this answer
	done  bool // the exchange has been finished
}

// Read implements io.Reader. Errors other than io.EOF are of type *SendError.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, &SendError{Sent: true, Cause: net.ErrClosed}
	}
	n, err := b.inner.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.whole = true
		return n, io.EOF
	}
	b.conn.failed = true
	return n, b.conn.sendError(b.ctx, err)
}

// Close implements io.Closer. The connection is ended by Reuse or Drain.
func (b *answerBody) Close() error { return nil }

var _ io.ReadCloser = (*answerBody)(nil)

// IsUsable reports whether an idle connection is open and silent. A connection
// that its runner has closed, or that carries unasked bytes, is not fresh.
func (c *Conn) IsUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	fresh := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		fresh = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && fresh
}
