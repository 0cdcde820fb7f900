package forwarder

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventForwardBroken is recorded when a forwarded request got no response after a connection to the peer was obtained.
	EventForwardBroken recorder.Number = 1100
	// EventForwardRefused is recorded when a peer did not run a forwarded request.
	EventForwardRefused recorder.Number = 1101
	// EventForwardMalformed is recorded when a peer sent a request that can't be decoded.
	EventForwardMalformed recorder.Number = 1102
	// EventForwardCut is recorded when a response to a peer was sent only in part.
	EventForwardCut recorder.Number = 1103
)
