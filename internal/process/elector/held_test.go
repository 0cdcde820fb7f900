package elector

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
)

// change changes a key of the store that is none of the elector's, and returns the revision.
func (s *succession) change() (revision int64) {
	s.t.Helper()
	revision, err := s.store.Commit(s.t.Context(), transactor.Transaction{Writes: []transactor.Write{{Key: "other"}}})
	if err != nil {
		s.t.Fatal(err)
	}
	return revision
}

func assertHeldAt(t *testing.T, term *Term, want int64) {
	t.Helper()
	if got := term.HeldAt(); got != want {
		t.Errorf("held at revision %d, want %d", got, want)
	}
}

// assertFenceAbove checks that the fencing token of an owner is higher than all of a former
// one's.
func assertFenceAbove(t *testing.T, term *Term, held int64) {
	t.Helper()
	if term.Owner.Fence <= held {
		t.Errorf("fencing token %d after a term that was held at revision %d, want a higher one", term.Owner.Fence, held)
	}
}

func TestHeldAt(t *testing.T) {
	t.Parallel()
	t.Run("is the fencing token at first", func(t *testing.T) {
		t.Parallel()
		assertHeldAt(t, newTerm(t.Context(), &Elector{}, Owner{Fence: 7}, Owner{Fence: 3}, 0), 7)
	})
	t.Run("rises with renewals", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			term := s.succeed(0)
			for range 3 {
				held, changed := term.HeldAt(), s.change()
				assertHeldAt(s.t, term, held)
				time.Sleep(renewInterval)
				assertHeldAt(s.t, term, changed)
			}
		})
	})
	t.Run("stays while nothing is stored", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			term := s.succeed(0)
			held := term.HeldAt()
			time.Sleep(4 * renewInterval)
			assertHeldAt(s.t, term, held)
		})
	})
	t.Run("stays once another owner has the record", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			former := s.succeed(0)
			s.change()
			time.Sleep(renewInterval)
			held := former.HeldAt()
			successor := s.succeed(1)
			former.ctx = s.t.Context() // the former owner doesn't know it yet
			for range 2 {
				if err := former.checkRecord(); !errors.Is(err, errReplaced) {
					s.t.Errorf("error %v, want %v", err, errReplaced)
				}
				assertHeldAt(s.t, former, held)
				s.change()
			}
			assertFenceAbove(s.t, successor, held)
		})
	})
}

// A slowStore carries out reads of the owner record at once, and answers some of them late.
type slowStore struct {
	*memorystore.Store

	mu     sync.Mutex
	delays []time.Duration // of the next answers
}

func (s *slowStore) List(ctx context.Context, prefix string) (items []transactor.Item, revision int64, err error) {
	items, revision, err = s.Store.List(ctx, prefix)
	if prefix != RecordKey(0) {
		return items, revision, err
	}
	s.mu.Lock()
	var delay time.Duration
	if len(s.delays) > 0 {
		delay, s.delays = s.delays[0], s.delays[1:]
	}
	s.mu.Unlock()
	time.Sleep(delay)
	return items, revision, err
}

func (s *slowStore) delay(next ...time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = next
}

// Guards against fencing tokens that a successor may use, too, as answers of the store were late.
func TestHeldAtWithLateAnswers(t *testing.T) {
	t.Parallel()
	t.Run("in another order", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			store := &slowStore{Store: s.store}
			s.wrapped = store
			term := s.succeed(0)
			store.delay(renewInterval + renewInterval/2)
			s.change()
			time.Sleep(renewInterval)
			changed := s.change()
			time.Sleep(renewInterval)
			assertHeldAt(s.t, term, changed)
			time.Sleep(renewInterval)
			assertHeldAt(s.t, term, changed)
		})
	})
	t.Run("after the claim of a successor", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			store := &slowStore{Store: s.store}
			s.wrapped = store
			former := s.succeed(0)
			before := former.HeldAt()
			changed := s.change()
			store.delay(renewInterval+2*settleTime, renewInterval+2*settleTime)
			time.Sleep(renewInterval)
			assertHeldAt(s.t, former, before)
			s.wrapped = nil
			successor := s.succeed(1)
			s.change()
			time.Sleep(2 * settleTime)
			assertHeldAt(s.t, former, changed)
			assertFenceAbove(s.t, successor, former.HeldAt())
		})
	})
}

// An acceptor is a runner that accepts calls with the highest fencing token that it has seen,
// or a higher one.
type acceptor struct{ token int64 }

func (a *acceptor) accepts(token int64) bool {
	isAccepted := token >= a.token
	a.token = max(a.token, token)
	return isAccepted
}

// Guards against owners of two releases that a runner refuses, or carries out calls of, in the
// wrong order. An owner of the former release sends the revision of its record to all
// incarnations.
func TestOwnersOfTwoReleasesSucceedEachOther(t *testing.T) {
	t.Parallel()
	highest := map[string]func(term *Term) int64{
		"the former release": func(term *Term) int64 { return term.Owner.Fence },
		"this release":       (*Term).HeldAt,
	}
	for _, c := range []struct{ name, former, successor string }{
		{"to the former release", "this release", "the former release"},
		{"to this release", "the former release", "this release"},
		{"of this release", "this release", "this release"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runSuccession(t, func(s *succession) {
				former := s.succeed(0)
				s.change()
				time.Sleep(renewInterval)
				var runner acceptor
				runner.accepts(former.Owner.Fence)
				runner.accepts(highest[c.former](former))
				successor := s.succeed(1)
				for _, token := range []int64{successor.Owner.Fence, highest[c.successor](successor)} {
					if !runner.accepts(token) {
						s.t.Errorf("the successor's token %d is refused, since %d was seen", token, runner.token)
					}
				}
				if token := highest[c.former](former); runner.accepts(token) {
					s.t.Errorf("the token %d of the former owner is accepted after %d", token, runner.token)
				}
			})
		})
	}
}
