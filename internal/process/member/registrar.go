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

// An IdentityClaimedError reports that another live process is registered under the
// name of this daemon. The process that gets the error has to stop.
type IdentityClaimedError struct {
	Daemon  string
	Address string
}

// Error implements error.
func (e *IdentityClaimedError) Error() string {
	return fmt.Sprintf("daemon name %q is held by a live process at %s; give each daemon a name of its own", e.Daemon, e.Address)
}

// A Registrar creates the member record of this daemon and keeps its lease alive.
//
// Lock order: mu is a leaf; callbacks are called without it.
type Registrar struct {
	store    storer.Store
	identity Identity
	token    string
	events   recorder.Recorder
	onLease  func(Lease)

	mu      sync.Mutex
	lease   Lease
	leaseID storer.LeaseID
	ready   chan struct{}
	isReady bool

	// deleted carries the incarnation whose member record the watch showed as deleted.
	deleted chan int64
}

// NewRegistrar returns a registrar. onLease, if not nil, is called after each
// registration; it must not block.
func NewRegistrar(store storer.Store, identity Identity, events recorder.Recorder, onLease func(Lease)) *Registrar {
	return &Registrar{
		store:    store,
		identity: identity,
		token:    rand.Text(),
		events:   events,
		onLease:  onLease,
		ready:    make(chan struct{}),
		deleted:  make(chan int64, 1),
	}
}

// Identity returns the daemon's own identity.
func (r *Registrar) Identity() Identity { return r.identity }

// Token returns the token that identifies this process in its records.
func (r *Registrar) Token() string { return r.token }

// Lease returns the current state of the lease.
func (r *Registrar) Lease() Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// Ready returns a channel that is closed once the daemon is registered.
func (r *Registrar) Ready() <-chan struct{} { return r.ready }

// Run registers the daemon and keeps its lease alive until the context ends.
// It returns *IdentityClaimedError if another process holds the daemon's name.
func (r *Registrar) Run(ctx context.Context) error {
	pause := pauser.NewBackoff(minRetryDelay, maxRetryDelay)
	conflictSince := time.Time{}
	for ctx.Err() == nil {
		err := r.register(ctx)
		var claimed *IdentityClaimedError
		switch {
		case err == nil:
			pause.Reset()
			conflictSince = time.Time{}
			r.keepAlive(ctx)
		case errors.As(err, &claimed):
			now := time.Now()
			if conflictSince.IsZero() {
				conflictSince = now
			}
			if now.Sub(conflictSince) > nameClaimTimeout {
				r.events.Record(now, EventIdentityClaimed, recorder.Fields{"address": claimed.Address})
				return err
			}
			pauser.Sleep(ctx, LeaseTTL/8)
		default:
			pauser.Sleep(ctx, pause.NextBackOff())
		}
	}
	return ctx.Err()
}

// register requests a lease and creates the member record under it.
func (r *Registrar) register(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, LeaseTTL)
	defer cancel()
	sent := time.Now()
	id, err := r.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return eris.Wrap(err, "granting the member lease")
	}
	revision, err := r.create(ctx, id)
	if err != nil {
		_ = r.store.Revoke(ctx, id)
		return eris.Wrap(err, "creating the member record")
	}
	lease := Lease{Incarnation: int64(revision), Since: sent}.WithRenewal(sent, LeaseTTL)
	r.setLease(lease, id)
	r.events.Record(sent, EventRegistered, recorder.Fields{
		"daemon":      r.identity.Daemon,
		"incarnation": strconv.FormatInt(lease.Incarnation, 10),
	})
	if r.onLease != nil {
		r.onLease(lease)
	}
	return nil
}

