package retrier

import (
	"testing"

	"pgregory.net/rapid"
)

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		var budget Budget
		requests, retries := 0, 0
		for _, isRetry := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "steps") {
			if !isRetry {
				requests++
				budget = budget.WithRequest(percent)
				continue
			}
			next, ok := budget.WithRetry()
			budget = next
			if ok {
				retries++
			}
			if retries*100 > requests*percent {
				t.Fatalf("%d retries of %d requests at %d %%", retries, requests, percent)
			}
		}
	})
}
