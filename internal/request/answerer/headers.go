// Package answerer holds the header fields of urgent requests and writes the
// answers that the system gives itself.
package answerer

// Header fields towards callers.
const (
	// HeaderDeadline carries the remaining time of a request, in milliseconds.
	HeaderDeadline = "Kumquat-Deadline-Millis"
	// HeaderOutcome tells whether a request ran.
	HeaderOutcome = "Kumquat-Outcome"
	// HeaderRequest names a request in logs and the time line.
	HeaderRequest = "Kumquat-Request"
	// HeaderCaller names a caller, for fairness between callers.
	HeaderCaller = "Kumquat-Caller"
	// HeaderEvent carries the number of the event that explains a refusal.
	HeaderEvent = "Kumquat-Event"
	// HeaderReplayed marks the kept result of an earlier request with the same key.
	HeaderReplayed = "Kumquat-Replayed"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderRunner is set by a runner that is leaving.
const HeaderRunner = "Kumquat-Runner"

// RunnerLeaving is the value of HeaderRunner that announces a leave.
const RunnerLeaving = "leaving"

// An Outcome tells what is known of a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered marks the runner's own answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun says that no byte of the request left for a runner.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
