package storer

import "sync/atomic"

// Counts are the numbers of calls that a client has made. A watch counts once,
// however long it stays open.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches is the number of watches started, WatchesWaiting the number of
	// those that are open.
	Watches        int64 `json:"watches"`
	WatchesWaiting int64 `json:"watchesWaiting"`
	// RefusedByBudget and RefusedByCircuit count calls that the client refused to
	// make.
	RefusedByBudget  int64 `json:"refusedByBudget"`
	RefusedByCircuit int64 `json:"refusedByCircuit"`
	// Failed counts calls that failed with neither a definite response nor a
	// cancellation by their caller. Unknown counts writes that may have taken
	// effect.
	Failed  int64 `json:"failed"`
	Unknown int64 `json:"unknown"`
}

// counters are Counts that are safe for concurrent use.
type counters struct {
	reads, writes, watches, waiting, budget, circuit, failed, unknown atomic.Int64
}

func (c *counters) snapshot() Counts {
	return Counts{
		Reads:            c.reads.Load(),
		Writes:           c.writes.Load(),
		Watches:          c.watches.Load(),
		WatchesWaiting:   c.waiting.Load(),
		RefusedByBudget:  c.budget.Load(),
		RefusedByCircuit: c.circuit.Load(),
		Failed:           c.failed.Load(),
		Unknown:          c.unknown.Load(),
	}
}
