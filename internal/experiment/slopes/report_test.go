package slopes

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	t.Run("points on a line", func(t *testing.T) {
		assertFit(t, fitLine([]float64{0, 1, 4}, []float64{2, 5, 14}), 2, 3)
	})
	t.Run("one size", func(t *testing.T) {
		assertFit(t, fitLine([]float64{2, 2}, []float64{3, 5}), 4, 0)
	})
}

func assertFit(t *testing.T, got fit, base, slope float64) {
	t.Helper()
	const tolerance = 1e-9
	if math.Abs(got.base-base) > tolerance || math.Abs(got.slope-slope) > tolerance {
		t.Errorf("fit = %+v, want base %g and slope %g", got, base, slope)
	}
}
