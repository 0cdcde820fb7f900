package exchanger

import (
	"errors"
	"fmt"
)

// ErrUnframed reports a response that has neither a content length nor chunked
// encoding, so that its end looks the same as a broken connection.
var ErrUnframed = errors.New("response has neither a content length nor chunked encoding")

// ErrRequestTruncated reports a response to a request that was sent only in part.
var ErrRequestTruncated = errors.New("response arrived before the complete request was sent")

// ErrProtocol reports a response that violates HTTP/1.1.
var ErrProtocol = errors.New("response violates HTTP/1.1")

// ErrResponseHeaderTooLarge reports a response whose header exceeds
// MaxResponseHeaderBytes.
var ErrResponseHeaderTooLarge = errors.New("response header is too large")

// A SendError reports an exchange that gave no complete response.
type SendError struct {
	// Sent is true if any byte of the request may have been sent to the runner.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("exchange failed after the request began to be sent: %v", e.Cause)
	}
	return fmt.Sprintf("request was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// IsSent reports whether any byte of the request may have been sent before an
// exchange failed with this error. Errors other than *SendError count as sent.
func IsSent(err error) bool {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed.Sent
	}
	return err != nil
}
