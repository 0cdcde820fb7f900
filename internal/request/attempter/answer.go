package attempter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// copyBuffer is the number of bytes of an answer that are held at a time.
const copyBuffer = 32 << 10

// An Executor carries out calls.
type Executor interface {
	// Execute returns the runner's answer, or an *Error.
	Execute(ctx context.Context, call *Call) (*Answer, error)
}

// An Answer is a runner's answer whose body is still to be read. Release has
// to be called when that is done or given up.
type Answer struct {
	Response *http.Response
	// Runner is the name of the runner, if known.
	Runner  string
	Release func()
}

// An Error reports a call without a runner's answer.
type Error struct {
	Outcome    answerer.Outcome
	Reason     string
	RetryAfter time.Duration
	// Runner is the name of the runner that failed, if any.
	Runner string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Outcome, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Relay writes an answer to a response writer. An error means that the answer
// is not whole, so that the connection has to be broken.
func Relay(w http.ResponseWriter, answer *Answer, request string) (err error) {
	resp := answer.Response
	header := w.Header()
	for name, values := range answerer.EndToEnd(resp.Header) {
		header[name] = values
	}
	header.Set(answerer.HeaderOutcome, string(answerer.OutcomeAnswered))
	header.Set(answerer.HeaderRequest, request)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies the body, and flushes each part if the length is not known.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength >= 0 {
		_, err := io.CopyBuffer(onlyWriter{w}, resp.Body, make([]byte, min(copyBuffer, resp.ContentLength+1)))
		return err
	}
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = flusher.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// An onlyWriter hides all other methods of a writer.
type onlyWriter struct{ io.Writer }
