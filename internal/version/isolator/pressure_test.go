package isolator

import (
	"math/rand/v2"
	"testing"
)

// Replays hosts on which two of six batch images press on a service and mixes
// of images change all the time.
func TestPressuresFindTheImagesToBlame(t *testing.T) {
	images := []string{"a", "b", "c", "d", "e", "f"}
	pressing := map[string]float64{"b": 0.07, "e": 0.06}
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPressureModel()
	for range 400 {
		cores := map[string]float64{}
		lacked := 0.04 * random.NormFloat64()
		for range 3 {
			image := images[random.IntN(len(images))]
			cores[image] += 3.5
			lacked += pressing[image] * 3.5
		}
		p.Learn("s", lacked, cores)
	}
	for _, image := range images {
		if learnt := p.PerCore("s", image); (pressing[image] > 0) != (learnt > 0.03) {
			t.Errorf("image %s: learnt %.3f per core, presses %.3f", image, learnt, pressing[image])
		}
	}
}
