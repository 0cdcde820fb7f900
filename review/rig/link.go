package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// A link is a proxy on the path from a daemon to the store. Its open channels can fall
// silent for good, without a reset, while new ones work.
type link struct {
	address  string
	target   string
	listener net.Listener

	mu       sync.Mutex
	channels []*channel
}

// A channel is one connection through a link.
type channel struct {
	ends   [2]net.Conn
	silent atomic.Bool
	closed atomic.Bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // the link is closed
		}
		up, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		c := &channel{ends: [2]net.Conn{conn, up}}
		l.mu.Lock()
		l.channels = append(l.channels, c)
		l.mu.Unlock()
		go c.copy(conn, up)
		go c.copy(up, conn)
	}
}

// copy forwards bytes in one direction; a silent channel drops them.
func (c *channel) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !c.silent.Load() && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !c.silent.Load() {
				c.close() // the other end of a silent channel hears nothing of it
			}
			c.closed.Store(true)
			return
		}
	}
}

func (c *channel) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

// silence makes the open channels silent and returns their number.
func (l *link) silence() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.channels {
		if !c.closed.Load() && c.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.channels {
		c.close()
	}
}
