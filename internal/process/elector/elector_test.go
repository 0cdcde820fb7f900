package elector

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/standin/memorystore"
)

const (
	// waitTimeout limits how long a test waits for a condition.
	waitTimeout = 20 * time.Second
	// ownedDelay is the campaign delay for each part that a daemon owns.
	ownedDelay = 2 * time.Second
)

// A group is a set of electors that share a store.
type group struct {
	t        *testing.T
	store    *memorystore.Store
	wrapped  transactor.Store // what daemons that start call; nil if it is store
	parts    int
	electors []*Elector

	mu      sync.Mutex
	running map[int]map[string]*Term // running terms by part and instance
}

// newGroup starts electors named e0, e1 and so on.
func newGroup(t *testing.T, electors, parts int) *group {
	t.Helper()
	g := &group{t: t, store: memorystore.New(), parts: parts, running: make(map[int]map[string]*Term)}
	for part := range parts {
		g.running[part] = make(map[string]*Term)
	}
	for i := range electors {
		g.add(fmt.Sprint("e", i), i)
	}
	return g
}

// add starts an elector for a daemon process on a host.
func (g *group) add(instance string, host int) {
	var store transactor.Store = g.store
	if g.wrapped != nil {
		store = g.wrapped
	}
	e := New(Options{
		Store: store, Instance: instance, Address: fmt.Sprint("host", host), Parts: g.parts,
		CampaignDelay: func(part, owned int) time.Duration {
			// The delay of a daemon that owns a part exceeds the reaction time of the
			// others even on a slow machine.
			return time.Duration(1+(part+host)%4)*5*time.Millisecond + time.Duration(owned)*ownedDelay
		},
		Recorder: recorder.Discard{}, Serve: g.serve,
	})
	g.electors = append(g.electors, e)
	e.Run(context.Background())
	g.t.Cleanup(e.Close)
}

// serve implements Options.Serve: it keeps the term in running until ctx ends.
func (g *group) serve(ctx context.Context, term *Term) {
	g.mu.Lock()
	g.running[term.Owner.Part][term.Owner.Instance] = term
	g.mu.Unlock()
	<-ctx.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running[term.Owner.Part], term.Owner.Instance)
}

// owners waits until each part has exactly one owner and returns them by part.
func (g *group) owners() map[int]string {
	g.t.Helper()
	var owners map[int]string
	g.await("one owner of each part", func() bool {
		owners = make(map[int]string)
		g.mu.Lock()
		defer g.mu.Unlock()
		for part, terms := range g.running {
			for instance := range terms {
				if len(terms) == 1 {
					owners[part] = instance
				}
			}
		}
		return len(owners) == g.parts
	})
	return owners
}

// term returns the current term of a part's owner.
func (g *group) term(part int) *Term {
	g.t.Helper()
	owner := g.owners()[part]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[part][owner]
}

func (g *group) await(what string, holds func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("waited %s without success for %s", waitTimeout, what)
		}
	}
}

func TestPartsGoToDifferentDaemons(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 4, 3)
	used := make(map[string]bool)
	for _, owner := range g.owners() {
		used[owner] = true
	}
	if len(used) != 3 {
		t.Errorf("owners by part: %v, want three different daemons", g.owners())
	}
	t.Run("all daemons know the owners", func(t *testing.T) {
		for _, e := range g.electors {
			for part := range 3 {
				g.await("the owner to be known", func() bool { return e.Current(part).Instance == g.owners()[part] })
			}
		}
	})
}

func TestSingleDaemonOwnsAllParts(t *testing.T) {
	t.Parallel()
	if owners := newGroup(t, 1, 3).owners(); len(owners) != 3 {
		t.Errorf("owners by part: %v, want an owner of each of the three parts", owners)
	}
}

func TestResignation(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 2, 2)
	before := g.owners()
	leaving := 0
	if before[0] == "e1" {
		leaving = 1
	}
	g.electors[leaving].Resign(context.Background())
	rest := fmt.Sprint("e", 1-leaving)
	g.await("the other daemon to own both parts", func() bool {
		owners := g.owners()
		return owners[0] == rest && owners[1] == rest
	})
	t.Run("new terms have higher generations and fencing tokens", func(t *testing.T) {
		for part, former := range before {
			term := g.term(part)
			if term.Owner.Fence <= term.Former.Fence || (former != rest && term.Owner.Generation != 1) {
				t.Errorf("owner %+v after %+v, want a higher fencing token, and generation 1 if the part has moved", term.Owner, term.Former)
			}
		}
	})
}

