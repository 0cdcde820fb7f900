package exchanger

import (
	"net"
	"sync"
)

// A Gate is called right before the first byte of a request is written. If it
// returns an error, the request is not sent.
type Gate func() error

// A gatedWriter writes a request. It calls its gate before the first byte and
// records whether any byte may have been sent. It is safe for concurrent use.
type gatedWriter struct {
	conn net.Conn
	gate Gate

	mu      sync.Mutex
	sent    bool
	closed  bool
	gateErr error // the error that the gate returned
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

// open calls the gate if nothing has been written yet, and reports whether this
// is the first write.
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
			w.gateErr = err
			return false, err
		}
	}
	w.sent = true
	return true, nil
}

// isSent reports whether any byte may have been sent.
func (w *gatedWriter) isSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// closeUnsent reports whether any byte may have been sent. If none was, it
// closes the writer, so that none will be.
func (w *gatedWriter) closeUnsent() (sent bool, gateErr error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = !w.sent
	return w.sent, w.gateErr
}
