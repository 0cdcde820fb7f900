package watcher

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventWatchBroken is recorded when the watch of the store breaks; field "cause".
	EventWatchBroken recorder.Number = 3001
	// EventListed is recorded when all watched keys have been read from the store; fields "revision", "keys".
	EventListed recorder.Number = 3002
)
