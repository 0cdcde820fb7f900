// Package hedger tells when a request has waited so long for its answer that a
// second attempt at another runner is likely to answer first.
package hedger

import (
	"sync"
	"time"
)

const (
	// quantile is the share of answers that come before the delay.
	quantile = 0.95
	// step is the part by which one answer moves the delay at most.
	step = 0.02
	// minSamples is the number of answers before the delay is known.
	minSamples = 100
)

// A Delay follows the 95th percentile of answer times. It is immutable.
type Delay struct {
	value   float64 // nanoseconds
	samples int
}

// With returns the delay after one more answer. Each answer moves it so that
// later ones pull as often as earlier ones push when it is at the quantile.
func (d Delay) With(took time.Duration) Delay {
	if d.samples == 0 {
		d.value = float64(took)
	}
	share := quantile
	if float64(took) <= d.value {
		share = quantile - 1
	}
	d.value += d.value * step * share
	d.samples++
	return d
}

// Value returns the delay, and false until enough answers were seen.
func (d Delay) Value() (time.Duration, bool) {
	return time.Duration(d.value), d.samples >= minSamples
}

// Delays keeps the delay of each upstream. It is safe for concurrent use.
type Delays struct {
	mu         sync.Mutex
	byUpstream map[string]Delay
}

// NewDelays returns delays that are not known yet.
func NewDelays() *Delays { return &Delays{byUpstream: make(map[string]Delay)} }

// Note takes over the time of an answer.
func (d *Delays) Note(upstream string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byUpstream[upstream] = d.byUpstream[upstream].With(took)
}

// Of returns the delay of an upstream, and false while it is not known.
func (d *Delays) Of(upstream string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byUpstream[upstream].Value()
}
