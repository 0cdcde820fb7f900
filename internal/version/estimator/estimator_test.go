package estimator

import (
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

func cores(n int64) placer.Resources { return placer.Resources{MilliCores: n} }

func assertSize(t *testing.T, got, want placer.Resources) {
	t.Helper()
	if got != want {
		t.Errorf("size %+v, want %+v", got, want)
	}
}

func TestSize(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	e := New()
	e.Observe("i/0", "i", cores(3000), start)

	t.Run("the larger of declared and measured size", func(t *testing.T) {
		assertSize(t, e.Size("i/0", "i", cores(1000), start), cores(3000))
		assertSize(t, e.Size("i/0", "i", cores(4000), start), cores(4000))
	})
	t.Run("a task without measurements takes the peak of its intent", func(t *testing.T) {
		assertSize(t, e.Size("i/1", "i", cores(1000), start), cores(3000))
	})
	t.Run("an older measurement is ignored", func(t *testing.T) {
		e.Observe("i/0", "i", cores(9000), start.Add(-time.Second))
		assertSize(t, e.Size("i/0", "i", cores(1000), start), cores(3000))
	})
	t.Run("a peak decays", func(t *testing.T) {
		assertSize(t, e.Size("i/0", "i", cores(1000), start.Add(time.Hour)), cores(2400))
		assertSize(t, e.Size("i/0", "i", cores(1000), start.Add(maxPeakAge)), cores(1000))
	})
	t.Run("a lower measurement does not replace the peak", func(t *testing.T) {
		e.Observe("i/0", "i", cores(100), start.Add(time.Minute))
		if got := e.Size("i/0", "i", cores(100), start.Add(time.Minute)); got.MilliCores < 2900 {
			t.Errorf("size %+v after a lower measurement", got)
		}
	})
}
