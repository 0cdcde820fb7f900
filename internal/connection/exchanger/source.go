package exchanger

import (
	"io"
	"net/http"
	"sync/atomic"
)

// A sourceBody is the body of a request that notes whether it could be read to
// its end.
type sourceBody struct {
	io.ReadCloser
	failed atomic.Bool
}

// watchSource puts a sourceBody in the place of a request's body.
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
