package router

import (
	"net/http"
	"sync/atomic"

	"github.com/kumquatstack/kumquatstack/internal/request/answerer"
)

// counters holds the numbers of requests by outcome. Retried counts the retries and
// hedges, cut the responses that broke off while they were relayed, and replayed the
// stored results that were sent for repeated idempotency keys.
type counters struct {
	answered, refused, notRun, unknown, cut, retried, replayed atomic.Int64
}

// countRefusal counts a refusal: as refused if its status is below 500, and otherwise
// by its outcome.
func (c *counters) countRefusal(outcome answerer.Outcome, status int) {
	switch {
	case status < http.StatusInternalServerError:
		c.refused.Add(1)
	case outcome == answerer.OutcomeNotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// Counters returns the numbers of requests by outcome, and the number in flight as
// "active", for the metrics.
func (rt *Router) Counters() map[string]int64 {
	c := &rt.counters
	return map[string]int64{
		"answered": c.answered.Load(),
		"refused":  c.refused.Load(),
		"notRun":   c.notRun.Load(),
		"unknown":  c.unknown.Load(),
		"cut":      c.cut.Load(),
		"retried":  c.retried.Load(),
		"replayed": c.replayed.Load(),
		"active":   rt.active.Load(),
	}
}
