package recorder

import (
	"bytes"
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
	// bulkLimit is that beyond which new bulk lines are dropped.
	bulkLimit = 96 << 10
	// bulkAfter is the number of lines of one kind of event after which further ones are bulk
	// lines until the next write.
	bulkAfter = 16
	// flushInterval is the time between two flushes of the buffer, so that one write takes many
	// lines.
	flushInterval = 100 * time.Millisecond
	// writeLimit is the most bytes in a write, unless a single line is longer: a pipe takes that
	// many (PIPE_BUF) as a whole, while a reader may lose the end of more.
	writeLimit = 4096
)

// A LineWriter is a Recorder that writes a line of space-separated key=value pairs for each event,
// for example "at=15:04:05.000 level=info event=2100 name=sharder.taskAssigned daemon=atl-1
// task=casts/3". Recording never waits for the output: a line that finds the buffer full is
// dropped, and a later line states how many were. Bulk lines are dropped first, and written after
// the others, so that a burst of one kind of event does not displace other kinds. A LineWriter is
// safe for concurrent use.
type LineWriter struct {
	out     io.Writer
	daemon  string
	mu      sync.Mutex
	first   lineBuffer
	bulk    lineBuffer
	counts  map[Number]int // lines recorded since the last write
	dropped atomic.Int64   // lines dropped since the last line that stated their number
	stop    chan struct{}
	done    chan struct{}
}

var _ Recorder = (*LineWriter)(nil)

// A lineBuffer holds lines to write.
type lineBuffer struct {
	lines []byte
	spare []byte // the buffer of the last write, reused for the next lines
}

// take returns the lines and leaves an empty buffer.
func (b *lineBuffer) take() (lines []byte) {
	lines = b.lines
	b.lines, b.spare = b.spare[:0], nil
	return lines
}

// NewLineWriter returns a LineWriter that names the given daemon in each line.
func NewLineWriter(out io.Writer, daemon string) *LineWriter {
	w := &LineWriter{out: out, daemon: daemon, counts: make(map[Number]int), stop: make(chan struct{}), done: make(chan struct{})}
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
	buffer, limit := &w.first, bufferLimit
	if w.counts[number]++; w.counts[number] > bulkAfter {
		buffer, limit = &w.bulk, bulkLimit
	}
	if len(w.first.lines)+len(w.bulk.lines) > limit {
		w.dropped.Add(1)
		return
	}
	if n := w.dropped.Swap(0); n > 0 {
		buffer.lines = append(buffer.lines, "linesDropped="...)
		buffer.lines = append(strconv.AppendInt(buffer.lines, n, 10), '\n')
	}
	buffer.lines = w.appendLine(buffer.lines, now, number, entry, names, fields)
}

// appendLine appends the line of an event, with the fields in the order of names.
func (w *LineWriter) appendLine(line []byte, now time.Time, number Number, entry Entry, names []string, fields Fields) []byte {
	line = append(line, "at="...)
	line = now.UTC().AppendFormat(line, "15:04:05.000")
	line = append(line, " level="...)
	line = append(line, entry.Level.String()...)
	line = append(line, " event="...)
	line = strconv.AppendInt(line, int64(number), 10)
	line = append(append(line, " name="...), entry.Name...)
	line = append(append(line, " daemon="...), w.daemon...)
	for _, name := range names {
		line = append(append(append(line, ' '), name...), '=')
		line = appendValue(line, fields[name])
	}
	return append(line, '\n')
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
	first, bulk := w.first.take(), w.bulk.take()
	clear(w.counts)
	w.mu.Unlock()
	w.write(first)
	w.write(bulk)
	w.mu.Lock()
	w.first.spare, w.bulk.spare = first, bulk
	w.mu.Unlock()
}

// write writes lines, as many whole ones at a time as writeLimit allows.
func (w *LineWriter) write(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > writeLimit {
			n = bytes.LastIndexByte(lines[:writeLimit], '\n') + 1
		}
		if n == 0 { // a line longer than the limit
			n = bytes.IndexByte(lines, '\n') + 1
		}
		// An error of the log itself can't be logged, but a later line states how much is missing.
		if written, err := w.out.Write(lines[:n]); err != nil {
			w.dropped.Add(int64(bytes.Count(lines[min(written, n):n], []byte{'\n'})))
		}
		lines = lines[n:]
	}
}
