package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/conductor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// When an owner gives up its part because it does not reach the runners.
const (
	// outOfReachAfter is how long a runner must not have answered to count as out of reach.
	outOfReachAfter = 5 * time.Second
	// reachCheckInterval is the pause between two looks at the runners.
	reachCheckInterval = 500 * time.Millisecond
	// lossChecks is the number of such looks in a row that find the runners out of reach. A host
	// that was frozen sees all calls fail at once.
	lossChecks = 3
	// minOutOfReach is the number of runners out of reach from which the part is given up.
	minOutOfReach = 4
	// maxInReach is the largest share of a part's runners that answer while it is given up.
	maxInReach = 0.25
	// maxConfirmationAge is how old the last confirmation of the owner by the store may be.
	maxConfirmationAge = 2 * time.Second
	// unreachedDelay is how long a daemon lets others go first in the election for a part that
	// it has given up.
	unreachedDelay = 3 * time.Second
)

// A reachWatcher is a client of runners that watches which of them answer polls. It is safe
// for concurrent use.
type reachWatcher struct {
	conductor.RunnerClient

	mu       sync.Mutex
	contacts map[string]contact // by runner
}

// A contact is when a runner was first polled or last answered a poll, and when a poll last
// failed.
type contact struct{ answeredAt, failedAt time.Time }

func newReachWatcher(client conductor.RunnerClient) *reachWatcher {
	return &reachWatcher{RunnerClient: client, contacts: make(map[string]contact)}
}

// Poll implements conductor.RunnerClient.
func (w *reachWatcher) Poll(ctx context.Context, to dispatcher.RunnerInfo, poll conductor.Poll) (dispatcher.Report, error) {
	sentAt := time.Now()
	report, err := w.RunnerClient.Poll(ctx, to, poll)
	if !errors.Is(ctx.Err(), context.Canceled) { // else the poll was not needed any more
		w.note(to.ID, err == nil || errors.Is(err, conductor.ErrFenced), sentAt, time.Now())
	}
	return report, err
}

// note notes the result of a poll.
func (w *reachWatcher) note(id string, isAnswered bool, sentAt, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, isKnown := w.contacts[id]
	switch {
	case isAnswered:
		c = contact{answeredAt: now}
	case !isKnown:
		c = contact{answeredAt: sentAt, failedAt: now}
	default:
		c.failedAt = now
	}
	w.contacts[id] = c
}

// isOutOfReach reports whether few of the runners that are polled answer.
func (w *reachWatcher) isOutOfReach(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	inReach, outOfReach := 0, 0
	for id, c := range w.contacts {
		switch {
		case now.Sub(c.answeredAt) < outOfReachAfter:
			inReach++
		case now.Sub(c.failedAt) < outOfReachAfter:
			outOfReach++
		default:
			delete(w.contacts, id) // not polled any more
		}
	}
	return outOfReach >= minOutOfReach && float64(inReach) <= maxInReach*float64(inReach+outOfReach)
}

// awaitLoss waits until the runners are out of reach while the store names this daemon as the
// owner, as of confirmedAt. It reports whether that came true. An owner that does not reach
// the store either goes on renewing the leases of the runners that it reaches.
func (w *reachWatcher) awaitLoss(ctx context.Context, confirmedAt func() time.Time) bool {
	ticker := time.NewTicker(reachCheckInterval)
	defer ticker.Stop()
	for checks := 0; checks < lossChecks; {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			checks++
			if now := time.Now(); now.Sub(confirmedAt()) >= maxConfirmationAge || !w.isOutOfReach(now) {
				checks = 0
			}
		}
	}
	return true
}
