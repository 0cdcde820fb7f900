package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
)

const (
	// markLifetime is how long a mark is kept at least: longer than a hand-in may still be under
	// way, which is maxRequestAge, the timeout of a call, and the seconds by which the store may
	// carry it out late.
	markLifetime = time.Minute
	// markLeaseDuration is the time to live of a lease that is used for new marks for
	// markLifetime and never renewed.
	markLeaseDuration = 2 * markLifetime
	// markRate and markBurst limit the marks that a daemon writes, as anyone may cancel
	// submissions that don't exist. markRate is a number per second.
	markRate  = 5
	markBurst = 50
)

// markKey returns the key of the mark of a submission that was cancelled before it was stored.
func markKey(id string) string { return "kumquat/revoked/" + id }

// A markLease is a lease that marks are attached to.
type markLease struct {
	id        int64
	grantedAt time.Duration // since the start of the host
}

// A markLeaser provides the lease for new marks. It is safe for concurrent use.
type markLeaser struct {
	limiter *rate.Limiter
	grants  singleflight.Group
	mu      sync.Mutex
	current markLease // id is zero if there is none
}

func newMarkLeaser() *markLeaser {
	return &markLeaser{limiter: rate.NewLimiter(markRate, markBurst)}
}

// lease returns a lease that outlasts a new mark, and grants one if there is none.
func (m *markLeaser) lease(ctx context.Context, store transactor.Store) (id int64, err error) {
	m.mu.Lock()
	current := m.current
	m.mu.Unlock()
	if current.id != 0 && clocker.SinceBoot()-current.grantedAt < markLifetime {
		return current.id, nil
	}
	granted, err, _ := m.grants.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		grantedAt := clocker.SinceBoot()
		id, err := store.Grant(ctx, markLeaseDuration)
		if err != nil {
			return id, err
		}
		m.mu.Lock()
		m.current = markLease{id, grantedAt}
		m.mu.Unlock()
		return id, nil
	})
	return granted.(int64), err
}

// drop gives up a lease that has ended.
func (m *markLeaser) drop(id int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.id == id {
		m.current = markLease{}
	}
}

// maxMarkLeases is the number of leases that are tried for a mark.
const maxMarkLeases = 2

// mark keeps a submission that is not stored from being accepted for markLifetime. isStored says
// that it was accepted meanwhile, so that nothing is marked.
//
// Load: a client gives up on a hand-in without an answer, which the store carries out seconds
// later, and cancels it at another daemon.
func (g *Gateway) mark(ctx context.Context, id string) (isStored bool, err error) {
	if !g.marks.limiter.Allow() {
		return false, &RejectedError{Reason: "too many cancellations of unknown submissions", RetryAfter: outageRetryAfter}
	}
	for range maxMarkLeases {
		var lease int64
		if lease, err = g.marks.lease(ctx, g.opts.Store); err != nil {
			return false, &RejectedError{Reason: "no lease for the mark of a cancellation: " + err.Error(), RetryAfter: outageRetryAfter}
		}
		err = g.commit(ctx, transactor.Transaction{
			Conditions: absence(id, g.opts.Split.CandidateParts(id)),
			Writes:     []transactor.Write{{Key: markKey(id), Value: []byte("{}"), Lease: lease}},
		})
		var conflict *transactor.ConflictError
		if errors.As(err, &conflict) {
			return true, nil
		}
		if !errors.Is(err, transactor.ErrNotFound) {
			return false, err
		}
		g.marks.drop(lease)
	}
	return false, err
}
