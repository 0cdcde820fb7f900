package claimer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package.
const (
	// EventClaimUnavailable is recorded when no owner of a key answered in time.
	EventClaimUnavailable recorder.Number = 1400
	// EventReportDropped is recorded when the outcome of a claimed request could not be reported.
	EventReportDropped recorder.Number = 1401
)
