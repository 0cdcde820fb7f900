package recorder

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var lineTime = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func TestLines(t *testing.T) {
	var out bytes.Buffer
	w := NewLineWriter(&out, "d1")
	w.Record(lineTime, 6100, Fields{"id": "a", "reason": "two words", "empty": ""})
	w.Close()
	want := `at=12:00:00.000 level=info event=6100 name=dispatcher.started daemon=d1 empty="" id=a reason="two words"` + "\n"
	if out.String() != want {
		t.Errorf("line %q, want %q", out.String(), want)
	}
}

// A blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.written.Write(data)
}

// TestLineWriterNeverBlocks guards against a log output that hangs and blocks the recording of
// events, or lets the buffer grow without limit.
func TestLineWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewLineWriter(out, "d1")
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for range 3 {
			for range 5_000 {
				w.Record(lineTime, 6100, Fields{"id": "0123456789abcdef"})
			}
			time.Sleep(2 * flushInterval)
		}
	}()
	select {
	case <-recorded:
	case <-time.After(10 * time.Second):
		t.Fatal("blocked")
	}
	close(out.release)
	w.Close()
	w = NewLineWriter(out, "d1")
	w.dropped.Store(5)
	w.Record(lineTime, 6100, nil)
	w.Close()
	if size := out.written.Len(); size > 3*bufferLimit {
		t.Errorf("%d bytes were buffered", size)
	}
	if !strings.Contains(out.written.String(), "linesDropped=5") {
		t.Error("dropped lines are not counted")
	}
}

// Guards against rare events that are missing in the log, since frequent ones fill the buffer or
// stand before them in an output that takes only so much at a time.
func TestRareLinesPrecedeFrequentOnes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // no write begins before all is recorded
		var out bytes.Buffer
		w := NewLineWriter(&out, "d1")
		for range 5_000 {
			w.Record(lineTime, 6100, Fields{"id": "0123456789abcdef"})
		}
		w.Record(lineTime, 6117, nil)
		w.Close()
		lines := strings.Split(out.String(), "\n")
		if at := slices.IndexFunc(lines, func(line string) bool { return strings.Contains(line, "event=6117") }); at != bulkAfter+1 {
			t.Errorf("the rare event is line %d of %d, want line %d", at, len(lines), bulkAfter+1)
		}
	})
}

// A pieceWriter keeps what was written, write by write.
type pieceWriter struct{ pieces []string }

// Write implements io.Writer.
func (w *pieceWriter) Write(data []byte) (int, error) {
	w.pieces = append(w.pieces, string(data))
	return len(data), nil
}

// Guards against lines of a burst that are lost or garbled, since the reader of the output takes
// only the beginning of a large write.
func TestBurstsAreWrittenInWholeLines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // no write begins before all is recorded
		var out pieceWriter
		w := NewLineWriter(&out, "d1")
		long := strings.Repeat("x", 2*writeLimit)
		for n := range 200 {
			w.Record(lineTime, 6100, Fields{"id": "0123456789abcdef"})
			if n%100 == 0 {
				w.Record(lineTime, 6117, Fields{"awaited": long})
			}
		}
		w.Close()
		for _, piece := range out.pieces {
			if !strings.HasSuffix(piece, "\n") {
				t.Errorf("a write ends within a line: %.80q", piece)
			}
			if lines := strings.Count(piece, "\n"); lines > 1 && len(piece) > writeLimit {
				t.Errorf("a write has %d lines in %d bytes, want at most %d", lines, len(piece), writeLimit)
			}
		}
		if lines := strings.Count(strings.Join(out.pieces, ""), "\n"); lines != 202 {
			t.Errorf("%d lines were written, want 202", lines)
		}
	})
}

// A failingWriter fails the first write.
type failingWriter struct{ pieceWriter }

// Write implements io.Writer.
func (w *failingWriter) Write(data []byte) (int, error) {
	if len(w.pieces) == 0 {
		w.pieces = append(w.pieces, "")
		return 0, io.ErrShortWrite
	}
	return w.pieceWriter.Write(data)
}

// Guards against lines that are missing from the log without a count.
func TestLinesOfFailedWritesAreCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out failingWriter
		w := NewLineWriter(&out, "d1")
		for range 3 {
			w.Record(lineTime, 6117, nil)
		}
		time.Sleep(2 * flushInterval)
		w.Record(lineTime, 6117, nil)
		w.Close()
		if log := strings.Join(out.pieces, ""); !strings.Contains(log, "linesDropped=3\n") {
			t.Errorf("log %q, want three lines counted as dropped", log)
		}
	})
}
