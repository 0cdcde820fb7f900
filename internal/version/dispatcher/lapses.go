package dispatcher

import "time"

// Lapses returns, by runner, the times by which all leases that this owner and those
// before it have granted will have lapsed once this owner grants no more. Runners without
// such leases are left out. The result is nil if there may be others with leases.
func (t *Table) Lapses(now time.Time) map[string]time.Time {
	if t.expectsOthers && !t.othersHaveLapsed(now) {
		return nil
	}
	lapses := make(map[string]time.Time)
	for id, r := range t.runners {
		end := t.lapsedBy(r)
		for _, x := range r.runs {
			if x.isCarriedOver {
				end = later(end, t.carriedOverUntil(x))
			}
		}
		if end.After(now) {
			lapses[id] = end
		}
	}
	return lapses
}

// ExpectLapses records the lapses that the former owner, which has ended, has reported.
//
// Load: runners that leave while the owner is suspended or cut off. They never answer its
// successor, which would otherwise count on the longest lease that can be granted, from
// when it learnt that its predecessor has ended.
func (t *Table) ExpectLapses(lapses map[string]time.Time) {
	if lapses == nil {
		return
	}
	t.formerLapses = lapses
	t.placementDue = true
}

// formerLapse returns the time by which all leases of former owners on a runner have
// lapsed.
func (t *Table) formerLapse(id string) time.Time {
	if t.formerLapses == nil {
		return t.longestLeaseFrom(t.formerOwnerEnd)
	}
	lapse := t.formerLapses[id]
	if !t.earlierOwnersEnd.IsZero() {
		lapse = later(lapse, t.longestLeaseFrom(t.earlierOwnersEnd))
	}
	return lapse
}

// longestLeaseFrom returns the time by which a lease that is granted at a time has lapsed.
func (t *Table) longestLeaseFrom(granted time.Time) time.Time {
	return granted.Add(scaleDrift(t.limits.MaxLease)).Add(lapseMargin)
}

// othersHaveLapsed reports whether the leases of former owners on runners that are not in
// the table have lapsed.
func (t *Table) othersHaveLapsed(now time.Time) bool {
	var end time.Time
	if t.formerLapses == nil {
		end = t.longestLeaseFrom(t.formerOwnerEnd)
	}
	for id := range t.formerLapses {
		if _, ok := t.runners[id]; !ok {
			end = later(end, t.formerLapse(id))
		}
	}
	return t.isPast(end, now)
}
