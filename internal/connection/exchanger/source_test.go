package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestConnDropsAnswersToCutRequests checks that a response to a partly sent
// request is not passed on. Such a request arises when reading its body fails or
// the context ends while it is being sent.
func TestConnDropsAnswersToCutRequests(t *testing.T) {
	errSource := errors.New("the caller went away")
	for name, cut := range map[string]func(body *io.PipeWriter, end context.CancelFunc){
		"source failed":  func(body *io.PipeWriter, _ context.CancelFunc) { _ = body.CloseWithError(errSource) },
		"exchange ended": func(_ *io.PipeWriter, end context.CancelFunc) { end() },
	} {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, func(conn net.Conn, reader *bufio.Reader) {
				// The copy ends when the client half-closes the connection.
				_, _ = io.Copy(io.Discard, reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			conn := dial(t, address)
			reader, writer := io.Pipe()
			ctx, end := context.WithCancel(t.Context())
			defer end()
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/charms", reader)
			if err != nil {
				t.Fatal(err)
			}
			req.ContentLength = 100
			go func() {
				_, _ = writer.Write([]byte("half"))
				cut(writer, end)
			}()
			resp, err := conn.Exchange(ctx, req, nil)
			_ = writer.Close()
			if !IsSent(err) || resp != nil {
				t.Errorf("response %v, error %v, want no response and an error that says sent", resp, err)
			}
		})
	}
}

// Guards against a runner that runs one request more than it has slots, because a paused
// daemon has sent only a part of a request.
func TestConnSendsBufferedRequestsAtOnce(t *testing.T) {
	address := serveOnce(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	conn := dial(t, address)
	req := newPost(t, address)
	rest, ended := req.Body, false
	req.Body = io.NopCloser(readerFunc(func(p []byte) (n int, err error) {
		n, err = rest.Read(p)
		ended = ended || err == io.EOF
		return n, err
	}))
	resp, err := conn.Exchange(t.Context(), req, func() error {
		if !ended {
			t.Error("the first byte is sent before the body has been read")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Errorf("body = %q, %v; want %q", body, err, "ok")
	}
}

// A readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (n int, err error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (n int, err error) { return f(p) }
