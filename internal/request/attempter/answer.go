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

// copyBuffer is the number of bytes of an answer that are held at a time.
const copyBuffer = 32 << 10

// shortAnswer is the size up to which an answer is read before it is passed on.
const shortAnswer = 4 << 10

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

// BufferShortBody reads the body of a short answer, so that it can't break off while
// it is passed on. Its error is an *Error; the answer is released then.
func (a *Answer) BufferShortBody() error {
	resp := a.Response
	if resp.ContentLength <= 0 || resp.ContentLength > shortAnswer {
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Release()
		return &Error{Outcome: answerer.OutcomeUnknown, Reason: "answer broke off", Runner: a.Runner, Cause: err}
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

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
	if err := copyBody(w, resp.Body, resp.ContentLength); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies the body, and flushes each part if the length is not known.
func copyBody(w http.ResponseWriter, body io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.CopyBuffer(onlyWriter{w}, onlyReader{body}, make([]byte, min(copyBuffer, length+1)))
		return err
	}
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
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

// An onlyWriter hides all other methods of a writer.
type onlyWriter struct{ io.Writer }

// An onlyReader hides all other methods of a reader.
type onlyReader struct{ io.Reader }