// create writes the member record under a lease, unless there is one already.
func (r *Registrar) create(ctx context.Context, id storer.LeaseID) (storer.Revision, error) {
	value, err := json.Marshal(record{Identity: r.identity, Token: r.token})
	if err != nil {
		return 0, err
	}
	swap := storer.Swap{Key: Key(r.identity.Daemon), Value: value, Lease: id}
	revision, err := r.store.CompareAndSwap(ctx, swap)
	if err == nil {
		return revision, nil
	}
	var unknown *errs.UnknownOutcomeError
	if !errors.Is(err, errs.ErrConflict) && !errors.As(err, &unknown) {
		return 0, err
	}
	return r.readBack(ctx, id)
}

// readBack reads the member record after its creation was refused or had an unknown
// outcome. It returns the record's revision if this process wrote the record under the
// given lease.
func (r *Registrar) readBack(ctx context.Context, id storer.LeaseID) (storer.Revision, error) {
	entry, err := r.store.Get(ctx, Key(r.identity.Daemon))
	if err != nil {
		return 0, err
	}
	holder, err := Parse(entry)
	if err != nil {
		return 0, err
	}
	if holder.Token == r.token && entry.Lease == id {
		return entry.Revision, nil
	}
	if holder.Token == r.token {
		return 0, errs.ErrConflict // The record is under an earlier lease of this process, which will lapse.
	}
	return 0, &IdentityClaimedError{Daemon: r.identity.Daemon, Address: holder.Address}
}

// keepAlive renews the lease until it is lost or the context ends.
func (r *Registrar) keepAlive(ctx context.Context) {
	// A slow registration has already used part of the lease.
	due := time.NewTimer(keepAliveInterval - Elapsed(r.Lease().Renewed, time.Now()))
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-due.C:
			due.Reset(keepAliveInterval)
		case incarnation := <-r.deleted:
			if incarnation != r.Lease().Incarnation {
				continue // The deleted record was under an earlier lease.
			}
			r.endLease()
			return
		}
		if err := r.renew(ctx); errors.Is(err, errs.ErrNotFound) {
			r.endLease()
			return
		}
	}
}

// renew sends one keep-alive of the lease.
func (r *Registrar) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
	defer cancel()
	r.mu.Lock()
	id := r.leaseID
	r.mu.Unlock()
	sent := time.Now()
	ttl, err := r.store.KeepAlive(ctx, id)
	if err != nil {
		r.events.Record(time.Now(), EventKeepAliveFailed, recorder.Fields{"cause": err.Error()})
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = r.lease.WithRenewal(sent, ttl)
	return nil
}

// setLease stores a new lease, and closes the ready channel if it is the first lease.
func (r *Registrar) setLease(lease Lease, id storer.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	r.leaseID = id
	if !r.isReady {
		r.isReady = true
		close(r.ready)
	}
}

// signalDeleted makes keepAlive end the lease if the deleted record is the current
// one. It does not block.
func (r *Registrar) signalDeleted(incarnation int64) {
	if r.Lease().Incarnation != incarnation {
		return
	}
	select {
	case r.deleted <- incarnation:
	default:
	}
}

// endLease makes the lease invalid after the lease or the member record has gone from
// the store.
func (r *Registrar) endLease() {
	r.mu.Lock()
	r.lease = r.lease.WithRenewal(r.lease.Renewed, 0)
	ended := r.lease.Incarnation
	r.mu.Unlock()
	r.events.Record(time.Now(), EventLeaseLost, recorder.Fields{
		"daemon":      r.identity.Daemon,
		"incarnation": strconv.FormatInt(ended, 10),
	})
}

// Close revokes the lease, so that the other daemons see at once that this daemon is
// gone. Run must have returned before.
func (r *Registrar) Close(ctx context.Context) (err error) {
	r.mu.Lock()
	id := r.leaseID
	r.lease = Lease{}
	r.leaseID = 0
	r.mu.Unlock()
	if id == 0 {
		return nil
	}
	if err := r.store.Revoke(ctx, id); err != nil {
		return eris.Wrap(err, "revoking the member lease")
	}
	return nil
}
