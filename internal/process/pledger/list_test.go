package pledger

import "testing"

func TestMajorities(t *testing.T) {
	for n := 1; n <= 64; n++ {
		pledges, blocks := PledgesNeeded(n), BlocksNeeded(n)
		if pledges+blocks <= n {
			t.Errorf("%d guarantors: %d pledges and %d blocks need not meet", n, pledges, blocks)
		}
		if pledges > n || n-blocks >= pledges {
			t.Errorf("%d guarantors: %d pledges are out of reach, or still in reach after %d blocks", n, pledges, blocks)
		}
	}
	t.Run("without guarantors nothing is extended", func(t *testing.T) {
		if PledgesNeeded(0) == 0 {
			t.Error("no pledge is needed")
		}
	})
}
