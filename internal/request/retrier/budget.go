// Package retrier bounds retries: they may not exceed a share of the requests,
// and they are spread in time.
package retrier

import (
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of retries.
const (
	// maxSaved is the number of retries that quiet times save up.
	maxSaved = 20
	// wholeRetry is the cost of a retry, in hundredths.
	wholeRetry = 100
	// firstPause is the mean pause before the first retry.
	firstPause = 5 * time.Millisecond
	// longestPause is the mean of the longest pause.
	longestPause = 100 * time.Millisecond
)

// A Budget is a number of retries that requests earn. It is immutable.
type Budget struct {
	// hundredths of a retry
	saved int
}

// WithRequest returns the budget after one more request, which earns a
// percentage of a retry.
func (b Budget) WithRequest(percent int) Budget {
	return Budget{saved: min(maxSaved*wholeRetry, b.saved+percent)}
}

// WithRetry returns the budget after a retry, and false if it allows none.
func (b Budget) WithRetry() (Budget, bool) {
	if b.saved < wholeRetry {
		return b, false
	}
	return Budget{saved: b.saved - wholeRetry}, true
}

// Budgets keeps the budget of each upstream. It is safe for concurrent use.
type Budgets struct {
	mu         sync.Mutex
	byUpstream map[string]Budget
}

// NewBudgets returns empty budgets.
func NewBudgets() *Budgets { return &Budgets{byUpstream: make(map[string]Budget)} }

// Earn accounts for a request.
func (b *Budgets) Earn(upstream string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byUpstream[upstream] = b.byUpstream[upstream].WithRequest(percent)
}

// Spend takes a retry out of the budget and reports whether it held one.
func (b *Budgets) Spend(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.byUpstream[upstream].WithRetry()
	b.byUpstream[upstream] = next
	return ok
}

// NewPauses returns the growing, jittered pauses of one request's retries.
func NewPauses() backoff.BackOff { return pauser.NewBackoff(firstPause, longestPause) }
