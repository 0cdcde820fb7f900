package recorder

import (
	"bytes"
	"strings"
	"testing"
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

// A stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	written bytes.Buffer
}

// Write implements io.Writer.
func (w *stuckWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.written.Write(data)
}

func TestLogThatIsStuckBlocksNobody(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewLineWriter(out, "d1")
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for range 3 {
			for range 5_000 {
				w.Record(lineTime, 6100, Fields{"id": "0123456789abcdef"})
			}
			time.Sleep(2 * linePause)
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
	if size := out.written.Len(); size > 3*lineBuffer {
		t.Errorf("%d bytes were kept", size)
	}
	if !strings.Contains(out.written.String(), "linesDropped=5") {
		t.Error("dropped lines are not counted")
	}
}
