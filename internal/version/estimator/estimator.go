// Package estimator learns the true sizes of tasks from measurements that lag.
package estimator

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

const (
	// decayPerHour is the percentage by which a learned peak shrinks in an
	// hour without confirmation.
	decayPerHour = 20
	// ageLimit is the age after which a peak has no weight.
	ageLimit = 5 * time.Hour
)

// A peak is the largest use seen lately.
type peak struct {
	size placer.Resources
	at   time.Time
}

// An Estimator keeps the peaks of tasks and of their intents. It is not safe
// for concurrent use.
type Estimator struct {
	tasks   map[string]peak
	intents map[string]peak
}

// New returns an estimator that has seen nothing.
func New() *Estimator {
	return &Estimator{tasks: make(map[string]peak), intents: make(map[string]peak)}
}

// Observe notes the use of one task, measured at a time.
func (e *Estimator) Observe(task, intent string, use placer.Resources, at time.Time) {
	observe(e.tasks, task, use, at)
	observe(e.intents, intent, use, at)
}

func observe(peaks map[string]peak, key string, use placer.Resources, at time.Time) {
	known := peaks[key]
	if known.at.After(at) {
		return
	}
	peaks[key] = peak{size: use.Max(known.decayed(at)), at: at}
}

// decayed returns what is left of a peak at a later time.
func (p peak) decayed(now time.Time) placer.Resources {
	age := now.Sub(p.at)
	if p.at.IsZero() || age >= ageLimit {
		return placer.Resources{}
	}
	kept := 100 - int64(age*decayPerHour/time.Hour)
	return placer.Resources{
		MilliCores:   p.size.MilliCores * kept / 100,
		MemoryBytes:  p.size.MemoryBytes * kept / 100,
		Accelerators: p.size.Accelerators,
	}
}

// Size returns the larger of declared and learned use of a task. A task that
// was not measured itself counts as large as the others of its intent.
func (e *Estimator) Size(task, intent string, declared placer.Resources, now time.Time) placer.Resources {
	if own, ok := e.tasks[task]; ok {
		return declared.Max(own.decayed(now))
	}
	return declared.Max(e.intents[intent].decayed(now))
}

// A Peak is the largest use seen lately of an intent's tasks.
type Peak struct {
	Intent string
	Size   placer.Resources
	At     time.Time
}

// Peaks returns the peaks of all intents, by name.
func (e *Estimator) Peaks() []Peak {
	var peaks []Peak
	for intent, known := range e.intents {
		peaks = append(peaks, Peak{Intent: intent, Size: known.size, At: known.at})
	}
	slices.SortFunc(peaks, func(a, b Peak) int { return cmp.Compare(a.Intent, b.Intent) })
	return peaks
}

// Restore takes over peaks that another estimator saw.
func (e *Estimator) Restore(peaks []Peak) {
	for _, known := range peaks {
		e.intents[known.Intent] = peak{size: known.Size, at: known.At}
	}
}

// Forget drops what is known of a task.
func (e *Estimator) Forget(task string) { delete(e.tasks, task) }

// ForgetIntent drops what is known of an intent.
func (e *Estimator) ForgetIntent(intent string) { delete(e.intents, intent) }
