// Package picker decides which runner takes the next request. Its functions are
// pure: the current time is an argument.
package picker

import "time"

// An Observation is the outcome of one attempt to use a runner.
type Observation int

// Outcomes of an attempt to use a runner.
const (
	// Answered is a complete answer that is no failure of the runner.
	Answered Observation = iota
	// Failed is a complete answer that reports a failure of the runner (status 5xx).
	Failed
	// Broken is an exchange without a complete answer.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Cancelled is an exchange that its caller cancelled.
	Cancelled
	// HedgeLost is an exchange of a hedged request that was cancelled because another
	// attempt answered first.
	HedgeLost
)

// Bounds of a runner's health.
const (
	// minEjection is the length of the first ejection.
	minEjection = 500 * time.Millisecond
	// maxEjection is the length of the longest ejection.
	maxEjection = 15 * time.Second
	// slowStart is the time over which a returned runner regains its slots.
	slowStart = 5 * time.Second
	// failureWeight is the weight of the newest outcome in the moving average of the
	// failure share.
	failureWeight = 0.1
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.1
	// ejectionShare is the failure share above which a runner is ejected.
	ejectionShare = 0.5
	// maxConsecutiveFailures is the number of consecutive failures after which a
	// runner is ejected regardless of the state of the other runners.
	maxConsecutiveFailures = 8
	// slowFactor is the multiple of the median latency above which a runner counts as
	// slow.
	slowFactor = 3
	// minLatencySamples is the number of latencies from which their average is used.
	minLatencySamples = 10
)

// A Health is what this daemon has observed of one runner. It is immutable.
type Health struct {
	// failureShare is the moving average of the share of failures.
	failureShare float64
	// consecutiveFailures is the number of failures since the last good answer.
	consecutiveFailures int
	// ejections counts ejections since the runner was last healthy for maxEjection.
	ejections int
	// ejectedUntil is the end of the ejection; zero if not ejected.
	ejectedUntil time.Time
	// probing is true from the start of an ejection to the first good answer.
	probing bool
	// returnedAt is the time of the last recovery; zero if there was none.
	returnedAt time.Time
	// latency is the moving average of the latency of answers.
	latency time.Duration
	// samples is the number of latencies in the average. It starts again from zero at
	// the first good answer after an ejection.
	samples int
	// leavingUntil is the time until which the runner gets no requests because it has
	// signalled that it is leaving.
	leavingUntil time.Time
}

// With returns the health after one more observation. The latency is used for
// Answered and HedgeLost only.
func (h Health) With(outcome Observation, latency time.Duration, now time.Time) Health {
	switch outcome {
	case Answered:
		return h.withAnswer(latency, now)
	case Failed, Broken:
		return h.withFailure(now)
	case Unreachable:
		return h.withEjection(now)
	case HedgeLost:
		return h.withHedgeLoss(latency)
	default:
		return h
	}
}

// WithLeaving returns the health after the runner has signalled that it is leaving.
func (h Health) WithLeaving(until time.Time) Health {
	h.leavingUntil = until
	return h
}

// WithSlowStart returns the health of a runner that regains its slots gradually from
// now on.
func (h Health) WithSlowStart(now time.Time) Health {
	h.returnedAt = now
	return h
}

// withAnswer returns the health after a good answer.
func (h Health) withAnswer(latency time.Duration, now time.Time) Health {
	h.failureShare *= 1 - failureWeight
	h.consecutiveFailures = 0
	if h.probing {
		h.probing = false
		h.returnedAt = now
		h.failureShare = 0
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

// withHedgeLoss returns the health after an exchange that was cancelled because
// another attempt answered first. The exchange counts as if it had needed the average
// latency beyond the time waited; otherwise the slowest runners would appear faster
// the more often they lose.
func (h Health) withHedgeLoss(waited time.Duration) Health {
	if h.samples == 0 {
		h.latency = waited
	}
	h.latency += time.Duration(latencyWeight * float64(waited))
	h.samples++
	return h
}

// withFailure returns the health after a failure.
func (h Health) withFailure(now time.Time) Health {
	h.failureShare += failureWeight * (1 - h.failureShare)
	h.consecutiveFailures++
	if h.probing || h.failureShare > ejectionShare || h.FailsConsecutively() {
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

// WithEjectionOf returns a copy that keeps the failures and latency of h but has the
// ejection state of other, usually the health before the last observation.
func (h Health) WithEjectionOf(other Health) Health {
	h.ejections = other.ejections
	h.ejectedUntil = other.ejectedUntil
	h.probing = other.probing
	return h
}

// FailsConsecutively reports whether maxConsecutiveFailures exchanges or more have failed
// since the last good answer.
func (h Health) FailsConsecutively() bool { return h.consecutiveFailures >= maxConsecutiveFailures }

// IsEjected reports whether the runner is ejected, so that it gets no requests.
func (h Health) IsEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// EjectedUntil returns the end of the last ejection.
func (h Health) EjectedUntil() time.Time { return h.ejectedUntil }

// IsProbing reports whether the runner has given no good answer since its last ejection
// began. After the ejection it gets one request at a time until it gives one.
func (h Health) IsProbing() bool { return h.probing }

// IsLeaving reports whether the runner gets no requests because it has signalled that it
// is leaving.
func (h Health) IsLeaving(now time.Time) bool { return now.Before(h.leavingUntil) }

// Latency returns the moving average of the latency of answers, or zero if there were
// fewer than minLatencySamples.
func (h Health) Latency() time.Duration {
	if h.samples < minLatencySamples {
		return 0
	}
	return h.latency
}

// Limit returns how many of a runner's slots may be used now. The median is that of the
// average latencies of the upstream's runners; zero if unknown.
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
