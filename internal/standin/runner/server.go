package runner

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers that a runner reads and writes.
const (
	// HeaderRequest names a request, so that its executions can be counted.
	HeaderRequest = "Kumquat-Request"
	// HeaderServiceMicros sets the service time in microseconds.
	HeaderServiceMicros = "Standin-Service-Micros"
	// HeaderAnswerBytes asks for an answer of this size in place of the echo.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderRunner names the runner in its answers.
	HeaderRunner = "Standin-Runner"
)

// bodyLimit bounds the bytes of one request.
const bodyLimit = 64 << 20

var _ http.Handler = (*Runner)(nil)

// ServeHTTP runs one request and echoes its body. A slot is freed before the
// last byte of the answer leaves, so that the next request can't be early.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	fault, service := r.enter()
	executed := false
	left := false
	leave := func() {
		if !left {
			left = true
			r.leave(executed)
		}
	}
	defer leave()
	w.Header().Set(HeaderRunner, r.options.Name)
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, bodyLimit))
	if err != nil {
		leave()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault == faultFail {
		leave()
		http.Error(w, "the runner is sick", http.StatusServiceUnavailable)
		return
	}
	r.begin(request.Header.Get(HeaderRequest))
	executed = r.work(request, fault, service)
	if !executed || fault == faultClose {
		leave()
		panic(http.ErrAbortHandler)
	}
	answer(w, request, answerOf(request, body), fault == faultTruncate, leave)
}

// work takes the service time and reports whether the connection stayed open.
func (r *Runner) work(request *http.Request, fault fault, service time.Duration) bool {
	if micros, ok := number(request, HeaderServiceMicros); ok {
		service = time.Duration(micros) * time.Microsecond
	}
	if fault == faultHang {
		<-request.Context().Done()
		return false
	}
	timer := time.NewTimer(r.scaled(service))
	defer timer.Stop()
	select {
	case <-request.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// answerOf returns the body of the answer.
func answerOf(request *http.Request, body []byte) []byte {
	if size, ok := number(request, HeaderAnswerBytes); ok {
		return make([]byte, min(size, bodyLimit))
	}
	return body
}

// answer writes the body but for its last byte, frees the slot, and writes
// that byte; a truncated answer breaks off half-way.
func answer(w http.ResponseWriter, request *http.Request, body []byte, truncate bool, leave func()) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if content := request.Header.Get("Content-Type"); content != "" {
		w.Header().Set("Content-Type", content)
	}
	if truncate {
		leave()
		// The connection is broken off in any case.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	last := max(len(body)-1, 0)
	// A client that went away needs no answer.
	_, _ = w.Write(body[:last])
	leave()
	_, _ = w.Write(body[last:])
}

// number reads a header with a number.
func number(request *http.Request, header string) (int64, bool) {
	value, err := strconv.ParseInt(request.Header.Get(header), 10, 64)
	return value, err == nil && value >= 0
}
