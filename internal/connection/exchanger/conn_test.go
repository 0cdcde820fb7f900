package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveOnce serves one connection with a function and returns the listener's
// address.
func serveOnce(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn, bufio.NewReader(conn))
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	conn, err := Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

func newPost(t *testing.T, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/charms", strings.NewReader("print"))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// respondWith returns a function that reads one request and writes raw bytes.
func respondWith(raw string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, raw)
	}
}

func TestConnReadsWholeAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncast",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncast\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncast",
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			address := serveOnce(t, func(conn net.Conn, reader *bufio.Reader) {
				respondWith(raw)(conn, reader)
				<-hold
			})
			defer close(hold)
			conn := dial(t, address)
			assertBody(t, conn, newPost(t, address), "cast")
			if !conn.Finish() {
				t.Error("connection is not reusable after a complete response")
			}
			if !conn.IsUsable() {
				t.Error("connection is not usable")
			}
		})
	}
}

func assertBody(t *testing.T, conn *Conn, req *http.Request, want string) {
	t.Helper()
	resp, err := conn.Exchange(t.Context(), req, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != want {
		t.Fatalf("body = %q, %v; want %q", body, err, want)
	}
}

func TestConnReportsCutAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"no response":       "",
		"cut status":        "HTTP/1.1 20",
		"cut header":        "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body":          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncast",
		"cut chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncast",
		"no last chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncast\r\n",
		"no framing":        "HTTP/1.1 200 OK\r\n\r\ncast",
		"switched protocol": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"endless header":    "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*MaxResponseHeaderBytes),
	} {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, respondWith(raw))
			conn := dial(t, address)
			resp, err := conn.Exchange(t.Context(), newPost(t, address), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			assertSent(t, err, true)
			if conn.Finish() {
				t.Error("connection is reusable after a cut response")
			}
			conn.Drain(time.Now().Add(time.Second))
		})
	}
}

func assertSent(t *testing.T, err error, want bool) {
	t.Helper()
	var failed *SendError
	if !errors.As(err, &failed) {
		t.Fatalf("error = %v, want a *SendError", err)
	}
	if failed.Sent != want {
		t.Errorf("sent = %t, want %t (%v)", failed.Sent, want, err)
	}
}

func TestConnSendsNothing(t *testing.T) {
	t.Run("past a closed gate", func(t *testing.T) {
		got := make(chan error, 1)
		address := serveOnce(t, func(_ net.Conn, reader *bufio.Reader) {
			_, err := reader.ReadByte()
			got <- err
		})
		conn := dial(t, address)
		gateErr := errors.New("authority lapsed")
		_, err := conn.Exchange(t.Context(), newPost(t, address), func() error { return gateErr })
		assertSent(t, err, false)
		if !errors.Is(err, gateErr) {
			t.Errorf("error = %v, want %v", err, gateErr)
		}
		conn.Drain(time.Now().Add(time.Second))
		if err := <-got; err == nil {
			t.Error("a byte arrived")
		}
	})
	t.Run("without a connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		listener.Close()
		_, err = Dial(t.Context(), address)
		assertSent(t, err, false)
	})
}

func TestConnTellsRunnerOfCancellation(t *testing.T) {
	noticed := make(chan struct{})
	release := make(chan struct{})
	address := serveOnce(t, func(_ net.Conn, reader *bufio.Reader) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = reader.ReadByte() // returns when the other side has half-closed
		close(noticed)
		<-release
	})
	conn := dial(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := conn.Exchange(ctx, newPost(t, address), nil)
	assertSent(t, err, true)
	<-noticed
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		conn.Finish()
		conn.Drain(time.Now().Add(time.Minute))
	}()
	select {
	case <-drained:
		t.Error("Drain returned while the runner was still working")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	<-drained
}

func TestConnWithUnreadBytesIsNotReusable(t *testing.T) {
	t.Run("unexpected bytes after a response", func(t *testing.T) {
		address := serveOnce(t, func(conn net.Conn, reader *bufio.Reader) {
			respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncastHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")(conn, reader)
			_, _ = reader.ReadByte()
		})
		conn := dial(t, address)
		assertBody(t, conn, newPost(t, address), "cast")
		if conn.Finish() {
			t.Error("connection with unexpected bytes is reusable")
		}
		conn.Drain(time.Now().Add(time.Second))
	})
	t.Run("a partly read body", func(t *testing.T) {
		address := serveOnce(t, func(conn net.Conn, reader *bufio.Reader) {
			respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncast")(conn, reader)
			_, _ = reader.ReadByte()
		})
		conn := dial(t, address)
		resp, err := conn.Exchange(t.Context(), newPost(t, address), nil)
		if err != nil {
			t.Fatal(err)
		}
		if conn.Finish() {
			t.Error("connection with an unread body is reusable")
		}
		conn.Drain(time.Now().Add(time.Second))
		if _, err := resp.Body.Read(make([]byte, 1)); err == nil {
			t.Error("body can be read after its exchange has ended")
		}
	})
}
