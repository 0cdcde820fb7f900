package runner

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of a runner's requests and responses.
const (
	// HeaderRequest is the ID of a request, by which its executions are counted.
	HeaderRequest = "Kumquat-Request"
	// HeaderServiceMicros sets the service time in microseconds.
	HeaderServiceMicros = "Standin-Service-Micros"
	// HeaderAnswerBytes requests a response body of this size instead of the request's body.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderRunner is the name of the runner, in its responses.
	HeaderRunner = "Standin-Runner"
)

// bodyLimit is the largest accepted request body, in bytes.
const bodyLimit = 64 << 20

var _ http.Handler = (*Runner)(nil)

// ServeHTTP runs one request and echoes its body. It frees the slot before it sends the last byte
// of the response, because a client may send its next request as soon as it has this byte.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	fault, service := r.acquireSlot()
	executed := false
	released := false
	release := func() {
		if !released {
			released = true
			r.releaseSlot(executed)
		}
	}
	defer release()
	w.Header().Set(HeaderRunner, r.options.Name)
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, bodyLimit))
	if err != nil {
		release()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault == faultFail {
		release()
		http.Error(w, "injected fault: the request failed", http.StatusServiceUnavailable)
		return
	}
	r.countExecution(request.Header.Get(HeaderRequest))
	executed = r.work(request, fault, service)
	if !executed || fault == faultClose {
		release()
		panic(http.ErrAbortHandler)
	}
	respond(w, request, responseBody(request, body), fault == faultTruncate, release)
}

// work waits for the service time, or that of the request's header if it is set, and reports
// whether the connection stayed open for the whole time.
func (r *Runner) work(request *http.Request, fault fault, service time.Duration) bool {
	if micros, ok := headerNumber(request, HeaderServiceMicros); ok {
		service = time.Duration(micros) * time.Microsecond
	}
	if fault == faultHang {
		<-request.Context().Done()
		return false
	}
	timer := time.NewTimer(r.scaledTime(service))
	defer timer.Stop()
	select {
	case <-request.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// responseBody returns zero bytes of the size in HeaderAnswerBytes, or else the request's body.
func responseBody(request *http.Request, body []byte) []byte {
	if size, ok := headerNumber(request, HeaderAnswerBytes); ok {
		return make([]byte, min(size, bodyLimit))
	}
	return body
}

// respond writes the body except for its last byte, frees the slot by calling release, and writes
// the last byte. With truncate set it frees the slot, writes half of the body and aborts the
// connection.
func respond(w http.ResponseWriter, request *http.Request, body []byte, truncate bool, release func()) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if content := request.Header.Get("Content-Type"); content != "" {
		w.Header().Set("Content-Type", content)
	}
	if truncate {
		release()
		// A write error doesn't matter, as the connection is aborted anyway.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	last := max(len(body)-1, 0)
	// A write error means that the client has disconnected and needs no response.
	_, _ = w.Write(body[:last])
	release()
	_, _ = w.Write(body[last:])
}

// headerNumber returns the value of a numeric header. It reports false if the header is missing,
// not a number or negative.
func headerNumber(request *http.Request, header string) (int64, bool) {
	value, err := strconv.ParseInt(request.Header.Get(header), 10, 64)
	return value, err == nil && value >= 0
}
