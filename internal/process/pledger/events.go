package pledger

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventListWritten is recorded when this daemon's guarantors are durable; fields "incarnation", "guarantors".
	EventListWritten recorder.Number = 3401
	// EventExtended is recorded when this daemon goes on by pledges, without the store; field "incarnation".
	EventExtended recorder.Number = 3402
	// EventExtensionEnded is recorded when it doesn't any more; field "incarnation".
	EventExtensionEnded recorder.Number = 3403
	// EventBlocked is recorded when this daemon gives another no further pledges; fields "daemon", "incarnation", "by".
	EventBlocked recorder.Number = 3404
	// EventEvicted is recorded when an incarnation provably can't act any more; fields "daemon", "incarnation".
	EventEvicted recorder.Number = 3405
	// EventDeclaredDead is recorded when an operator vouches for the end of an incarnation; fields "daemon", "incarnation".
	EventDeclaredDead recorder.Number = 3406
)
