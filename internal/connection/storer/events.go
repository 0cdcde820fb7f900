package storer

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

// Events of the store's client.
const (
	// EventCircuitOpened says that calls to the store are refused until a probe succeeds.
	EventCircuitOpened recorder.Number = 4001
	// EventCircuitClosed says that the store responds again and calls to it are allowed.
	EventCircuitClosed recorder.Number = 4002
	// EventBudgetExceeded says that a call was refused by the budget.
	EventBudgetExceeded recorder.Number = 4003
	// EventOutcomeUnknown says that a write got no definite response and may have taken effect.
	EventOutcomeUnknown recorder.Number = 4004
	// EventWatchBroken says that a watch ended and has to be resumed.
	EventWatchBroken recorder.Number = 4005
)
