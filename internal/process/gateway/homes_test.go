package gateway

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

func TestPartCache(t *testing.T) {
	t.Parallel()
	split := partitioner.Split{Parts: 4}
	cache := newPartCache(split)
	t.Run("candidates of an unknown submission are in the order of the split", func(t *testing.T) {
		if got, want := cache.candidates("a"), split.CandidateParts("a"); got[0] != want[0] || got[1] != want[1] {
			t.Errorf("parts %v, want %v", got, want)
		}
	})
	second := split.CandidateParts("a")[1]
	cache.add("a", second)
	t.Run("remembered part comes first", func(t *testing.T) {
		if got := cache.candidates("a"); got[0] != second {
			t.Errorf("parts %v, want the remembered one first", got)
		}
	})
	t.Run("part that isn't a candidate comes first, with both", func(t *testing.T) {
		candidates := split.CandidateParts("b")
		other := 0
		for slices.Contains(candidates, other) {
			other++
		}
		moved := newPartCache(split)
		moved.add("b", other)
		if got := moved.candidates("b"); !slices.Equal(got, append([]int{other}, candidates...)) {
			t.Errorf("parts %v, want %d, then %v", got, other, candidates)
		}
	})
	t.Run("part is still remembered from the older map", func(t *testing.T) {
		for i := range partCacheSize {
			cache.add(fmt.Sprint(i), 0)
		}
		if got := cache.candidates("a"); got[0] != second {
			t.Errorf("parts %v, want the remembered one first", got)
		}
	})
	t.Run("size is bounded", func(t *testing.T) {
		for i := range 3 * partCacheSize {
			cache.add(fmt.Sprint(i), 0)
		}
		if n := len(cache.newer) + len(cache.older); n > 2*partCacheSize {
			t.Errorf("%d parts are remembered", n)
		}
	})
}
