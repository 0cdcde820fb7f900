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
