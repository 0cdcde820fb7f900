package gateway

import (
	"fmt"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/partitioner"
)

func TestHomes(t *testing.T) {
	t.Parallel()
	split := partitioner.Split{Parts: 4}
	h := newHomes(split)
	t.Run("in the order of the split", func(t *testing.T) {
		if got, want := h.of("a"), split.CandidateParts("a"); got[0] != want[0] || got[1] != want[1] {
			t.Errorf("homes %v, want %v", got, want)
		}
	})
	second := split.CandidateParts("a")[1]
	h.note("a", second)
	t.Run("the noted one first", func(t *testing.T) {
		if got := h.of("a"); got[0] != second {
			t.Errorf("homes %v", got)
		}
	})
	t.Run("remembered for a generation more", func(t *testing.T) {
		for i := range homesKept {
			h.note(fmt.Sprint(i), 0)
		}
		if got := h.of("a"); got[0] != second {
			t.Errorf("homes %v", got)
		}
	})
	t.Run("bounded", func(t *testing.T) {
		for i := range 3 * homesKept {
			h.note(fmt.Sprint(i), 0)
		}
		if n := len(h.newer) + len(h.older); n > 2*homesKept {
			t.Errorf("%d homes are remembered", n)
		}
	})
}
