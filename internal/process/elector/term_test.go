package elector

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

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
