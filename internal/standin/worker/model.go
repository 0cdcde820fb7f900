package worker

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// fullPercent is 100 %, the speed of a run that is alone at its worker and isn't throttled.
const fullPercent = 100

// A Pair is the interference between two classes: how much a neighbour of the class Neighbour that
// uses all CPU of the worker slows a run of the class Class. A neighbour that uses less CPU slows
// the run proportionally less.
type Pair struct {
	Class     string `json:"class"`
	Neighbour string `json:"neighbour"`
	// SlowdownPercent is the percentage added to the response time or run time.
	SlowdownPercent int `json:"slowdownPercent"`
}

// A Model is a performance model of the runs at a worker. The zero model has no interference.
type Model struct {
	Pairs []Pair `json:"pairs"`
	// LatencyMicros is the 99th percentile of the response time without neighbours, by class of
	// service.
	LatencyMicros map[string]int64 `json:"latencyMicros"`
	// UsagePercent is the actual usage of CPU and memory in percent of the declared resources, by
	// class; a class without an entry uses 100.
	UsagePercent map[string]int `json:"usagePercent"`
	// LoadPercent scales all slowdowns; zero means 100.
	LoadPercent int `json:"loadPercent"`
}

// slowdown returns the run time that the neighbours add to a run, as a fraction of the run's time
// without neighbours.
func (m Model) slowdown(target *run, runs []*run, capacity commander.Resources) float64 {
	load := float64(m.LoadPercent) / fullPercent
	if m.LoadPercent == 0 {
		load = 1
	}
	total := 0.0
	for _, neighbour := range runs {
		if neighbour == target {
			continue
		}
		percent := m.slowdownPercent(target.start.Class, neighbour.start.Class)
		total += float64(percent) / fullPercent * m.share(neighbour, capacity)
	}
	return total * load
}

// share returns the fraction of the worker's CPU that a run uses.
func (m Model) share(target *run, capacity commander.Resources) float64 {
	if capacity.MilliCores == 0 {
		return 0
	}
	return float64(m.used(target).MilliCores) / float64(capacity.MilliCores)
}

// slowdownPercent returns by how many percent a neighbour of one class slows a run of another.
func (m Model) slowdownPercent(class, neighbour string) int {
	for _, pair := range m.Pairs {
		if pair.Class == class && pair.Neighbour == neighbour {
			return pair.SlowdownPercent
		}
	}
	return 0
}

// used returns the resources that a run actually uses, with the CPU reduced by its throttle.
func (m Model) used(target *run) commander.Resources {
	percent, ok := m.UsagePercent[target.start.Class]
	if !ok {
		percent = fullPercent
	}
	declared := target.start.Resources
	return commander.Resources{
		MilliCores:   declared.MilliCores * int64(percent) / fullPercent * int64(fullPercent-target.throttle) / fullPercent,
		MemoryBytes:  declared.MemoryBytes * int64(percent) / fullPercent,
		Accelerators: declared.Accelerators,
	}
}

// speed returns the speed of a run as a fraction of the speed without neighbours and throttle.
func (m Model) speed(target *run, runs []*run, capacity commander.Resources) float64 {
	return float64(fullPercent-target.throttle) / fullPercent / (1 + m.slowdown(target, runs, capacity))
}

// usage returns the measurements of one run.
func (m Model) usage(target *run, runs []*run, capacity commander.Resources, at time.Time) commander.Usage {
	usage := commander.Usage{
		ID:           target.start.ID,
		Resources:    m.used(target),
		SpeedPercent: int(fullPercent * m.speed(target, runs, capacity)),
		At:           at,
	}
	if alone, ok := m.LatencyMicros[target.start.Class]; ok {
		usage.LatencyMicros = int64(float64(alone) * (1 + m.slowdown(target, runs, capacity)))
	}
	return usage
}
