package recorder

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Bounds of the log.
const (
	// lineBuffer is the memory of lines that wait to be written, in bytes.
	lineBuffer = 128 << 10
	// linePause gathers lines for one write.
	linePause = 100 * time.Millisecond
)

// A LineWriter is a Recorder that writes one line of space-separated key=value
// pairs an event. It never blocks: lines that find the buffer full are dropped
// and counted in a later line. It is safe for concurrent use.
type LineWriter struct {
	out     io.Writer
	daemon  string
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

var _ Recorder = (*LineWriter)(nil)

// NewLineWriter returns a writer that names its daemon in each line.
func NewLineWriter(out io.Writer, daemon string) *LineWriter {
	w := &LineWriter{out: out, daemon: daemon, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Close writes what is left and waits for it.
func (w *LineWriter) Close() {
	close(w.stop)
	<-w.done
}

// Record implements Recorder. Debug events are left out.
func (w *LineWriter) Record(now time.Time, number Number, fields Fields) {
	entry := Lookup(number)
	if entry.Level == log.DebugLevel {
		return
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer) > lineBuffer {
		w.dropped.Add(1)
		return
	}
	if n := w.dropped.Swap(0); n > 0 {
		w.buffer = append(w.buffer, "linesDropped="...)
		w.buffer = append(strconv.AppendInt(w.buffer, n, 10), '\n')
	}
	w.buffer = append(w.buffer, "at="...)
	w.buffer = now.UTC().AppendFormat(w.buffer, "15:04:05.000")
	w.buffer = append(w.buffer, " level="...)
	w.buffer = append(w.buffer, entry.Level.String()...)
	w.buffer = append(w.buffer, " event="...)
	w.buffer = strconv.AppendInt(w.buffer, int64(number), 10)
	w.buffer = append(append(w.buffer, " name="...), entry.Name...)
	w.buffer = append(append(w.buffer, " daemon="...), w.daemon...)
	for _, name := range names {
		w.buffer = append(append(append(w.buffer, ' '), name...), '=')
		w.buffer = appendValue(w.buffer, fields[name])
	}
	w.buffer = append(w.buffer, '\n')
}

// appendValue quotes a value that would break the line's form.
func appendValue(line []byte, value string) []byte {
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return strconv.AppendQuote(line, value)
		}
	}
	if value == "" {
		return append(line, `""`...)
	}
	return append(line, value...)
}

// run writes the buffer from time to time.
func (w *LineWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(linePause)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

func (w *LineWriter) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(lines) > 0 {
		// Nowhere is left to report a log that can't be written.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
