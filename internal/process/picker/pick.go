package picker

import (
	"slices"
	"time"
)

// A Candidate is the state of one runner that Pick considers.
type Candidate struct {
	// IsLocal is true for runners in the data centre of this daemon.
	IsLocal bool
	// IsExcluded is true for runners that must get no requests, regardless of their
	// health.
	IsExcluded bool
	// Slots is the runner's declared number of slots.
	Slots int
	// InFlight is the number of slots in use.
	InFlight int
	Health   Health
}

// Free returns the number of slots that may be taken now.
func (c Candidate) Free(median time.Duration, now time.Time) int {
	if c.IsExcluded {
		return 0
	}
	return max(0, c.Health.Limit(c.Slots, median, now)-c.InFlight)
}

// Pick returns the index of the runner that takes the next request. It prefers runners in
// this daemon's data centre, and among these the one with the smallest share of its slots
// in use. The offset rotates the choice among equals. Runners that are probing after an
// ejection come first if probe is true, and last otherwise. Pick returns false if no slot
// is free.
func Pick(candidates []Candidate, offset int, probe bool, median time.Duration, now time.Time) (index int, ok bool) {
	for i := range candidates {
		at := (i + offset) % len(candidates)
		if candidates[at].Free(median, now) == 0 {
			continue
		}
		if !ok || isBetter(candidates[at], candidates[index], probe) {
			index, ok = at, true
		}
	}
	return index, ok
}

// isBetter reports whether a is preferred over b.
func isBetter(a, b Candidate, probe bool) bool {
	if a.Health.probing != b.Health.probing {
		return a.Health.probing == probe
	}
	if a.IsLocal != b.IsLocal {
		return a.IsLocal
	}
	return a.InFlight*b.Slots < b.InFlight*a.Slots
}

// Median returns the median of the candidates' average latencies, or zero if fewer than
// three have a known latency.
func Median(candidates []Candidate) time.Duration {
	latencies := make([]time.Duration, 0, len(candidates))
	for i := range candidates {
		if latency := candidates[i].Health.Latency(); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) < 3 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// Fastest returns the lowest average latency of the candidates, or zero if none is known.
func Fastest(candidates []Candidate) time.Duration {
	fastest := time.Duration(0)
	for i := range candidates {
		latency := candidates[i].Health.Latency()
		if latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	return fastest
}
