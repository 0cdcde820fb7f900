package elector

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/clocker"
	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// A Term is one period of ownership of a part by this daemon.
type Term struct {
	// Owner is the owner record of this term, which names this daemon. Former is the
	// part's owner record before the term; its Fence is zero if there was none.
	Owner, Former Owner
	// EarlierEnd is the latest time at which an owner before Former may still act; zero
	// if all of them are known to have ended.
	EarlierEnd time.Time

	e     *Elector
	ctx   context.Context
	end   context.CancelFunc
	lease atomic.Int64 // of the presence key
	// isUnwritten is true while it isn't known that the presence key was written under lease.
	isUnwritten atomic.Bool
	// hasResigned says that this daemon gives the part up.
	hasResigned atomic.Bool
	// replacing serialises the writes of the presence key under a new lease.
	replacing sync.Mutex
	// confirmed is the latest time at which the record is known to have named this
	// daemon.
	confirmed atomic.Pointer[time.Time]
	// heldAt is the latest known revision of the store at which the record named this daemon.
	heldAt atomic.Pointer[int64]
	// checked is the last confirmation by claim or renew.
	checked atomic.Pointer[confirmation]
}

// A confirmation is when the owner record named this daemon: by the steady clock, and by
// clocker.SinceBoot, which includes suspension of the host.
type confirmation struct {
	at   time.Time
	boot time.Duration
}

func newTerm(ctx context.Context, e *Elector, owner, former Owner, lease int64) *Term {
	t := &Term{Owner: owner, Former: former, EarlierEnd: former.earlierEnd(), e: e}
	t.ctx, t.end = context.WithCancel(ctx)
	t.lease.Store(lease)
	t.noteHeld(owner.Fence)
	return t
}

// Depose ends the term and records the reason.
func (t *Term) Depose(now time.Time, reason string) {
	if t.ctx.Err() != nil {
		return
	}
	t.e.opts.Recorder.Record(now, EventDeposed, recorder.Fields{
		"reason": reason, "part": strconv.Itoa(t.Owner.Part), "fence": strconv.FormatInt(t.Owner.Fence, 10),
	})
	t.end()
}

// Resign ends the term and records the reason. Another daemon takes over once this one has
// stopped serving.
func (t *Term) Resign(now time.Time, reason string) {
	t.hasResigned.Store(true)
	t.Depose(now, reason)
}

// ConfirmedAt returns the latest time at which the record is known to have named
// this daemon, so that no other daemon owned the part.
func (t *Term) ConfirmedAt() time.Time { return *t.confirmed.Load() }

// HeldAt returns the latest known revision of the store at which the record named this daemon.
// The fencing tokens of all successors are higher.
func (t *Term) HeldAt() int64 { return *t.heldAt.Load() }

// noteHeld notes a revision of the store at which the record named this daemon.
func (t *Term) noteHeld(revision int64) {
	advance(&t.heldAt, revision, func(last int64) bool { return revision > last })
}

// MayAct reports whether the owner may still act: the term has not ended, and the record
// was confirmed recently enough, also counting the time for which the host was suspended.
// A successor relies on it.
func (t *Term) MayAct() bool { return t.ctx.Err() == nil && t.unconfirmedFor() <= MaxUnconfirmed }

// unconfirmedFor returns the time since the last confirmation by claim or renew.
func (t *Term) unconfirmedFor() time.Duration { return clocker.SinceBoot() - t.checked.Load().boot }

// Unconfirmed returns the time since the last confirmation by claim or renew, and for how
// much of it the host was suspended.
func (t *Term) Unconfirmed() (unconfirmed, suspended time.Duration) {
	last := t.checked.Load()
	unconfirmed = clocker.SinceBoot() - last.boot
	return unconfirmed, max(0, unconfirmed-time.Since(last.at))
}

// confirm notes that the owner record still named this daemon at the given time.
func (t *Term) confirm(at time.Time) {
	advance(&t.confirmed, at, func(last time.Time) bool { return at.After(last) })
}

// check notes a confirmation by renew. Renewals may be answered in another order than they
// were sent.
func (t *Term) check(c confirmation) {
	advance(&t.checked, c, func(last confirmation) bool { return c.boot > last.boot })
	t.confirm(c.at)
}

// advance stores a value if it is newer than the one that is stored.
func advance[T any](latest *atomic.Pointer[T], value T, isNewerThan func(last T) bool) {
	for {
		last := latest.Load()
		if (last != nil && !isNewerThan(*last)) || latest.CompareAndSwap(last, &value) {
			return
		}
	}
}

// serve runs the owner's duties, and renews the presence key, until the term ends.
func (t *Term) serve() {
	defer t.end()
	fields := recorder.Fields{
		"part": strconv.Itoa(t.Owner.Part), "fence": strconv.FormatInt(t.Owner.Fence, 10),
		"generation": strconv.FormatInt(t.Owner.Generation, 10),
	}
	t.e.opts.Recorder.Record(time.Now(), EventElected, fields)
	var renewal sync.WaitGroup
	renewal.Go(t.renew)
	t.e.opts.Serve(t.ctx, t)
	t.end()
	renewal.Wait()
	if t.hasResigned.Load() {
		t.revokePresence()
	}
	t.e.opts.Recorder.Record(time.Now(), EventTermEnded, fields)
}

