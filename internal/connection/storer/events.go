package storer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Events of the store's client.
const (
	// EventCircuitOpened says that calls to the store are refused for a while.
	EventCircuitOpened recorder.Number = 4001
	// EventCircuitClosed says that the store answers again.
	EventCircuitClosed recorder.Number = 4002
	// EventBudgetExceeded says that a call was refused by the budget.
	EventBudgetExceeded recorder.Number = 4003
	// EventOutcomeUnknown says that the answer to a write was lost.
	EventOutcomeUnknown recorder.Number = 4004
	// EventWatchBroken says that a watch ended and has to be resumed.
	EventWatchBroken recorder.Number = 4005
)
