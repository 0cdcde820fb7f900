package sharder

import (
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
	"github.com/kumquatstack/kumquatstack/internal/version/interferer"
)

// evictionWindow is the time over which evictions for interference are bound.
const evictionWindow = time.Minute

// protect learns from a worker's measurements and throttles or evicts what
// slows its services down.
func (s *Sharder) protect(w *worker, usages []commander.Usage, now time.Time) {
	reading := s.readingOf(w, usages)
	if len(reading.Services) == 0 {
		return
	}
	s.learner.Observe(&reading)
	if s.options.Unprotected {
		return
	}
	advice := s.controller.Decide(&reading, now)
	s.applyThrottles(w, now)
	for _, task := range advice.Evictions {
		if s.flusher.failing || !s.withinBudget(now) {
			continue
		}
		s.remove(s.table.entries[task], "", "slows a service down", now)
	}
}

// applyThrottles gives the batch tasks of a worker the throttles of their
// classes, those included that started since the last step.
func (s *Sharder) applyThrottles(w *worker, now time.Time) {
	if s.options.Unprotected {
		return
	}
	for _, e := range s.table.byWorker[w.name] {
		if e.rank() > 0 && !e.busy && e.removal == nil {
			s.setThrottle(w, e, s.controller.Throttle(w.name, e.task.Class), now)
		}
	}
}

// avoided returns the workers that a task shall not be placed at: those where
// it failed and those where its class slows services down too much.
func (s *Sharder) avoided(e *entry) []string {
	names := e.task.FailedWorkers
	if e.rank() == 0 || s.options.Unprotected {
		return names
	}
	for name := range s.workers {
		if s.controller.Barred(name, e.task.Class) {
			names = append(slices.Clip(names), name)
		}
	}
	return names
}

// readingOf sorts the measurements of a worker's present runs into services
// and their neighbours.
func (s *Sharder) readingOf(w *worker, usages []commander.Usage) interferer.Reading {
	declared := s.options.declarations()
	reading := interferer.Reading{Worker: w.name}
	for _, usage := range usages {
		e, ok := s.table.byWorker[w.name][usage.ID.Task]
		if !ok || e.task.Run != usage.ID.Run || e.removal != nil {
			continue
		}
		reading.At = later(reading.At, usage.At)
		if usage.LatencyMicros > 0 {
			reading.Services = append(reading.Services, interferer.Service{
				Task:    e.task.ID,
				Class:   e.task.Class,
				Latency: time.Duration(usage.LatencyMicros) * time.Microsecond,
				Target:  targetOf(declared, e.task.Class),
			})
			continue
		}
		if e.rank() > 0 && w.host.MilliCores > 0 {
			reading.Neighbours = append(reading.Neighbours, interferer.Neighbour{
				Task:  e.task.ID,
				Class: e.task.Class,
				Share: float64(usage.Resources.MilliCores) / float64(w.host.MilliCores),
			})
		}
	}
	return reading
}

func targetOf(declared *declarer.Declarations, name string) time.Duration {
	for _, class := range declared.Classes {
		if class.Name == name {
			return class.Target
		}
	}
	return 0
}

// withinBudget charges one eviction for interference to the budget.
func (s *Sharder) withinBudget(now time.Time) bool {
	budget := s.options.declarations().Batch.EvictionsPerMinute
	recent := s.evictions[:0]
	for _, at := range s.evictions {
		if now.Sub(at) < evictionWindow {
			recent = append(recent, at)
		}
	}
	s.evictions = recent
	if len(recent) >= budget {
		return false
	}
	s.evictions = append(s.evictions, now)
	return true
}
