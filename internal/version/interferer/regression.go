package interferer

import "math"

const (
	// forgetting is the weight that a reading keeps with each later one.
	forgetting = 0.99
	// firstVariance is the uncertainty of an estimate without readings.
	firstVariance = 100.0
	// shiftError is the relative error above which the conditions are taken to
	// have changed, and shiftVariance the uncertainty that is added then.
	shiftError    = 0.3
	shiftVariance = 1.0
)

// A regression estimates a linear function by recursive least squares. Its
// first input is the constant 1.
type regression struct {
	theta    []float64
	variance [][]float64
}

// grow adds inputs until there are n.
func (r *regression) grow(n int) {
	for len(r.theta) < n {
		r.theta = append(r.theta, 0)
		for i := range r.variance {
			r.variance[i] = append(r.variance[i], 0)
		}
		row := make([]float64, len(r.theta))
		row[len(row)-1] = firstVariance
		r.variance = append(r.variance, row)
	}
}

// observe corrects the estimate by one observation.
func (r *regression) observe(inputs []float64, output float64) {
	r.grow(len(inputs))
	residual := output - dot(r.theta, inputs)
	if math.Abs(residual) > shiftError*math.Abs(output) {
		for i := range r.variance {
			r.variance[i][i] = min(r.variance[i][i]+shiftVariance, firstVariance)
		}
	}
	spread := make([]float64, len(inputs))
	for i := range spread {
		spread[i] = dot(r.variance[i], inputs)
	}
	scale := forgetting + dot(inputs, spread)
	for i := range r.theta {
		r.theta[i] += spread[i] / scale * residual
	}
	r.shrink(spread, scale)
}

// shrink updates the uncertainty. Where nothing new is seen it stays bounded.
func (r *regression) shrink(spread []float64, scale float64) {
	divisor := forgetting
	for i := range r.variance {
		if r.variance[i][i] >= firstVariance {
			divisor = 1
		}
	}
	for i := range r.variance {
		for j := range r.variance[i] {
			r.variance[i][j] = (r.variance[i][j] - spread[i]*spread[j]/scale) / divisor
		}
	}
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
