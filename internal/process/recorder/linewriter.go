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

// Limits of a LineWriter.
const (
	// bufferLimit is the size of the unwritten lines, in bytes, beyond which new lines are dropped.
	bufferLimit = 128 << 10
	// flushInterval is the time between two writes of the buffer, so that one write takes many
	// lines.
	flushInterval = 100 * time.Millisecond
)

// A LineWriter is a Recorder that writes a line of space-separated key=value pairs for each event,
// for example "at=15:04:05.000 level=info event=2100 name=sharder.taskAssigned daemon=atl-1
// task=casts/3". Recording never waits for the output: a line that finds the buffer full is
// dropped, and a later line states how many were. A LineWriter is safe for concurrent use.
type LineWriter struct {
	out     io.Writer
	daemon  string
	mu      sync.Mutex
	buffer  []byte       // the lines to write
	spare   []byte       // the buffer of the last write, reused for the next lines
	dropped atomic.Int64 // lines dropped since the last line that stated their number
	stop    chan struct{}
	done    chan struct{}
}

var _ Recorder = (*LineWriter)(nil)

// NewLineWriter returns a LineWriter that names the given daemon in each line.
func NewLineWriter(out io.Writer, daemon string) *LineWriter {
	w := &LineWriter{out: out, daemon: daemon, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Close writes the buffered lines and waits until they are written.
func (w *LineWriter) Close() {
	close(w.stop)
	<-w.done
}

// Record implements Recorder. It skips events of level debug.
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
	if len(w.buffer) > bufferLimit {
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

// appendValue appends a value, quoted if it is empty or has characters that would make the line
// ambiguous.
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

// run writes the buffer at each interval until the writer is closed.
func (w *LineWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
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
		// An error of the log itself can't be logged.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
