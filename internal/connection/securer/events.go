package securer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventReloaded is recorded when certificates were read again from their files; field "expires".
	EventReloaded recorder.Number = 3501
	// EventReloadFailed is recorded when they could not be read; the former ones stay in use; field "cause".
	EventReloadFailed recorder.Number = 3502
	// EventDenied is recorded when a caller's role does not allow a call; fields "method", "role", "needed".
	EventDenied recorder.Number = 3503
)
