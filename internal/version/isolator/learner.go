// Package isolator keeps services from being slowed by batch tasks on the same
// worker: it learns from measurements how much each class of batch task slows
// each class of service, and decides which tasks to throttle or evict.
package isolator

import (
	"cmp"
	"math"
	"slices"
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
	// halfLife is the time in which an estimate without new measurements moves
	// half of its way back to the prior, so that a pair is tried again.
	halfLife = 10 * time.Minute
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

// An estimate is the slowdown of one pair in percent per core.
type estimate struct {
	perCore float64
	at      time.Time
}

// now returns what the estimate has become at a time.
func (e estimate) now(now time.Time) float64 {
	age := max(now.Sub(e.at), 0)
	kept := math.Exp2(-float64(age) / float64(halfLife))
	return priorPerCore + (e.perCore-priorPerCore)*kept
}

// An Estimate is what a Learner knows of one pair of classes.
type Estimate struct {
	Service string
	Batch   string
	// PerCore is the slowdown in percent per core that the batch class uses.
	PerCore float64
	At      time.Time
}

// A Learner estimates the slowdown of each pair as proportional to the
// processors that the batch class uses on the worker. It is not safe for
// concurrent use.
type Learner struct {
	estimates map[pair]estimate
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{estimates: make(map[pair]estimate)}
}

// Estimates returns what was learnt, in a fixed order.
func (l *Learner) Estimates() []Estimate {
	var known []Estimate
	for of, learnt := range l.estimates {
		known = append(known, Estimate{Service: of.service, Batch: of.batch, PerCore: learnt.perCore, At: learnt.at})
	}
	slices.SortFunc(known, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	return known
}

// Restore takes over what another learner knew.
func (l *Learner) Restore(known []Estimate) {
	for _, of := range known {
		l.estimates[pair{of.Service, of.Batch}] = estimate{perCore: of.PerCore, at: of.At}
	}
}

// Observe learns from the measurements of all tasks of one worker.
func (l *Learner) Observe(readings []Reading) {
	load := batchLoad(readings)
	for _, reading := range readings {
		if reading.LatencyCritical && reading.SpeedPercent > 0 {
			l.correct(reading, load)
		}
	}
}

// batchLoad sums the cores in use by batch class.
func batchLoad(readings []Reading) map[string]float64 {
	load := make(map[string]float64)
	for _, reading := range readings {
		if !reading.LatencyCritical {
			load[reading.Class] += float64(reading.MilliCores) / milliCoresPerCore
		}
	}
	return load
}

// correct moves the estimates of a service's pairs towards one measurement, in
// proportion to the cores that each class used (normalised least mean squares).
func (l *Learner) correct(service Reading, load map[string]float64) {
	expected, squares := 0.0, minCoresSquared
	for class, cores := range load {
		expected += l.Slowdown(service.Class, class, service.At) * cores
		squares += cores * cores
	}
	miss := service.slowdown() - expected
	for class, cores := range load {
		if cores == 0 {
			continue
		}
		changed := l.Slowdown(service.Class, class, service.At) + learningRate*miss*cores/squares
		l.estimates[pair{service.Class, class}] = estimate{perCore: max(changed, 0), at: service.At}
	}
}

// Slowdown returns the estimated slowdown of a service class by a batch class,
// in percent per core that the batch class uses.
func (l *Learner) Slowdown(service, batch string, now time.Time) float64 {
	if known, ok := l.estimates[pair{service, batch}]; ok {
		return known.now(now)
	}
	return priorPerCore
}
