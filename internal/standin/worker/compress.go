package worker

import (
	"compress/gzip"
	"net/http"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// isLong holds the paths whose responses are long because they list all runs of a worker.
var isLong = map[string]bool{commander.PathUsage: true, commander.PathReport: true}

// compressed returns a handler that compresses the long responses of another handler for clients
// that accept gzip.
func compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isLong[r.URL.Path] || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		compressor := gzip.NewWriter(w)
		next.ServeHTTP(&compressedWriter{ResponseWriter: w, compressor: compressor}, r)
		// A write error means that the client has disconnected and needs no response.
		_ = compressor.Close()
	})
}

// A compressedWriter compresses the body of a response.
type compressedWriter struct {
	http.ResponseWriter
	compressor *gzip.Writer
}

// Write implements http.ResponseWriter.
func (w *compressedWriter) Write(p []byte) (int, error) { return w.compressor.Write(p) }
