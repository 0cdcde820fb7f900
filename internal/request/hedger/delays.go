// Package hedger estimates the delay after which a request is hedged: when it has
// waited so long that a second attempt at another runner is likely to finish first.
package hedger

import (
	"sync"
	"time"
)

const (
	// quantile is the share of responses that arrive before the delay.
	quantile = 0.95
	// step scales the relative change of the delay by one response. The first responses
	// change it more, by firstSteps divided by their number and firstSteps, so that it does
	// not depend on the first one for long.
	step       = 0.02
	firstSteps = 4
	// minSamples is the number of responses after which the estimate is used.
	minSamples = 100
)

// A Delay is a running estimate of the 95th percentile of response times. It is
// immutable.
type Delay struct {
	value   float64 // nanoseconds
	samples int     // number of responses observed
}

// With returns the estimate after one more response. A response that took longer than
// the estimate raises it by 95 % of step, and any other response lowers it by 5 % of step,
// so that rises and falls balance when 95 % of the responses take less than the estimate.
func (d Delay) With(took time.Duration) Delay {
	if d.samples == 0 {
		d.value = float64(took)
	}
	share := quantile
	if float64(took) <= d.value {
		share = quantile - 1
	}
	d.value += d.value * max(step, firstSteps/float64(firstSteps+d.samples)) * share
	d.samples++
	return d
}

// Value returns the delay, and false until enough responses were observed.
func (d Delay) Value() (time.Duration, bool) {
	return time.Duration(d.value), d.samples >= minSamples
}

// Delays keeps the delay of each upstream. It is safe for concurrent use.
type Delays struct {
	mu         sync.Mutex
	byUpstream map[string]Delay
}

// NewDelays returns estimates without samples.
func NewDelays() *Delays { return &Delays{byUpstream: make(map[string]Delay)} }

// Observe adds the response time of a request to an upstream.
func (d *Delays) Observe(upstream string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byUpstream[upstream] = d.byUpstream[upstream].With(took)
}

// Of returns the delay of an upstream, and false until it is known.
func (d *Delays) Of(upstream string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byUpstream[upstream].Value()
}
