package sharder

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// evictionWindow is the time over which evictions for interference are counted
// against the budget.
const evictionWindow = time.Minute

// LimitInterference throttles and evicts tasks that slow services down. The
// throttle of a displacement is the percentage to withhold; zero lifts it.
// Evictions beyond the declared budget per minute are skipped. It returns how
// many throttles and evictions were accepted.
func (s *Sharder) LimitInterference(throttles []placer.Displacement, evictions []string) (accepted int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.isOwner(now) || s.superseded {
		return 0, errs.ErrNotOwner
	}
	for _, displacement := range throttles {
		e, ok := s.table.byWorker[displacement.Worker][displacement.Task]
		w, known := s.workers[displacement.Worker]
		if !ok || !known || e.rank() == 0 {
			continue
		}
		e.serviceThrottle = displacement.Throttle
		if s.setThrottle(w, e) {
			accepted++
		}
	}
	for _, id := range evictions {
		e, ok := s.table.entries[id]
		if ok && e.rank() > 0 && s.chargeEviction(now) {
			s.evict(e, "", "slows a service down", now)
			accepted++
		}
	}
	s.wake()
	return accepted, nil
}

// chargeEviction charges one eviction for interference to the budget. It
// reports whether the budget allows it.
func (s *Sharder) chargeEviction(now time.Time) bool {
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
