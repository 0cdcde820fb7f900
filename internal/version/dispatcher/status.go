package dispatcher

import "time"

// A Status summarises a table for the metrics.
type Status struct {
	// Runners is the number of registered runners, Awaited that of the runners on which a
	// former owner may have started runs that are not in the table, and Reserved that of
	// the runners with room reserved for some tasks.
	Runners  int `json:"runners"`
	Awaited  int `json:"awaited"`
	Reserved int `json:"reserved"`
	// Capacity is the processor capacity of the runners that may get new work, and Free
	// and LongRunning are the parts of it that are free and that long-running tasks take,
	// in milliCores.
	Capacity    int64 `json:"capacityMilliCores"`
	Free        int64 `json:"freeMilliCores"`
	LongRunning int64 `json:"longRunningMilliCores"`
	// Waiting is the number of long-running tasks without a run, and
	// LongestWaitMS the longest time that one of their steps has had such a task.
	Waiting       int   `json:"longRunningWaiting"`
	LongestWaitMS int64 `json:"longestWaitMs"`
}

// Status returns a summary of the table.
func (t *Table) Status(now time.Time) Status {
	s := Status{Awaited: len(t.awaited(now, len(t.runners))), Reserved: len(t.reserved)}
	for _, r := range t.runners {
		if r.isRegistered {
			s.Runners++
		}
	}
	s.addProcessors(t)
	for _, sub := range t.unfinished() {
		s.addWaiting(sub, now)
	}
	return s
}

// addProcessors adds up the processors of the runners that may get new work.
func (s *Status) addProcessors(t *Table) {
	for _, r := range t.runners {
		if !t.isUsable(r) {
			continue
		}
		s.Capacity += r.info.Capacity.MilliCores
		s.Free += r.free().MilliCores
		s.LongRunning += r.usedForLong.MilliCores
	}
}

// addWaiting counts the waiting long-running tasks of a submission.
func (s *Status) addWaiting(sub *submission, now time.Time) {
	for _, occ := range sub.occs {
		for _, st := range occ.steps {
			if !st.spec.LongRunning || st.waiting == 0 || st.waitingSince.IsZero() {
				continue
			}
			s.Waiting += st.waiting
			s.LongestWaitMS = max(s.LongestWaitMS, now.Sub(st.waitingSince).Milliseconds())
		}
	}
}
