// Package picker decides which runner takes the next request. Its functions
// are pure; the present time is an argument.
package picker

import "time"

// An Observation is the outcome of one use of a runner.
type Observation int

// Outcomes of the use of a runner.
const (
	// Answered is a whole answer that doesn't blame the runner.
	Answered Observation = iota
	// Failed is a whole answer that blames the runner (status 5xx).
	Failed
	// Broken is an exchange without a whole answer.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Cancelled is an exchange that its caller ended.
	Cancelled
	// HedgeLost is an exchange that ended because another attempt answered.
	HedgeLost
)

// Bounds of a runner's health.
const (
	// minEjection is the length of the first ejection.
	minEjection = 500 * time.Millisecond
	// maxEjection is the length of the longest ejection.
	maxEjection = 15 * time.Second
	// slowStart is the time in which a returned runner gets its slots back.
	slowStart = 5 * time.Second
	// failureWeight is the weight of the newest outcome in the failure share.
	failureWeight = 0.1
	// latencyWeight is the weight of the newest latency in its average.
	latencyWeight = 0.1
	// ejectionShare is the failure share above which a runner is ejected.
	ejectionShare = 0.5
	// maxConsecutiveFailures is the number of failures in a row after which a
	// runner is ejected whatever others do.
	maxConsecutiveFailures = 8
	// slowFactor is the multiple of the median latency that counts as slow.
	slowFactor = 3
	// minLatencySamples is the number of answers before latency counts.
	minLatencySamples = 10
)

// A Health is what this daemon has observed of one runner. It is immutable.
type Health struct {
	// failures is the weighted share of recent failures.
	failures float64
	// consecutive is the number of failures since the last answer.
	consecutive int
	// ejections counts ejections since the last lasting recovery.
	ejections int
	// ejectedUntil is the end of the ejection; zero if not ejected.
	ejectedUntil time.Time
	// probing is true from the end of an ejection to the first answer.
	probing bool
	// returnedAt is the time of the last recovery; zero if there was none.
	returnedAt time.Time
	// latency is the weighted average time of an answer.
	latency time.Duration
	samples int
	// leavingUntil is the time until which the runner's own signal holds.
	leavingUntil time.Time
}

// With returns the health after one more observation. The latency counts for
// Answered and Overtaken only.
func (h Health) With(seen Observation, latency time.Duration, now time.Time) Health {
	switch seen {
	case Answered:
		return h.withAnswer(latency, now)
	case Failed, Broken:
		return h.withFailure(now)
	case Unreachable:
		return h.withEjection(now)
	case HedgeLost:
		return h.withOvertaking(latency)
	default:
		return h
	}
}

// WithLeaving returns the health after the runner said that it is leaving.
func (h Health) WithLeaving(until time.Time) Health {
	h.leavingUntil = until
	return h
}

// WithSlowStart returns the health of a runner that gets its slots back slowly.
func (h Health) WithSlowStart(now time.Time) Health {
	h.returnedAt = now
	return h
}

// withAnswer returns the health after a good answer.
func (h Health) withAnswer(latency time.Duration, now time.Time) Health {
	h.failures *= 1 - failureWeight
	h.consecutive = 0
	if h.probing {
		h.probing = false
		h.returnedAt = now
		h.failures = 0
		h.samples = 0
	}
	if h.ejections > 0 && now.Sub(h.returnedAt) > maxEjection {
		h.ejections = 0
	}
	if h.samples == 0 {
		h.latency = latency
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	h.samples++
	return h
}

// withOvertaking returns the health after an exchange that was given up after a
// time. It is taken to have needed the average time more; otherwise the slowest
// runners would look faster the more of their exchanges are overtaken.
func (h Health) withOvertaking(waited time.Duration) Health {
	if h.samples == 0 {
		h.latency = waited
	}
	h.latency += time.Duration(latencyWeight * float64(waited))
	h.samples++
	return h
}

// withFailure returns the health after a failure.
func (h Health) withFailure(now time.Time) Health {
	h.failures += failureWeight * (1 - h.failures)
	h.consecutive++
	if h.probing || h.failures > ejectionShare || h.FailsConsecutively() {
		return h.withEjection(now)
	}
	return h
}

// withEjection returns the health at the start of an ejection.
func (h Health) withEjection(now time.Time) Health {
	if now.Before(h.ejectedUntil) {
		return h
	}
	length := minEjection << min(h.ejections, 5)
	h.ejections++
	h.ejectedUntil = now.Add(min(length, maxEjection))
	h.probing = true
	return h
}

// WithEjectionOf returns the health with its failures, but as little ejected
// as before.
func (h Health) WithEjectionOf(before Health) Health {
	h.ejections = before.ejections
	h.ejectedUntil = before.ejectedUntil
	h.probing = before.probing
	return h
}

// FailsConsecutively reports whether many exchanges in a row have failed.
func (h Health) FailsConsecutively() bool { return h.consecutive >= maxConsecutiveFailures }

// IsEjected reports whether the runner gets nothing at the moment.
func (h Health) IsEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// EjectedUntil returns the end of the last ejection.
func (h Health) EjectedUntil() time.Time { return h.ejectedUntil }

// IsProbing reports whether the runner has to prove itself by one request.
func (h Health) IsProbing() bool { return h.probing }

// IsLeaving reports whether the runner's own signal of leaving holds.
func (h Health) IsLeaving(now time.Time) bool { return now.Before(h.leavingUntil) }

// Latency returns the average time of an answer, or zero if too few were seen.
func (h Health) Latency() time.Duration {
	if h.samples < minLatencySamples {
		return 0
	}
	return h.latency
}

// Limit returns how many of a runner's slots may be used now. The median is
// the typical latency of the upstream's runners; zero if unknown.
func (h Health) Limit(slots int, median time.Duration, now time.Time) int {
	if h.IsEjected(now) || h.IsLeaving(now) {
		return 0
	}
	if h.probing {
		return min(1, slots)
	}
	limit := slots
	if since := now.Sub(h.returnedAt); !h.returnedAt.IsZero() && since < slowStart {
		limit = 1 + int(float64(slots-1)*since.Seconds()/slowStart.Seconds())
	}
	if slow := h.Latency(); median > 0 && slow > slowFactor*median {
		limit = min(limit, max(1, int(float64(slots*slowFactor)*median.Seconds()/slow.Seconds())))
	}
	return limit
}
