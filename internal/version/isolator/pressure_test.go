package isolator

import (
	"math/rand/v2"
	"testing"
)

// Two of six batch images put pressure on a service, and the mix of images on
// its hosts changes all the time. Estimating each image by itself would also
// blame the four that run beside them.
func TestPressuresFindTheImagesToBlame(t *testing.T) {
	images := []string{"a", "b", "c", "d", "e", "f"}
	pressures := map[string]float64{"b": 0.07, "e": 0.06}
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPressureModel()
	for range 400 {
		cores := map[string]float64{}
		lacked := 0.04 * random.NormFloat64()
		for range 3 {
			image := images[random.IntN(len(images))]
			cores[image] += 3.5
			lacked += pressures[image] * 3.5
		}
		p.Learn("s", lacked, cores)
	}
	for _, image := range images {
		if learnt := p.PerCore("s", image); (pressures[image] > 0) != (learnt > 0.03) {
			t.Errorf("image %s: learnt %.3f per core, true pressure %.3f", image, learnt, pressures[image])
		}
	}
}
