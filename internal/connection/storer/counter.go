package storer

import "sync/atomic"

// Counts are the calls that a client has made; a waiting watch counts as one
// call for as long as it waits.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Watches is the number of watches started, WatchesWaiting of those open.
	Watches        int64 `json:"watches"`
	WatchesWaiting int64 `json:"watchesWaiting"`
	// RefusedByBudget and RefusedByCircuit are calls that were not made.
	RefusedByBudget  int64 `json:"refusedByBudget"`
	RefusedByCircuit int64 `json:"refusedByCircuit"`
	// Failed are calls without an answer; Unknown are the writes among them
	// that may have taken effect.
	Failed  int64 `json:"failed"`
	Unknown int64 `json:"unknown"`
}

// counters are Counts that change concurrently.
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
