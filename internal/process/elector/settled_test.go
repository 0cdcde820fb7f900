package elector

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
)

// settleTime is long enough for a change of owner in a test.
const settleTime = 500 * time.Millisecond

// A succession is a part whose owners follow each other.
type succession struct {
	*group
	made int
	last *Elector
}

// runSuccession runs a test with a succession whose clock advances only while the test
// waits.
func runSuccession(t *testing.T, test func(s *succession)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(&succession{group: &group{t: t, store: memorystore.New(), parts: 1, running: map[int]map[string]*Term{0: {}}}})
	})
}

// succeed ends the present owner, if any, by a resignation, and starts a daemon on a
// host that becomes the owner.
func (s *succession) succeed(host int) *Term {
	s.t.Helper()
	if s.last != nil {
		s.last.Resign(s.t.Context())
	}
	return s.start(host)
}

// restart kills the present owner on a host, and starts its daemon again.
func (s *succession) restart(host int) *Term {
	s.t.Helper()
	s.last.Close()
	return s.start(host)
}

func (s *succession) start(host int) *Term {
	s.t.Helper()
	s.made++
	instance := fmt.Sprint("e", s.made)
	s.add(instance, host)
	s.last = s.electors[len(s.electors)-1]
	time.Sleep(settleTime)
	term := s.term(0)
	if term.Owner.Instance != instance {
		s.t.Fatalf("owner %+v, want %s", term.Owner, instance)
	}
	return term
}

// assertEarlierEnd checks that owners before the former one count as acting until
// MaxUnconfirmed after the former one's claim, by less than slack.
func assertEarlierEnd(t *testing.T, term *Term, claimed time.Time, slack time.Duration) {
	t.Helper()
	after := term.EarlierEnd.Sub(claimed)
	if after < MaxUnconfirmed || after > MaxUnconfirmed+slack {
		t.Errorf("earlier owners act until %s after the claim of the former one, want %s to %s", after, MaxUnconfirmed, MaxUnconfirmed+slack)
	}
}

func assertNoEarlierOwner(t *testing.T, term *Term) {
	t.Helper()
	if !term.EarlierEnd.IsZero() {
		t.Errorf("earlier owners act until %s, want all to be known to have ended", term.EarlierEnd)
	}
}

// Guards against a successor that forgets an owner that is cut off, since the owner in
// between has ended or was restarted.
func TestOwnerBeforeTheFormerOneMayAct(t *testing.T) {
	t.Parallel()
	t.Run("after a third owner", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			claimed := s.succeed(1).ConfirmedAt()
			time.Sleep(2 * time.Second)
			assertEarlierEnd(s.t, s.succeed(2), claimed, 2*time.Second+2*settleTime)
		})
	})
	t.Run("after a third owner that saw the second one's claim", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			s.add("watcher", 3)
			time.Sleep(settleTime)
			s.electors[0].Resign(s.t.Context())
			time.Sleep(settleTime)
			second := s.term(0)
			s.last = s.electors[1]
			s.add("third", 2)
			time.Sleep(3 * time.Second)
			s.last.Resign(s.t.Context())
			time.Sleep(settleTime)
			third := s.term(0)
			if third.Owner.Instance != "third" {
				s.t.Fatalf("owner %+v, want the third daemon", third.Owner)
			}
			assertEarlierEnd(s.t, third, second.Owner.seenAt, settleTime)
		})
	})
	t.Run("after a restart of the second owner", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			s.succeed(1)
			restarted := time.Now()
			assertEarlierEnd(s.t, s.restart(1), restarted, settleTime)
		})
	})
	t.Run("after a mark of an owner before", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			s.succeed(1).RecordSettled()
			s.succeed(2)
			restarted := time.Now()
			assertEarlierEnd(s.t, s.restart(2), restarted, settleTime)
		})
	})
}

// Load: rolling restarts and restarts of all hosts.
func TestEarlierOwnersAreKnownToHaveEnded(t *testing.T) {
	t.Parallel()
	t.Run("without any", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			assertNoEarlierOwner(s.t, s.succeed(0))
			assertNoEarlierOwner(s.t, s.succeed(1))
		})
	})
	t.Run("by the former owner's mark", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			s.succeed(1).RecordSettled()
			assertNoEarlierOwner(s.t, s.succeed(2))
		})
	})
	t.Run("by a restarted owner's mark", func(t *testing.T) {
		t.Parallel()
		runSuccession(t, func(s *succession) {
			s.succeed(0)
			s.succeed(1).RecordSettled()
			assertNoEarlierOwner(s.t, s.restart(1))
		})
	})
}

// Guards against a mark of an owner that counts for its successor.
func TestReplacedOwnerDoesNotWriteTheSettledKey(t *testing.T) {
	t.Parallel()
	runSuccession(t, func(s *succession) {
		s.succeed(0)
		replaced := s.succeed(1)
		s.succeed(2)
		replaced.ctx = s.t.Context() // the replaced owner doesn't know it yet
		if err := replaced.writeSettled(); !errors.Is(err, errReplaced) {
			s.t.Errorf("error %v, want %v", err, errReplaced)
		}
		if item, err := s.store.Get(s.t.Context(), settledKey(0)); !errors.Is(err, transactor.ErrNotFound) {
			s.t.Errorf("settled key %q, error %v; want none", item.Value, err)
		}
	})
}

// A failingStore fails its next commits.
type failingStore struct {
	*memorystore.Store
	failures int
}

func (s *failingStore) Commit(ctx context.Context, txn transactor.Transaction) (int64, error) {
	if s.failures > 0 {
		s.failures--
		return 0, errors.New("the store is silent")
	}
	return s.Store.Commit(ctx, txn)
}

func TestSettledKeyIsWrittenOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	runSuccession(t, func(s *succession) {
		s.succeed(0)
		term := s.succeed(1)
		store := &failingStore{Store: s.store, failures: 3}
		e := &Elector{opts: Options{Store: store, Recorder: recorder.Discard{}}}
		newTerm(s.t.Context(), e, term.Owner, term.Former, 0).RecordSettled()
		item, err := s.store.Get(s.t.Context(), settledKey(0))
		if want := strconv.FormatInt(term.Owner.Fence, 10); err != nil || string(item.Value) != want {
			s.t.Errorf("settled key %q, error %v; want %s", item.Value, err, want)
		}
	})
}
