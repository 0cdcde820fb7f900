// Package isolator keeps services from being slowed by batch tasks on the same
// worker: it learns from measurements how much each class of batch task slows
// each class of service, and decides which tasks to throttle or evict.
package isolator

import (
	"maps"
	"time"
)

const (
	// learningRate is the share of an error that one measurement corrects.
	learningRate = 0.3
	// priorPerCore is the slowdown, in percent per core, assumed of a pair
	// that was never measured.
	priorPerCore = 0.5
	// minCoresSquared keeps measurements beside little batch work from
	// changing the estimates much.
	minCoresSquared = 4.0
	// fullSpeed is the speed, in percent, of a task running alone.
	fullSpeed = 100
	// milliCoresPerCore converts thousandths of a core.
	milliCoresPerCore = 1000.0
	// sizeWeight is the share of the newest measurement in a mean size.
	sizeWeight = 0.1
)

// A Reading is one measurement of one task.
type Reading struct {
	Task            string
	Class           string
	LatencyCritical bool
	MilliCores      int64
	// SpeedPercent is the speed relative to running alone.
	SpeedPercent int
	// At is when the measurement was made, which is before it is read.
	At time.Time
}

// slowdown returns by how many percent longer the task takes than alone.
func (r Reading) slowdown() float64 {
	if r.SpeedPercent <= 0 {
		return 0
	}
	return fullSpeed*fullSpeed/float64(r.SpeedPercent) - fullSpeed
}

// A pair is a class of services and a class of batch tasks.
type pair struct {
	service string
	batch   string
}

// A Learner estimates the slowdown of each pair as proportional to the
// processors that the batch class uses on the worker. It is not safe for
// concurrent use.
type Learner struct {
	perCore map[pair]float64
	// cores is the mean use of a task of a batch class.
	cores map[string]float64
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{perCore: make(map[pair]float64), cores: make(map[string]float64)}
}

// Observe learns from the measurements of all tasks of one worker.
func (l *Learner) Observe(readings []Reading) {
	load := l.batchLoad(readings)
	for _, reading := range readings {
		if reading.LatencyCritical && reading.SpeedPercent > 0 {
			l.correct(reading, load)
		}
	}
}

// batchLoad sums the cores in use by batch class and learns the tasks' sizes.
func (l *Learner) batchLoad(readings []Reading) map[string]float64 {
	load := make(map[string]float64)
	for _, reading := range readings {
		if reading.LatencyCritical {
			continue
		}
		cores := float64(reading.MilliCores) / milliCoresPerCore
		load[reading.Class] += cores
		if known, ok := l.cores[reading.Class]; ok {
			cores = known + sizeWeight*(cores-known)
		}
		l.cores[reading.Class] = cores
	}
	return load
}

// correct moves the estimates of a service's pairs towards one measurement, in
// proportion to the cores that each class used (normalised least mean squares).
func (l *Learner) correct(service Reading, load map[string]float64) {
	expected, squares := 0.0, minCoresSquared
	for class, cores := range load {
		expected += l.estimate(service.Class, class) * cores
		squares += cores * cores
	}
	miss := service.slowdown() - expected
	for class, cores := range load {
		key := pair{service.Class, class}
		changed := l.estimate(service.Class, class) + learningRate*miss*cores/squares
		l.perCore[key] = max(changed, 0)
	}
}

// estimate returns the slowdown of a pair in percent per core.
func (l *Learner) estimate(service, batch string) float64 {
	if known, ok := l.perCore[pair{service, batch}]; ok {
		return known
	}
	return priorPerCore
}

// Slowdown returns the estimated slowdown, in percent, of a service by one
// task of a batch class.
func (l *Learner) Slowdown(service, batch string) int {
	cores, ok := l.cores[batch]
	if !ok {
		cores = 1
	}
	return int(l.estimate(service, batch) * cores)
}

// Clone returns a copy that does not change with the learner.
func (l *Learner) Clone() *Learner {
	return &Learner{perCore: maps.Clone(l.perCore), cores: maps.Clone(l.cores)}
}
