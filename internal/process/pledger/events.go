package pledger

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventListWritten is recorded when this daemon's list of guarantors has been stored; fields "incarnation", "guarantors".
	EventListWritten recorder.Number = 3401
	// EventExtended is recorded when pledges let this daemon act although its lease can't be relied on any more; field "incarnation".
	EventExtended recorder.Number = 3402
	// EventExtensionEnded is recorded when this daemon no longer acts by pledges; field "incarnation".
	EventExtensionEnded recorder.Number = 3403
	// EventBlocked is recorded when this daemon stops granting pledges to an incarnation; fields "daemon", "incarnation", "by".
	EventBlocked recorder.Number = 3404
	// EventEvicted is recorded when an incarnation can no longer act; fields "daemon", "incarnation".
	EventEvicted recorder.Number = 3405
	// EventDeclaredDead is recorded when an operator has declared an incarnation dead; fields "daemon", "incarnation".
	EventDeclaredDead recorder.Number = 3406
)
