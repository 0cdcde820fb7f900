package pledger

import "testing"

// TestMajorities checks that any set of guarantors large enough to extend a lease
// overlaps with any set large enough to evict its holder, and that enough blocks
// leave too few guarantors for an extension.
func TestMajorities(t *testing.T) {
	for n := 1; n <= 64; n++ {
		pledges, blocks := PledgesNeeded(n), BlocksNeeded(n)
		if pledges+blocks <= n {
			t.Errorf("%d guarantors: %d pledges and %d blocks need not overlap", n, pledges, blocks)
		}
		if pledges > n || n-blocks >= pledges {
			t.Errorf("%d guarantors: %d pledges are impossible, or still possible after %d blocks", n, pledges, blocks)
		}
	}
	t.Run("without guarantors no lease is extended", func(t *testing.T) {
		if PledgesNeeded(0) == 0 {
			t.Error("no pledge is required")
		}
	})
}
