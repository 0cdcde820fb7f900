package meter

import (
	"context"
	"io"
	"net"
	"testing"
)

func TestMeterCountsBothWays(t *testing.T) {
	near, far := net.Pipe()
	m := &Meter{}
	dial := m.Dial(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, err := dial(t.Context(), "tcp", "any")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 3))
		_, _ = far.Write([]byte("12345"))
	}()
	if _, err := conn.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if got := m.Bytes(); got != 8 {
		t.Errorf("Bytes() = %d, want 8", got)
	}
}
