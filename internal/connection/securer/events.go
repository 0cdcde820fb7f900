package securer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventReloaded is recorded when changed certificates were loaded from their files; field "expires".
	EventReloaded recorder.Number = 3501
	// EventReloadFailed is recorded when changed certificates could not be loaded; the previous ones stay in use; field "cause".
	EventReloadFailed recorder.Number = 3502
	// EventDenied is recorded when a caller's role does not allow a call; fields "method", "role", "needed".
	EventDenied recorder.Number = 3503
)
