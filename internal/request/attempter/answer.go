package attempter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// copyBufferSize is the size of the buffer through which a response body is copied.
const copyBufferSize = 32 << 10

// maxShortAnswer is the size up to which a response body is buffered before it is relayed.
const maxShortAnswer = 4 << 10

// An Executor sends calls to runners.
type Executor interface {
	// Execute returns the runner's response, or an *Error.
	Execute(ctx context.Context, call *Call) (*Answer, error)
}

// An Answer is a runner's response whose body is still to be read. Release frees the
// resources of the attempt, such as its slot; it has to be called when the body has been
// read or is no longer needed.
type Answer struct {
	Response *http.Response
	// Runner is the name of the runner, if known.
	Runner  string
	Release func()
}

// An Error reports a call that failed without a runner's response.
type Error struct {
	Outcome answerer.Outcome
	Reason  string
	// RetryAfter is the time after which the caller may retry; zero if it is not known.
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

// BufferShortBody reads the body of a short response into memory, so that it can't
// break off while it is relayed. On failure it releases the answer and returns an
// *Error.
func (a *Answer) BufferShortBody() error {
	resp := a.Response
	if resp.ContentLength <= 0 || resp.ContentLength > maxShortAnswer {
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Release()
		return &Error{Outcome: answerer.OutcomeUnknown, Reason: "response body ended early", Runner: a.Runner, Cause: err}
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// Relay writes an answer to a response writer. After an error the response is
// incomplete, and the caller's connection has to be aborted.
func Relay(w http.ResponseWriter, answer *Answer, request string) (err error) {
	resp := answer.Response
	header := w.Header()
	for name, values := range answerer.EndToEnd(resp.Header) {
		header[name] = values
	}
	header.Set(answerer.HeaderOutcome, string(answerer.OutcomeAnswered))
	header.Set(answerer.HeaderRequest, request)
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp.Body, resp.ContentLength); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies a body. If its length is unknown, each part is flushed at once.
func copyBody(w http.ResponseWriter, body io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.CopyBuffer(onlyWriter{w}, onlyReader{body}, make([]byte, min(copyBufferSize, length+1)))
		return err
	}
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
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

// An onlyWriter hides a writer's other methods, such as ReadFrom, from io.CopyBuffer.
type onlyWriter struct{ io.Writer }

// An onlyReader hides a reader's other methods, such as WriteTo, from io.CopyBuffer.
type onlyReader struct{ io.Reader }
