// Package retrier implements retry budgets, which limit retries to a share of the
// requests, and the back-off between retries.
package retrier

import (
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/cenkalti/backoff/v5"
)

// Limits of retries.
const (
	// maxBalance is the largest budget that requests without retries can accumulate, in retries.
	maxBalance = 20
	// retryCost is the cost of one retry, in the hundredths that budgets count.
	retryCost = 100
	// firstBackoff is the mean back-off before the first retry.
	firstBackoff = 5 * time.Millisecond
	// longestBackoff is the largest mean back-off.
	longestBackoff = 100 * time.Millisecond
)

// A Budget is the balance of retries that requests have earned. It is immutable.
type Budget struct {
	// balance is in hundredths of a retry.
	balance int
}

// WithRequest returns the budget after one more request, which earns a
// percentage of a retry.
func (b Budget) WithRequest(percent int) Budget {
	return Budget{balance: min(maxBalance*retryCost, b.balance+percent)}
}

// WithRetry returns the budget after a retry, or false if the balance doesn't cover one.
func (b Budget) WithRetry() (Budget, bool) {
	if b.balance < retryCost {
		return b, false
	}
	return Budget{balance: b.balance - retryCost}, true
}

// Budgets keeps the budget of each upstream. It is safe for concurrent use.
type Budgets struct {
	mu         sync.Mutex
	byUpstream map[string]Budget
}

// NewBudgets returns empty budgets.
func NewBudgets() *Budgets { return &Budgets{byUpstream: make(map[string]Budget)} }

// Earn adds a request, which earns a percentage of a retry, to the upstream's budget.
func (b *Budgets) Earn(upstream string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byUpstream[upstream] = b.byUpstream[upstream].WithRequest(percent)
}

// Spend takes a retry from the upstream's budget. It reports false, and takes nothing, if
// the budget doesn't cover a retry.
func (b *Budgets) Spend(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.byUpstream[upstream].WithRetry()
	b.byUpstream[upstream] = next
	return ok
}

// NewBackoff returns the exponential, jittered back-off between the retries of one request.
func NewBackoff() backoff.BackOff { return pauser.NewBackoff(firstBackoff, longestBackoff) }
