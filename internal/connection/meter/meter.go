// Package meter counts the bytes of connections.
package meter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
)

// A Meter counts the bytes of all connections that its dial functions have opened.
// It is safe for concurrent use.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Dial returns a function that opens connections with next and counts their bytes.
func (m *Meter) Dial(next dialer.DialFunc) dialer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// Bytes returns the number of bytes sent and received so far.
func (m *Meter) Bytes() int64 { return m.sent.Load() + m.received.Load() }

// A meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}
