// Package answerer defines the header fields of urgent requests and writes the
// responses that this system generates itself.
package answerer

// Header fields of callers' requests and of the responses to them.
const (
	// HeaderDeadline carries the remaining time of a request, in milliseconds.
	HeaderDeadline = "Kumquat-Deadline-Millis"
	// HeaderOutcome carries the Outcome of a request.
	HeaderOutcome = "Kumquat-Outcome"
	// HeaderRequest carries the request id that logs and the timeline use.
	HeaderRequest = "Kumquat-Request"
	// HeaderCaller carries the caller's name; queues share the service fairly among callers.
	HeaderCaller = "Kumquat-Caller"
	// HeaderEvent carries the number of the event that explains a refusal.
	HeaderEvent = "Kumquat-Event"
	// HeaderReplayed marks a stored result of an earlier request with the same key.
	HeaderReplayed = "Kumquat-Replayed"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderRunner is set in the responses of a runner that is leaving.
const HeaderRunner = "Kumquat-Runner"

// RunnerLeaving is the value of HeaderRunner by which a runner announces that it is leaving.
const RunnerLeaving = "leaving"

// An Outcome says whether a runner has processed a request, as far as is known.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered says that the response is the runner's own.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun says that no byte of the request was sent to a runner.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
