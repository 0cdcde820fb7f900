package router

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Event numbers of this package. A refused request carries its number in the
// header field Kumquat-Event.
const (
	// EventUnknownRoute is recorded when no route matches a request's path.
	EventUnknownRoute recorder.Number = 1000
	// EventHeaderTooLarge is recorded when a request's header exceeds its bound.
	EventHeaderTooLarge recorder.Number = 1001
	// EventBodyTooLarge is recorded when a request's body exceeds its bound.
	EventBodyTooLarge recorder.Number = 1002
	// EventDeadlineMissing is recorded when a request states no deadline and its route has none.
	EventDeadlineMissing recorder.Number = 1003
	// EventDeadlineMalformed is recorded when a request's deadline can't be read.
	EventDeadlineMalformed recorder.Number = 1004
	// EventKeyMissing is recorded when a route needs an idempotency key and the request has none.
	EventKeyMissing recorder.Number = 1005
	// EventKeyMalformed is recorded when an idempotency key is empty, too long or given twice.
	EventKeyMalformed recorder.Number = 1006
	// EventLengthMissing is recorded when a long body comes without its length.
	EventLengthMissing recorder.Number = 1007
	// EventSlowSender is recorded when a body doesn't arrive in time.
	EventSlowSender recorder.Number = 1008
	// EventBodyBroken is recorded when a body ends before its length.
	EventBodyBroken recorder.Number = 1009
	// EventVersionUnsupported is recorded when a request is not HTTP/1.1 or later.
	EventVersionUnsupported recorder.Number = 1010
	// EventTargetMalformed is recorded when a request's target is not a path.
	EventTargetMalformed recorder.Number = 1011
	// EventKeyMismatch is recorded when an idempotency key was used with another request.
	EventKeyMismatch recorder.Number = 1012
	// EventKeyInProgress is recorded when another request with the same key was still running at the deadline.
	EventKeyInProgress recorder.Number = 1013
	// EventKeyUnknown is recorded when it is not known whether an earlier request with the same key ran.
	EventKeyUnknown recorder.Number = 1014
	// EventKeyUnavailable is recorded when a key could not be claimed.
	EventKeyUnavailable recorder.Number = 1015
	// EventResultNotKept is recorded when the result of an earlier request with the same key was too large to keep.
	EventResultNotKept recorder.Number = 1016
	// EventBodiesExhausted is recorded when the memory for request bodies is used up.
	EventBodiesExhausted recorder.Number = 1017
	// EventNotRun is recorded when a request was not run.
	EventNotRun recorder.Number = 1018
	// EventOutcomeUnknown is recorded when it is not known whether a request ran.
	EventOutcomeUnknown recorder.Number = 1019
	// EventAnswerCut is recorded when an answer broke and the caller's connection was closed.
	EventAnswerCut recorder.Number = 1020
	// EventRetried is recorded when a request is sent once more.
	EventRetried recorder.Number = 1021
	// EventRouteIgnored is recorded when a declared route can't be matched.
	EventRouteIgnored recorder.Number = 1022
	// EventMethodUnsupported is recorded when a request asks for a tunnel or another protocol.
	EventMethodUnsupported recorder.Number = 1023
	// EventNoDeclarations is recorded when a request arrives before this daemon knows any declarations.
	EventNoDeclarations recorder.Number = 1024
)
