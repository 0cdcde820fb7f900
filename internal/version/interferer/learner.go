// Package interferer learns from measurements that lag how much classes of
// batch tasks slow services down, and decides in steps what to do about it.
package interferer

import (
	"maps"
	"slices"
	"time"
)

const (
	// minReadings is the number of readings of a pair before its estimate counts.
	minReadings = 5
	// shareDecay is the weight of the newest reading in a class's mean share.
	shareDecay = 0.1
	percent    = 100
)

// A Service is the measurement of one service run.
type Service struct {
	Task  string
	Class string
	// Latency is the p99 response time.
	Latency time.Duration
	// Target is the declared p99 response time; zero if there is none.
	Target time.Duration
}

// A Neighbour is the measurement of one batch run beside services.
type Neighbour struct {
	Task  string
	Class string
	// Share is the part of the worker's processors that it uses, from 0 to 1.
	Share float64
}

// A Reading is what was measured at one worker at one time.
type Reading struct {
	Worker     string
	At         time.Time
	Services   []Service
	Neighbours []Neighbour
}

// A model is the estimate for one class of service: its latency alone, and
// what each class of neighbours adds to it in proportion to its share.
type model struct {
	// unit is the latency, in nanoseconds, that the regression counts as 1.
	unit float64
	fit  regression
	// index is the input of each class, from 1; input 0 is the latency alone.
	index    map[string]int
	readings map[string]int
}

// slope returns the latency added by a class that uses all processors, in
// units.
func (m *model) slope(class string) (slope float64, known bool) {
	i, ok := m.index[class]
	if !ok || i >= len(m.fit.theta) {
		return 0, false
	}
	return max(0, m.fit.theta[i]), m.readings[class] >= minReadings
}

// alone returns the latency without neighbours, in units.
func (m *model) alone() float64 {
	if len(m.fit.theta) == 0 {
		return 0
	}
	return m.fit.theta[0]
}

// A Learner estimates slowdowns. It is not safe for concurrent use.
type Learner struct {
	models map[string]*model
	// shares are the mean shares of single tasks by class.
	shares map[string]float64
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{models: make(map[string]*model), shares: make(map[string]float64)}
}

// Observe learns from one reading.
func (l *Learner) Observe(reading *Reading) {
	shares := make(map[string]float64)
	for _, n := range reading.Neighbours {
		shares[n.Class] += n.Share
		known, ok := l.shares[n.Class]
		if !ok {
			known = n.Share
		}
		l.shares[n.Class] = known + shareDecay*(n.Share-known)
	}
	for _, service := range reading.Services {
		if service.Latency > 0 {
			l.learn(service, shares)
		}
	}
}

// learn corrects a model by one latency beside the summed shares of classes.
func (l *Learner) learn(service Service, shares map[string]float64) {
	m, ok := l.models[service.Class]
	if !ok {
		m = &model{unit: float64(service.Latency), index: make(map[string]int), readings: make(map[string]int)}
		l.models[service.Class] = m
	}
	for _, class := range slices.Sorted(maps.Keys(shares)) {
		m.readings[class]++
		if _, ok := m.index[class]; !ok {
			m.index[class] = len(m.index) + 1
		}
	}
	inputs := make([]float64, len(m.index)+1)
	inputs[0] = 1
	for class, share := range shares {
		inputs[m.index[class]] = share
	}
	m.fit.observe(inputs, float64(service.Latency)/m.unit)
}

// Slowdown returns by how many percent one more task of a batch class slows a
// service down. Pairs that were hardly seen together count as harmless.
func (l *Learner) Slowdown(service, batch string) int {
	m, ok := l.models[service]
	if !ok || m.alone() <= 0 {
		return 0
	}
	slope, known := m.slope(batch)
	if !known {
		return 0
	}
	return int(percent * slope * l.shares[batch] / m.alone())
}

// Alone returns the estimate of a service's latency without neighbours.
func (l *Learner) Alone(service string) time.Duration {
	if m, ok := l.models[service]; ok {
		return time.Duration(m.alone() * m.unit)
	}
	return 0
}

// added returns the latency that a neighbour adds to a service, and whether
// the pair was seen often enough to tell.
func (l *Learner) added(service string, n *Neighbour) (latency time.Duration, known bool) {
	m, ok := l.models[service]
	if !ok {
		return 0, false
	}
	slope, known := m.slope(n.Class)
	return time.Duration(slope * n.Share * m.unit), known
}
