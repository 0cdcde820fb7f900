package elector

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
)

func TestTermMayAct(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		unconfirmedFor time.Duration
		want           bool
	}{
		{"confirmed just now", 0, true},
		{"unconfirmed for less than a successor assumes", MaxUnconfirmed - time.Second, true},
		{"unconfirmed for longer, for instance after a suspension", MaxUnconfirmed + time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			term := newTerm(context.Background(), &Elector{}, Owner{}, Owner{}, 0)
			term.checked.Store(&confirmation{at: time.Now(), boot: bootTime() - c.unconfirmedFor})
			if got := term.MayAct(); got != c.want {
				t.Errorf("may act: %t, want %t", got, c.want)
			}
			term.end()
			if term.MayAct() {
				t.Error("may act after the term has ended")
			}
		})
	}
}

// A deafStore loses some renewals of leases, and knows the longest time without one that it
// has carried out.
type deafStore struct {
	*memorystore.Store

	mu      sync.Mutex
	lost    int // renewals to lose
	keptAt  time.Time
	longest time.Duration
}

func (s *deafStore) KeepAlive(ctx context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost > 0 {
		s.lost--
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return ctx.Err()
	}
	now := time.Now()
	if !s.keptAt.IsZero() {
		s.longest = max(s.longest, now.Sub(s.keptAt))
	}
	s.keptAt = now
	return s.Store.KeepAlive(ctx, lease)
}

// Guards against an owner that is replaced since the store has lost a renewal of its presence.
func TestPresenceOutlastsLostRenewals(t *testing.T) {
	t.Parallel()
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			runSuccession(t, func(s *succession) {
				store := &deafStore{Store: s.store}
				s.wrapped = store
				s.succeed(0)
				time.Sleep(2 * time.Second)
				store.mu.Lock()
				store.lost = lost
				store.mu.Unlock()
				time.Sleep(2 * presenceTTL)
				store.mu.Lock()
				defer store.mu.Unlock()
				if store.longest >= presenceTTL {
					s.t.Errorf("%s without a renewal, want less than %s", store.longest, presenceTTL)
				}
			})
		})
	}
}

// A forgetfulStore carries out some transactions whose answers it loses.
type forgetfulStore struct {
	*memorystore.Store
	lost atomic.Int64 // answers to lose
}

func (s *forgetfulStore) Commit(ctx context.Context, txn transactor.Transaction) (revision int64, err error) {
	revision, err = s.Store.Commit(ctx, txn)
	if err == nil && s.lost.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return revision, err
}

// Guards against a part that nobody serves for as long as the presence key lasts, as its owner
// doesn't know that its claim was carried out.
func TestPartIsServedSoonAfterTheAnswerToAClaimWasLost(t *testing.T) {
	t.Parallel()
	for _, lost := range []int64{1, 2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			runSuccession(t, func(s *succession) {
				store := &forgetfulStore{Store: s.store}
				store.lost.Store(lost)
				s.wrapped = store
				s.add("a", 0)
				time.Sleep(time.Duration(lost)*(callTimeout+retryDelay) + settleTime)
				s.mu.Lock()
				defer s.mu.Unlock()
				if term := s.running[0]["a"]; term == nil || term.Owner.Generation != lost {
					s.t.Errorf("term %+v, want one of generation %d", term, lost)
				}
			})
		})
	}
}

// Guards against an owner that claims its part again at once after its term has ended, and
// against the word of a runner that there is another owner.
func TestEndedTermIsNotReclaimedWhileItsPresenceLasts(t *testing.T) {
	t.Parallel()
	runSuccession(t, func(s *succession) {
		former := s.succeed(0)
		former.Depose(time.Now(), "a runner has refused the fencing token")
		time.Sleep(settleTime)
		if fence := s.last.Current(0).Fence; fence != former.Owner.Fence {
			s.t.Errorf("owner record with the fencing token %d, want still %d", fence, former.Owner.Fence)
		}
	})
}
