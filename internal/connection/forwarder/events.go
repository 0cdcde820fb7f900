package forwarder

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventForwardBroken is recorded when the connection to a peer broke after a request began to be sent.
	EventForwardBroken recorder.Number = 1100
	// EventForwardRefused is recorded when a peer did not run a forwarded request.
	EventForwardRefused recorder.Number = 1101
	// EventForwardMalformed is recorded when a peer sent a request that can't be read.
	EventForwardMalformed recorder.Number = 1102
	// EventForwardCut is recorded when the answer to a peer was cut off.
	EventForwardCut recorder.Number = 1103
)
