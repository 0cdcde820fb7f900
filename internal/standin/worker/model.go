package worker

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// fullPercent is the speed of a run that has a worker to itself.
const fullPercent = 100

// A Pair tells how much a class is slowed by a neighbour of another class
// that occupies all processors of the worker; less in proportion.
type Pair struct {
	Class     string `json:"class"`
	Neighbour string `json:"neighbour"`
	// SlowdownPercent is added to the response or run time.
	SlowdownPercent int `json:"slowdownPercent"`
}

// A Model tells how runs behave at a worker. The zero model has no interference.
type Model struct {
	Pairs []Pair `json:"pairs"`
	// LatencyMicros is the p99 response time by class of service, alone.
	LatencyMicros map[string]int64 `json:"latencyMicros"`
	// UsagePercent is the true use of a class in percent of what it declares.
	UsagePercent map[string]int `json:"usagePercent"`
	// LoadPercent scales all slowdowns; zero means 100.
	LoadPercent int `json:"loadPercent"`
}

// slowdown returns the share that the neighbours add to a run's time.
func (m Model) slowdown(of *run, runs []*run, capacity commander.Resources) float64 {
	load := float64(m.LoadPercent) / fullPercent
	if m.LoadPercent == 0 {
		load = 1
	}
	total := 0.0
	for _, neighbour := range runs {
		if neighbour == of {
			continue
		}
		percent := m.pair(of.start.Class, neighbour.start.Class)
		total += float64(percent) / fullPercent * m.share(neighbour, capacity)
	}
	return total * load
}

// share returns the part of the worker's processors that a run uses.
func (m Model) share(of *run, capacity commander.Resources) float64 {
	if capacity.MilliCores == 0 {
		return 0
	}
	return float64(m.used(of).MilliCores) / float64(capacity.MilliCores)
}

// pair returns the slowdown of one class by another, in percent.
func (m Model) pair(class, neighbour string) int {
	for _, pair := range m.Pairs {
		if pair.Class == class && pair.Neighbour == neighbour {
			return pair.SlowdownPercent
		}
	}
	return 0
}

// used returns the true use of a run.
func (m Model) used(of *run) commander.Resources {
	percent, ok := m.UsagePercent[of.start.Class]
	if !ok {
		percent = fullPercent
	}
	declared := of.start.Resources
	return commander.Resources{
		MilliCores:   declared.MilliCores * int64(percent) / fullPercent * int64(fullPercent-of.throttle) / fullPercent,
		MemoryBytes:  declared.MemoryBytes * int64(percent) / fullPercent,
		Accelerators: declared.Accelerators,
	}
}

// speed returns the part of full speed at which a run goes on.
func (m Model) speed(of *run, runs []*run, capacity commander.Resources) float64 {
	return float64(fullPercent-of.throttle) / fullPercent / (1 + m.slowdown(of, runs, capacity))
}

// usage returns the measurement of one run.
func (m Model) usage(of *run, runs []*run, capacity commander.Resources, at time.Time) commander.Usage {
	usage := commander.Usage{
		ID:           of.start.ID,
		Resources:    m.used(of),
		SpeedPercent: int(fullPercent * m.speed(of, runs, capacity)),
		At:           at,
	}
	if alone, ok := m.LatencyMicros[of.start.Class]; ok {
		usage.LatencyMicros = int64(float64(alone) * (1 + m.slowdown(of, runs, capacity)))
	}
	return usage
}
