package exchanger

import (
	"errors"
	"fmt"
)

// ErrUnframed reports an answer whose end can't be told from a broken
// connection, because it has neither a length nor chunks.
var ErrUnframed = errors.New("answer has neither a length nor chunks")

// ErrRequestCut reports an answer to a request that the runner can't have whole.
var ErrRequestCut = errors.New("the request was cut off before the answer")

// ErrProtocol reports an answer that breaks HTTP/1.1.
var ErrProtocol = errors.New("answer breaks the protocol")

// ErrAnswerHeaderTooLarge reports an answer whose header exceeds its bound.
var ErrAnswerHeaderTooLarge = errors.New("answer's header is too large")

// A SendError reports an exchange that gave no whole answer.
type SendError struct {
	// Sent is true if a byte of the request may have left for the runner.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("exchange broke after sending began: %v", e.Cause)
	}
	return fmt.Sprintf("request was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// IsSent reports whether an error leaves it open that a byte of the request
// has left. Errors of unknown kind count as sent.
func IsSent(err error) bool {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed.Sent
	}
	return err != nil
}
