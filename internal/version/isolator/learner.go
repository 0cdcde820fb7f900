// Package isolator limits the interference of batch tasks with services on the
// same worker. It learns from measurements how much each class of batch tasks
// slows down each class of services, and decides which batch tasks to throttle
// or evict.
package isolator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// learningRate is the fraction of the prediction error that one reading
	// corrects.
	learningRate = 0.3
	// priorPerCore is the slowdown, in percent per core, that is assumed of a pair
	// without readings.
	priorPerCore = 0.5
	// minCoresSquared limits the step of the update, so that readings beside
	// little batch work change the estimates only slightly.
	minCoresSquared = 4.0
	// fullSpeed is the speed, in percent, of a task that runs alone on its worker.
	fullSpeed = 100
	// milliCoresPerCore converts milliCores to cores.
	milliCoresPerCore = 1000.0
	// halfLife is the time in which an estimate without new readings moves half of
	// the way back to priorPerCore, so that placement tries a pair with a high
	// estimate again.
	halfLife = 10 * time.Minute
)

// A Reading is one measurement of one task.
type Reading struct {
	Task            string
	Class           string
	LatencyCritical bool
	MilliCores      int64
	// SpeedPercent is the speed of the task relative to running alone. Services
	// without a positive speed are ignored.
	SpeedPercent int
	// At is the time of the measurement, which is earlier than the reading arrives.
	At time.Time
}

// slowdown returns by how many percent longer the task takes than when running
// alone, or zero without a positive speed.
func (r Reading) slowdown() float64 {
	if r.SpeedPercent <= 0 {
		return 0
	}
	return fullSpeed*fullSpeed/float64(r.SpeedPercent) - fullSpeed
}

// A pair combines a service class and a batch class.
type pair struct {
	service string
	batch   string
}

// An estimate is the slowdown of one pair, in percent per core, at the time of
// its last update.
type estimate struct {
	perCore float64
	at      time.Time
}

// decayed returns the estimate after its decay towards priorPerCore until the
// given time.
func (e estimate) decayed(now time.Time) float64 {
	age := max(now.Sub(e.at), 0)
	weight := math.Exp2(-float64(age) / float64(halfLife))
	return priorPerCore + (e.perCore-priorPerCore)*weight
}

// An Estimate is the exported form of the estimate for one pair of classes.
type Estimate struct {
	Service string
	Batch   string
	// PerCore is the slowdown of the service in percent per core that the batch
	// class uses.
	PerCore float64
	At      time.Time
}

// A Learner estimates how much each batch class slows down each service class.
// It models the slowdown as proportional to the cores that the batch class uses
// on the worker. It is not safe for concurrent use.
type Learner struct {
	estimates map[pair]estimate
}

// NewLearner returns a learner without any readings.
func NewLearner() *Learner {
	return &Learner{estimates: make(map[pair]estimate)}
}

// Estimates returns all estimates, ordered by service class and batch class.
func (l *Learner) Estimates() []Estimate {
	var known []Estimate
	for key, value := range l.estimates {
		known = append(known, Estimate{Service: key.service, Batch: key.batch, PerCore: value.perCore, At: value.at})
	}
	slices.SortFunc(known, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	return known
}

// Restore adds estimates that another learner has returned, replacing those of
// the same pairs.
func (l *Learner) Restore(known []Estimate) {
	for _, entry := range known {
		l.estimates[pair{entry.Service, entry.Batch}] = estimate{perCore: entry.PerCore, at: entry.At}
	}
}

// Observe updates the estimates from the readings of all tasks on one worker.
func (l *Learner) Observe(readings []Reading) {
	load := batchLoad(readings)
	for _, reading := range readings {
		if reading.LatencyCritical && reading.SpeedPercent > 0 {
			l.correct(reading, load)
		}
	}
}

// batchLoad returns the cores that each batch class uses on the worker.
func batchLoad(readings []Reading) map[string]float64 {
	load := make(map[string]float64)
	for _, reading := range readings {
		if !reading.LatencyCritical {
			load[reading.Class] += float64(reading.MilliCores) / milliCoresPerCore
		}
	}
	return load
}

// correct moves the estimates of the pairs of one service towards its reading,
// in proportion to the cores that each batch class uses (normalised least mean
// squares).
func (l *Learner) correct(service Reading, load map[string]float64) {
	expected, squares := 0.0, minCoresSquared
	for class, cores := range load {
		expected += l.Slowdown(service.Class, class, service.At) * cores
		squares += cores * cores
	}
	residual := service.slowdown() - expected
	for class, cores := range load {
		if cores == 0 {
			continue
		}
		perCore := l.Slowdown(service.Class, class, service.At) + learningRate*residual*cores/squares
		l.estimates[pair{service.Class, class}] = estimate{perCore: max(perCore, 0), at: service.At}
	}
}

// Slowdown returns the estimated slowdown of a service class by a batch class,
// in percent per core that the batch class uses.
func (l *Learner) Slowdown(service, batch string, now time.Time) float64 {
	if known, ok := l.estimates[pair{service, batch}]; ok {
		return known.decayed(now)
	}
	return priorPerCore
}
