package watcher

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventWatchBroken is recorded when the store's watch ends; field "cause".
	EventWatchBroken recorder.Number = 3001
	// EventListed is recorded when the watched keys were read as a whole; fields "revision", "keys".
	EventListed recorder.Number = 3002
)
