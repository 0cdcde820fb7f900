package forwarder

import (
	"io"
	"net"
)

// newDialer returns a dialer for connections to peers.
func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// A chargedBody is a response body that reports the bytes read to charge.
type chargedBody struct {
	inner  io.ReadCloser
	charge func(bytes int)
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.charge(n)
	return n, err
}

// Close implements io.Closer.
func (b *chargedBody) Close() error { return b.inner.Close() }
