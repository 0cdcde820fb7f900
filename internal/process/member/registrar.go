package member

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/pauser"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// An IdentityClaimedError reports that another live process holds the name of
// this daemon. The process that gets it has to stop.
type IdentityClaimedError struct {
	Daemon  string
	Address string
}

// Error implements error.
func (e *IdentityClaimedError) Error() string {
	return fmt.Sprintf("daemon name %q is held by a live process at %s; give each daemon a name of its own", e.Daemon, e.Address)
}

// A Registrar holds the member record of this daemon.
//
// Lock order: mu is a leaf; callbacks are called without it.
type Registrar struct {
	store    storer.Store
	identity Identity
	token    string
	record   recorder.Recorder
	onLease  func(Lease)

	mu      sync.Mutex
	lease   Lease
	leaseID storer.LeaseID
	ready   chan struct{}
	isReady bool

	// lost holds the incarnation whose record was seen to be gone.
	lost chan int64
}

// NewRegistrar returns a registrar. onLease, if not nil, is told of each
// registration; it must not block.
func NewRegistrar(store storer.Store, identity Identity, record recorder.Recorder, onLease func(Lease)) *Registrar {
	return &Registrar{
		store:    store,
		identity: identity,
		token:    rand.Text(),
		record:   record,
		onLease:  onLease,
		ready:    make(chan struct{}),
		lost:     make(chan int64, 1),
	}
}

// Identity returns the daemon's own identity.
func (g *Registrar) Identity() Identity { return g.identity }

// Token returns the token of this process in its records.
func (g *Registrar) Token() string { return g.token }

// Lease returns the lease as it stands.
func (g *Registrar) Lease() Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease
}

// Ready returns a channel that is closed once the daemon is registered.
func (g *Registrar) Ready() <-chan struct{} { return g.ready }

// Run registers the daemon and keeps its lease alive until the context ends.
// It returns *IdentityClaimedError if another process holds the name.
func (g *Registrar) Run(ctx context.Context) error {
	pause := pauser.NewBackoff(firstPause, longPause)
	blockedSince := time.Time{}
	for ctx.Err() == nil {
		err := g.register(ctx)
		var claimed *IdentityClaimedError
		switch {
		case err == nil:
			pause.Reset()
			blockedSince = time.Time{}
			g.keepAlive(ctx)
		case errors.As(err, &claimed):
			now := time.Now()
			if blockedSince.IsZero() {
				blockedSince = now
			}
			if now.Sub(blockedSince) > claimPatience {
				g.record.Record(now, EventIdentityClaimed, recorder.Fields{"address": claimed.Address})
				return err
			}
			pauser.Sleep(ctx, LeaseTTL/8)
		default:
			pauser.Sleep(ctx, pause.NextBackOff())
		}
	}
	return ctx.Err()
}

// register grants a lease and creates the member record under it.
func (g *Registrar) register(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, LeaseTTL)
	defer cancel()
	sent := time.Now()
	id, err := g.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return eris.Wrap(err, "granting the member lease")
	}
	revision, err := g.create(ctx, id)
	if err != nil {
		_ = g.store.Revoke(ctx, id)
		return eris.Wrap(err, "creating the member record")
	}
	lease := Lease{Incarnation: int64(revision), Since: sent}.WithRenewal(sent, LeaseTTL)
	g.setLease(lease, id)
	g.record.Record(sent, EventRegistered, recorder.Fields{
		"daemon":      g.identity.Daemon,
		"incarnation": strconv.FormatInt(lease.Incarnation, 10),
	})
	if g.onLease != nil {
		g.onLease(lease)
	}
	return nil
}

func (g *Registrar) create(ctx context.Context, id storer.LeaseID) (storer.Revision, error) {
	value, err := json.Marshal(record{Identity: g.identity, Token: g.token})
	if err != nil {
		return 0, err
	}
	swap := storer.Swap{Key: Key(g.identity.Daemon), Value: value, Lease: id}
	revision, err := g.store.CompareAndSwap(ctx, swap)
	if err == nil {
		return revision, nil
	}
	var unknown *errs.UnknownOutcomeError
	if !errors.Is(err, errs.ErrConflict) && !errors.As(err, &unknown) {
		return 0, err
	}
	return g.readBack(ctx, id)
}

// readBack resolves a refused or unknown creation.
func (g *Registrar) readBack(ctx context.Context, id storer.LeaseID) (storer.Revision, error) {
	entry, err := g.store.Get(ctx, Key(g.identity.Daemon))
	if err != nil {
		return 0, err
	}
	holder, err := Parse(entry)
	if err != nil {
		return 0, err
	}
	if holder.Token == g.token && entry.Lease == id {
		return entry.Revision, nil
	}
	if holder.Token == g.token {
		return 0, errs.ErrConflict // Under a former lease of this process, which lapses.
	}
	return 0, &IdentityClaimedError{Daemon: g.identity.Daemon, Address: holder.Address}
}

// keepAlive renews the lease until it is lost or the context ends.
func (g *Registrar) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case incarnation := <-g.lost:
			if incarnation != g.Lease().Incarnation {
				continue // Of a former lease.
			}
			g.endLease()
			return
		}
		if err := g.renew(ctx); errors.Is(err, errs.ErrNotFound) {
			g.endLease()
			return
		}
	}
}

func (g *Registrar) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	g.mu.Lock()
	id := g.leaseID
	g.mu.Unlock()
	sent := time.Now()
	ttl, err := g.store.KeepAlive(ctx, id)
	if err != nil {
		g.record.Record(time.Now(), EventKeepAliveFailed, recorder.Fields{"cause": err.Error()})
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = g.lease.WithRenewal(sent, ttl)
	return nil
}

func (g *Registrar) setLease(lease Lease, id storer.LeaseID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = lease
	g.leaseID = id
	if !g.isReady {
		g.isReady = true
		close(g.ready)
	}
}

// noteDeleted ends the lease if the store shows that its record is gone. It
// returns at once.
func (g *Registrar) noteDeleted(incarnation int64) {
	if g.Lease().Incarnation != incarnation {
		return
	}
	select {
	case g.lost <- incarnation:
	default:
	}
}

// endLease notes that the lease or its record is gone from the store.
func (g *Registrar) endLease() {
	g.mu.Lock()
	g.lease = g.lease.WithRenewal(g.lease.Renewed, 0)
	ended := g.lease.Incarnation
	g.mu.Unlock()
	g.record.Record(time.Now(), EventLeaseLost, recorder.Fields{
		"daemon":      g.identity.Daemon,
		"incarnation": strconv.FormatInt(ended, 10),
	})
}

// Close gives the lease back, so that the others see the daemon gone at once.
// Run has to have returned.
func (g *Registrar) Close(ctx context.Context) (err error) {
	g.mu.Lock()
	id := g.leaseID
	g.lease = Lease{}
	g.leaseID = 0
	g.mu.Unlock()
	if id == 0 {
		return nil
	}
	if err := g.store.Revoke(ctx, id); err != nil {
		return eris.Wrap(err, "revoking the member lease")
	}
	return nil
}
