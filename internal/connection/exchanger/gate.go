package exchanger

import (
	"net"
	"sync"
)

// A Gate is asked right before the first byte of a request is written. An
// error keeps the request from being sent.
type Gate func() error

// A gatedWriter asks its gate before the first byte and remembers whether a
// byte may have left.
type gatedWriter struct {
	conn net.Conn
	gate Gate

	mu      sync.Mutex
	sent    bool
	closed  bool
	refusal error // what the gate said
}

// Write implements io.Writer.
func (w *gatedWriter) Write(p []byte) (int, error) {
	first, err := w.open()
	if err != nil {
		return 0, err
	}
	n, err := w.conn.Write(p)
	if first && n == 0 && err != nil {
		w.mu.Lock()
		w.sent = false
		w.mu.Unlock()
	}
	return n, err
}

// open asks the gate if nothing has been written yet.
func (w *gatedWriter) open() (first bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false, net.ErrClosed
	}
	if w.sent {
		return false, nil
	}
	if w.gate != nil {
		if err := w.gate(); err != nil {
			w.refusal = err
			return false, err
		}
	}
	w.sent = true
	return true, nil
}

// isSent reports whether a byte may have left.
func (w *gatedWriter) isSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// settle reports whether a byte may have left, and makes sure that none leaves
// later if none has so far.
func (w *gatedWriter) settle() (sent bool, refusal error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = !w.sent
	return w.sent, w.refusal
}