// revokePresence revokes the lease of the presence key, which is not renewed any more.
func (t *Term) revokePresence() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), callTimeout)
	defer cancel()
	if err := t.e.opts.Store.Revoke(ctx, t.lease.Load()); err != nil {
		t.e.recordFailure("revoke the lease of the presence key", err)
	}
}

// renew renews the lease of the presence key and confirms the owner record at regular
// intervals, until the term ends.
//
// Load: a store that loses answers or renewals. The lease would end if the next renewal
// waited for the timeout of one that is lost.
func (t *Term) renew() {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	for pauser.Sleep(t.ctx, renewInterval) {
		renewals.Go(t.renewOnce)
	}
}

// renewOnce renews the lease of the presence key and confirms the owner record. It ends the
// term if the owner record names another owner, or could not be confirmed for
// MaxUnconfirmed.
func (t *Term) renewOnce() {
	startBoot := clocker.SinceBoot()
	start := confirmation{at: time.Now(), boot: startBoot}
	err := t.keepPresence()
	if err == nil {
		err = t.checkRecord()
	}
	switch {
	case t.ctx.Err() != nil:
	case err == nil:
		t.check(start)
	case t.unconfirmedFor() > MaxUnconfirmed:
		t.Depose(time.Now(), "the owner record could not be confirmed")
	case errors.Is(err, errReplaced):
		t.Depose(time.Now(), err.Error())
	default:
		t.e.recordFailure("renew the presence key or read the owner record", err)
	}
}

// errReplaced is returned if the owner record names another daemon.
var errReplaced = errors.New("the owner record names another owner")

// checkRecord reads the owner record and returns errReplaced if it names another owner.
// A successful renewal of the lease is no proof of ownership: the store may have
// removed the presence key although its lease is alive.
func (t *Term) checkRecord() error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	record := RecordKey(t.Owner.Part)
	items, revision, err := t.e.opts.Store.List(ctx, record)
	if err != nil {
		return err
	}
	if len(items) == 0 || items[0].Key != record {
		return transactor.ErrNotFound
	}
	if items[0].Revision != t.Owner.Fence {
		return errReplaced
	}
	t.noteHeld(revision)
	return nil
}

// RecordSettled stores that every owner before this term has ended, so that a successor
// need only wait for this one. It tries until it succeeds or the term ends.
func (t *Term) RecordSettled() {
	if t.Owner.isSettled() {
		return
	}
	for t.ctx.Err() == nil {
		err := t.writeSettled()
		switch {
		case err == nil || t.ctx.Err() != nil:
			return
		case errors.Is(err, errReplaced):
			t.Depose(time.Now(), err.Error())
		default:
			t.e.recordFailure("write the settled key", err)
			pauser.Sleep(t.ctx, retryDelay)
		}
	}
}

// writeSettled writes the settled key, or returns errReplaced if the owner record names
// another owner.
func (t *Term) writeSettled() error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	fence := strconv.FormatInt(t.Owner.Fence, 10)
	_, err := t.e.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: RecordKey(t.Owner.Part), Revision: t.Owner.Fence}},
		Writes:     []transactor.Write{{Key: settledKey(t.Owner.Part), Value: []byte(fence)}},
	})
	var conflict *transactor.ConflictError
	if errors.As(err, &conflict) {
		return errReplaced
	}
	return err
}

// keepPresence renews the lease of the presence key. If the lease has ended, it writes the
// key again under a new lease, until it is known that such a write was carried out.
func (t *Term) keepPresence() (err error) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	kept := t.lease.Load()
	err = t.e.opts.Store.KeepAlive(ctx, kept)
	hasEnded := errors.Is(err, transactor.ErrNotFound)
	if !hasEnded && (err != nil || !t.isUnwritten.Load()) {
		return err
	}
	if !t.replacing.TryLock() {
		return nil // another renewal writes the key
	}
	defer t.replacing.Unlock()
	if t.lease.Load() != kept || !hasEnded && !t.isUnwritten.Load() {
		return nil // another renewal has replaced the lease or written the key
	}
	if hasEnded {
		lease, err := t.e.opts.Store.Grant(ctx, presenceTTL)
		if err != nil {
			return err
		}
		t.isUnwritten.Store(true)
		t.lease.Store(lease)
	}
	if err := t.writePresence(ctx, t.lease.Load()); err != nil {
		return err
	}
	t.isUnwritten.Store(false)
	return nil
}

// writePresence writes the presence key under a lease, or returns errReplaced if the owner
// record names another owner.
func (t *Term) writePresence(ctx context.Context, lease int64) error {
	record, presence := RecordKey(t.Owner.Part), presenceKey(t.Owner.Part)
	mark := presenceMark(t.e.opts.Instance, lease)
	_, err := t.e.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: record, Revision: t.Owner.Fence}, {Key: presence}},
		Writes:     []transactor.Write{{Key: presence, Value: mark, Lease: lease}},
	})
	var conflict *transactor.ConflictError
	switch {
	case !errors.As(err, &conflict):
		return err
	case conflict.Find(record).Revision != t.Owner.Fence:
		return errReplaced
	case bytes.Equal(conflict.Find(presence).Value, mark):
		return nil // an earlier write was carried out
	default:
		return err
	}
}

// Owned returns the records of the parts that this daemon owns.
func (e *Elector) Owned() (owned []Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.parts {
		if term := e.parts[i].term; term != nil {
			owned = append(owned, term.Owner)
		}
	}
	return owned
}

// ownedCount returns the number of parts that this daemon owns.
func (e *Elector) ownedCount() int { return len(e.Owned()) }