// The store may remove a presence key although its lease is alive. The owner's
// renewals still succeed then, so the owner has to notice by the owner record that it
// was replaced.
func TestPresenceKeyRemovedByStore(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 2, 1)
	former := g.term(0)
	g.store.Remove(presenceKey(0))
	g.await("the former term to end", func() bool { return former.ctx.Err() != nil })
	g.await("a successor", func() bool { return g.term(0).Owner.Fence > former.Owner.Fence })
}

// After a power loss of all hosts, the presence keys of the former owners still exist
// for up to two seconds after the daemons have restarted. A daemon must reclaim its own
// parts without waiting until they are gone.
func TestRestartedDaemonReclaimsItsPartsAtOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2)
	g.owners()
	before := g.term(0).Owner
	g.electors[0].Close() // does not end its leases
	g.add("e0-again", 0)
	g.await("the new process to own both parts", func() bool {
		owners := g.owners()
		return owners[0] == "e0-again" && owners[1] == "e0-again"
	})
	if after := g.term(0).Owner; after.Generation != before.Generation+1 || after.Fence <= before.Fence {
		t.Errorf("owner %+v after %+v, want the next generation and a higher fencing token", after, before)
	}
}

func TestPresentOwnerIsNotReplaced(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 1)
	before := g.term(0).Owner
	g.add("e1", 1)
	time.Sleep(200 * time.Millisecond)
	if after := g.term(0).Owner; after != before {
		t.Errorf("owner %+v after %+v, want the same owner record", after, before)
	}
}

func TestTermIsConfirmedRepeatedly(t *testing.T) {
	t.Parallel()
	term := newGroup(t, 1, 1).term(0)
	first := term.ConfirmedAt()
	if first.IsZero() || first.After(time.Now()) {
		t.Fatalf("confirmed at %s, want a time in the past", first)
	}
	deadline := time.Now().Add(waitTimeout)
	for !term.ConfirmedAt().After(first) {
		if time.Now().After(deadline) {
			t.Fatal("the term was not confirmed again")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a daemon that counts its delay from an earlier vacancy of the part, and
// so claims it before daemons with shorter delays.
func TestDelayStartsAnewAtEachVacancy(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, store: memorystore.New(), parts: 1, running: map[int]map[string]*Term{0: {}}}
		for i, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
			e := New(Options{
				Store: g.store, Instance: fmt.Sprint("e", i), Address: fmt.Sprint("host", i), Parts: 1,
				CampaignDelay: func(int, int) time.Duration { return delay },
				Recorder:      recorder.Discard{}, Serve: g.serve,
			})
			g.electors = append(g.electors, e)
			e.Run(t.Context())
			defer e.Close()
		}
		time.Sleep(250 * time.Millisecond)
		g.electors[0].Resign(t.Context())
		time.Sleep(time.Second)
		if owner := g.owners()[0]; owner != "e1" {
			t.Errorf("owner %s, want e1, which has the shorter delay", owner)
		}
	})
}

// Guards against a campaign that takes a part's claim by another daemon for the vacancy
// that it was started for, and so counts its delay from that vacancy at the next one.
func TestLateCampaignMissesTheClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const delay = 100 * time.Millisecond
		g := &group{t: t, store: memorystore.New(), parts: 1, running: map[int]map[string]*Term{0: {}}}
		late := New(Options{
			Store: g.store, Instance: "late", Address: "late", Parts: 1,
			CampaignDelay: func(int, int) time.Duration { return delay },
			Recorder:      recorder.Discard{}, Serve: g.serve,
		})
		vacancies := late.update(records(t, late), time.Now(), time.Now())
		g.add("e0", 0)
		time.Sleep(delay)
		late.update(records(t, late), time.Now(), time.Now()) // sees the claim of e0
		ctx, cancel := context.WithCancel(t.Context())
		var campaign sync.WaitGroup
		campaign.Go(func() { late.campaign(ctx, vacancies[0]) })
		time.Sleep(delay / 2)
		g.electors[0].Resign(t.Context())
		late.update(records(t, late), time.Now(), time.Now()) // sees the second vacancy
		time.Sleep(delay * 3 / 4)
		if owner := late.Current(0); owner.Instance == "late" {
			t.Errorf("owner %+v at most %s after the vacancy, want none before %s", owner, delay*3/4, delay)
		}
		cancel()
		campaign.Wait()
	})
}

// records reads the records as an elector does.
func records(t *testing.T, e *Elector) []Owner {
	t.Helper()
	owners, _, err := e.read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return owners
}
