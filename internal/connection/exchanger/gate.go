package exchanger

import (
	"net"
	"sync/atomic"
)

// A Gate is asked right before the first byte of a request is written. An
// error keeps the request from being sent.
type Gate func() error

// A gatedWriter asks its gate before the first byte and remembers whether a
// byte may have left.
type gatedWriter struct {
	conn net.Conn
	gate Gate
	sent atomic.Bool
}

// Write implements io.Writer.
func (w *gatedWriter) Write(p []byte) (int, error) {
	first := !w.sent.Load()
	if first && w.gate != nil {
		if err := w.gate(); err != nil {
			return 0, err
		}
	}
	w.sent.Store(true)
	n, err := w.conn.Write(p)
	if first && n == 0 && err != nil {
		w.sent.Store(false)
	}
	return n, err
}
