package elector

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
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
			term.checked.Store(&confirmation{at: time.Now(), boot: clocker.SinceBoot() - c.unconfirmedFor})
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

// A forgetfulStore carries out transactions and grants leases, and loses some of the answers.
type forgetfulStore struct {
	*memorystore.Store

	mu             sync.Mutex
	grants, writes int       // answers to lose
	silentUntil    time.Time // no write is answered until then
}

func (s *forgetfulStore) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	lease, err = s.Store.Grant(ctx, ttl)
	s.loseAnswer(ctx, &s.grants, time.Time{})
	return lease, errors.Join(err, ctx.Err())
}

func (s *forgetfulStore) Commit(ctx context.Context, txn transactor.Transaction) (revision int64, err error) {
	revision, err = s.Store.Commit(ctx, txn)
	s.loseAnswer(ctx, &s.writes, s.silentUntil)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return revision, err
}

// loseAnswer waits until the context ends if one of a number of answers is to be lost, or until
// a time.
func (s *forgetfulStore) loseAnswer(ctx context.Context, left *int, until time.Time) {
	s.mu.Lock()
	isLost := *left > 0 || time.Now().Before(until)
	*left--
	s.mu.Unlock()
	if isLost {
		<-ctx.Done()
	}
}

// Guards against a part that nobody serves for as long as the presence key lasts, as its owner
// doesn't know that its claim was carried out.
func TestPartIsServedSoonAfterTheAnswerToAClaimWasLost(t *testing.T) {
	t.Parallel()
	runSuccession(t, func(s *succession) {
		store := &forgetfulStore{Store: s.store, silentUntil: time.Now().Add(callTimeout + retryDelay/2)}
		s.wrapped = store
		s.add("a", 0)
		time.Sleep(callTimeout + retryDelay + settleTime)
		s.assertServed("a", 1)
	})
}

// assertServed checks that a process serves the part as the owner of a generation.
func (s *succession) assertServed(instance string, generation int64) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	term := s.running[0][instance]
	if term == nil {
		s.t.Errorf("no term of %s, want one of generation %d", instance, generation)
		return
	}
	if term.Owner.Generation != generation {
		s.t.Errorf("owner %+v, want generation %d", term.Owner, generation)
	}
	record, err := s.store.Get(s.t.Context(), RecordKey(0))
	if err != nil || record.Revision != term.Owner.Fence {
		s.t.Errorf("record %+v, error %v; want one with the fencing token %d", record, err, term.Owner.Fence)
	}
}

// Guards against claims that wait for answers that are lost, while leases lapse.
func TestClaimOutlastsLostAnswers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		grants, writes int
	}{
		{"to the grant of the lease", 1, 0},
		{"to the transaction", 0, 1},
		{"to both", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runSuccession(t, func(s *succession) {
				s.wrapped = &forgetfulStore{Store: s.store, grants: c.grants, writes: c.writes}
				s.add("a", 0)
				time.Sleep(callTimeout / 2)
				s.assertServed("a", 0)
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

// A refusingStore refuses transactions that write the presence key alone.
type refusingStore struct {
	*memorystore.Store

	mu      sync.Mutex
	refused int // transactions to refuse
}

func (s *refusingStore) Commit(ctx context.Context, txn transactor.Transaction) (revision int64, err error) {
	s.mu.Lock()
	isRefused := s.refused > 0 && len(txn.Writes) == 1 && txn.Writes[0].Key == presenceKey(0)
	if isRefused {
		s.refused--
	}
	s.mu.Unlock()
	if isRefused {
		return 0, errors.New("the store is away")
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against an owner that is replaced although it renews its lease, since the presence
// key was not written under that lease.
func TestPresenceIsWrittenAgainAfterALostWrite(t *testing.T) {
	t.Parallel()
	for name, wrap := range map[string]func(store *memorystore.Store) transactor.Store{
		"that was not carried out": func(store *memorystore.Store) transactor.Store {
			return &refusingStore{Store: store, refused: 1}
		},
		"that was carried out": func(store *memorystore.Store) transactor.Store {
			return &forgetfulStore{Store: store}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSuccession(t, func(s *succession) {
				s.wrapped = wrap(s.store)
				term := s.succeed(0)
				if store, ok := s.wrapped.(*forgetfulStore); ok {
					store.mu.Lock()
					store.writes = 1
					store.mu.Unlock()
				}
				if err := s.store.Revoke(s.t.Context(), term.lease.Load()); err != nil {
					s.t.Fatal(err)
				}
				time.Sleep(ownedDelay - renewInterval)
				if _, err := s.store.Get(s.t.Context(), presenceKey(0)); err != nil {
					s.t.Errorf("presence key: %v", err)
				}
				time.Sleep(ownedDelay)
				if err := s.store.KeepAlive(s.t.Context(), term.lease.Load()); err != nil {
					s.t.Errorf("lease of the presence key: %v", err)
				}
				s.assertServed(term.Owner.Instance, term.Owner.Generation)
			})
		})
	}
}
