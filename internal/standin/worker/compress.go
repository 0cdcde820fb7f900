package worker

import (
	"compress/gzip"
	"net/http"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// compressed serves lists of measurements compressed to clients that accept it.
func compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != commander.PathUsage || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		compressor := gzip.NewWriter(w)
		next.ServeHTTP(&compressedWriter{ResponseWriter: w, compressor: compressor}, r)
		// A client that went away needs no answer.
		_ = compressor.Close()
	})
}

// A compressedWriter compresses the body of an answer.
type compressedWriter struct {
	http.ResponseWriter
	compressor *gzip.Writer
}

// Write implements http.ResponseWriter.
func (w *compressedWriter) Write(p []byte) (int, error) { return w.compressor.Write(p) }
