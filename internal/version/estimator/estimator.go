// Package estimator estimates the resource use of tasks from measurements,
// which arrive late.
package estimator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// decayPerHour is the percentage of a peak by which it shrinks in each hour
	// without a measurement that reaches it.
	decayPerHour = 20
	// maxPeakAge is the age at which a peak has decayed to zero.
	maxPeakAge = 5 * time.Hour
)

// A peak is the largest recent use of each resource, decayed to the time of the
// last measurement.
type peak struct {
	size placer.Resources
	at   time.Time
}

// An Estimator holds the peak use of each task, and for each intent the peak use
// of any of its tasks. It is not safe for concurrent use.
type Estimator struct {
	tasks   map[string]peak
	intents map[string]peak
}

// New returns an estimator without measurements.
func New() *Estimator {
	return &Estimator{tasks: make(map[string]peak), intents: make(map[string]peak)}
}

// Observe adds a measurement of the resources that one task used at the given
// time.
func (e *Estimator) Observe(task, intent string, use placer.Resources, at time.Time) {
	observe(e.tasks, task, use, at)
	observe(e.intents, intent, use, at)
}

// observe updates the peak of a key with a measurement. Measurements older than
// the last one are ignored.
func observe(peaks map[string]peak, key string, use placer.Resources, at time.Time) {
	previous := peaks[key]
	if previous.at.After(at) {
		return
	}
	peaks[key] = peak{size: use.Max(previous.decayed(at)), at: at}
}

// decayed returns the peak after its decay until the given time. Accelerators
// don't decay before maxPeakAge.
func (p peak) decayed(now time.Time) placer.Resources {
	age := now.Sub(p.at)
	if p.at.IsZero() || age >= maxPeakAge {
		return placer.Resources{}
	}
	percentLeft := 100 - int64(age*decayPerHour/time.Hour)
	return placer.Resources{
		MilliCores:   p.size.MilliCores * percentLeft / 100,
		MemoryBytes:  p.size.MemoryBytes * percentLeft / 100,
		Accelerators: p.size.Accelerators,
	}
}

// Size returns, for each resource, the larger of the declared size and the
// measured peak of a task. A task without measurements is assumed to be as large
// as the other tasks of its intent.
func (e *Estimator) Size(task, intent string, declared placer.Resources, now time.Time) placer.Resources {
	if own, ok := e.tasks[task]; ok {
		return declared.Max(own.decayed(now))
	}
	return declared.Max(e.intents[intent].decayed(now))
}

// A Peak is the largest recent use of any task of an intent.
type Peak struct {
	Intent string
	Size   placer.Resources
	At     time.Time
}

// Peaks returns the peaks of all intents, ordered by intent.
func (e *Estimator) Peaks() []Peak {
	var peaks []Peak
	for intent, known := range e.intents {
		peaks = append(peaks, Peak{Intent: intent, Size: known.size, At: known.at})
	}
	slices.SortFunc(peaks, func(a, b Peak) int { return cmp.Compare(a.Intent, b.Intent) })
	return peaks
}

// Restore loads peaks of intents that another estimator has returned.
func (e *Estimator) Restore(peaks []Peak) {
	for _, known := range peaks {
		e.intents[known.Intent] = peak{size: known.Size, at: known.At}
	}
}

// Forget drops the peak of a task.
func (e *Estimator) Forget(task string) { delete(e.tasks, task) }

// ForgetIntent drops the peak of an intent.
func (e *Estimator) ForgetIntent(intent string) { delete(e.intents, intent) }
