package exchanger

import (
	"io"
	"net/http"
	"sync/atomic"
)

// A sourceBody is the body of a request. It records whether reading it failed.
type sourceBody struct {
	io.ReadCloser
	failed atomic.Bool
}

// watchSource replaces a request's body, if it has one, by a sourceBody.
func watchSource(req *http.Request) *sourceBody {
	source := &sourceBody{ReadCloser: req.Body}
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = source
	}
	return source
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}
