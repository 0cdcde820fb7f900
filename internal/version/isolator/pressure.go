package isolator

import "math"

// Figures of the learning of pressures, in shares of a service's capacity.
const (
	// priorPressure is assumed of a pair that was never measured, per core.
	priorPressure = 0.025
	// minPressure and maxPressure bound what is learnt.
	minPressure = 0.001
	maxPressure = 0.4
	// pressureRate is the share of a relative error that one measurement
	// corrects.
	pressureRate = 0.35
	// pressureNoise is the error that is taken as a whole one.
	pressureNoise = 0.08
	// maxFall and maxRise bound the logarithm of one correction.
	maxFall = 0.4
	maxRise = 0.6
)

// A Pressures estimates how much of a service's capacity batch images take on
// the same host, in proportion to the cores that they use. Most pairs press not
// at all and a few very much, so corrections are multiplicative: an image that
// was seen beside calm tails is blamed little for a high one. It is not safe
// for concurrent use.
type Pressures struct {
	known map[pair]float64
}

// NewPressures returns estimates of nothing yet.
func NewPressures() *Pressures { return &Pressures{known: make(map[pair]float64)} }

// Of returns the share of a service's capacity that a batch image takes per
// core that it uses.
func (p *Pressures) Of(service, batch string) float64 {
	if known, ok := p.known[pair{service, batch}]; ok {
		return known
	}
	return priorPressure
}

// Learn takes in the share that a service lacked beside the cores used by
// batch image.
func (p *Pressures) Learn(service string, lacked float64, cores map[string]float64) {
	expected, most := 0.0, 0.0
	for batch, used := range cores {
		expected += p.Of(service, batch) * used
		most = max(most, used)
	}
	if most <= 0 {
		return
	}
	miss := pressureRate * (max(0, lacked) - expected) / max(expected, pressureNoise)
	miss = min(maxRise, max(-maxFall, miss))
	for batch, used := range cores {
		corrected := p.Of(service, batch) * math.Exp(miss*used/most)
		p.known[pair{service, batch}] = min(maxPressure, max(minPressure, corrected))
	}
}
