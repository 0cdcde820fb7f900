package keyvalue

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// watchPoll is the interval at which an open watch of the fake checks for lapsed leases and for
// delayed writes that are due.
const watchPoll = 20 * time.Millisecond

var (
	errOutage       = errors.New("outage")
	errResponseLost = errors.New("response lost")
	errRequestLost  = errors.New("request lost")
)

// A Fake is an in-process storer.Store with injected faults.
type Fake struct {
	table    *Table
	injector *faultInjector
	clock    atomic.Pointer[func() time.Time]
}

var _ storer.Store = (*Fake)(nil)

// NewFake returns an empty store without faults.
func NewFake() *Fake {
	fake := &Fake{table: NewTable(), injector: newFaultInjector()}
	fake.SetClock(time.Now)
	return fake
}

// SetClock replaces the clock that drives the expiry of leases and the delayed writes.
func (f *Fake) SetClock(clock func() time.Time) { f.clock.Store(&clock) }

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) { f.injector.set(f.now(), faults, f.table) }

// Faults returns the present faults.
func (f *Fake) Faults() Faults {
	faults, _ := f.injector.get()
	return faults
}

// Counts returns the counters of the calls since the fake was created.
func (f *Fake) Counts() Counts { return f.injector.snapshot() }

// Table returns the underlying table, which tests can read during an outage too.
func (f *Fake) Table() *Table { return f.table }

// Get implements storer.Store.
func (f *Fake) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := f.admitRead(ctx, "get"); err != nil {
		return storer.Entry{}, err
	}
	entry, _, ok := f.table.Get(f.now(), key)
	if !ok {
		return storer.Entry{}, errs.ErrNotFound
	}
	return entry, nil
}

// List implements storer.Store.
func (f *Fake) List(ctx context.Context, prefix string) (storer.Listing, error) {
	if err := f.admitRead(ctx, "list"); err != nil {
		return storer.Listing{}, err
	}
	return f.table.Range(f.now(), prefix, storer.PrefixEnd(prefix)), nil
}

// CompareAndSwap implements storer.Store.
func (f *Fake) CompareAndSwap(ctx context.Context, swap storer.Swap) (storer.Revision, error) {
	var revision storer.Revision // Not a result: a delayed write sets it after the return.
	err := f.applyWrite(ctx, "compare-and-swap", func(now time.Time) error {
		outcome := f.table.Apply(now, Transaction{
			Conditions: []Condition{{Key: swap.Key, Target: TargetModified, Equals: int64(swap.Expected)}},
			Puts:       []Put{{Key: swap.Key, Value: swap.Value, Lease: swap.Lease}},
		})
		if outcome.MissingLease {
			return errs.ErrNotFound
		}
		if !outcome.Applied {
			return errs.ErrConflict
		}
		revision = outcome.Revision
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements storer.Store.
func (f *Fake) Delete(ctx context.Context, key string, expected storer.Revision) error {
	return f.applyWrite(ctx, "delete", func(now time.Time) error {
		outcome := f.table.Apply(now, Transaction{
			Conditions: []Condition{{Key: key, Target: TargetModified, Equals: int64(expected)}},
			Removals:   []Removal{{From: key}},
		})
		if !outcome.Applied {
			return errs.ErrConflict
		}
		return nil
	})
}

// DeleteRange implements storer.Store.
func (f *Fake) DeleteRange(ctx context.Context, from, to string) error {
	return f.applyWrite(ctx, "delete range", func(now time.Time) error {
		f.table.Apply(now, Transaction{Removals: []Removal{{From: from, To: to}}})
		return nil
	})
}

// Grant implements storer.Store.
func (f *Fake) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	var id storer.LeaseID // Not a result: a delayed write sets it after the return.
	err := f.applyWrite(ctx, "grant", func(now time.Time) error {
		id = f.table.Grant(now, ttl)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements storer.Store.
func (f *Fake) KeepAlive(ctx context.Context, id storer.LeaseID) (time.Duration, error) {
	var ttl time.Duration // Not a result: a delayed write sets it after the return.
	f.injector.count(func(c *Counts) { c.KeepAlives++ })
	err := f.applyWrite(ctx, "keep-alive", func(now time.Time) error {
		found, ok := f.table.KeepAlive(now, id)
		if !ok {
			return errs.ErrNotFound
		}
		ttl = found
		return nil
	})
	if err != nil {
		return 0, err
	}
	return ttl, nil
}

// Revoke implements storer.Store.
func (f *Fake) Revoke(ctx context.Context, id storer.LeaseID) error {
	return f.applyWrite(ctx, "revoke", func(now time.Time) error {
		if !f.table.Revoke(now, id) {
			return errs.ErrNotFound
		}
		return nil
	})
}

// Watch implements storer.Store.
func (f *Fake) Watch(ctx context.Context, prefix string, after storer.Revision, deliver func([]storer.Event)) error {
	if err := f.admit(ctx, "watch"); err != nil {
		return err
	}
	err := f.follow(ctx, prefix, storer.PrefixEnd(prefix), after, func(events []storer.Event, _ storer.Revision) error {
		deliver(events)
		return nil
	})
	if errors.Is(err, errs.ErrNotFound) {
		return err
	}
	return &errs.StoreUnavailableError{Op: "watch", Cause: err}
}

// follow delivers the changes to the keys in [from, to) after a revision, in batches. Each batch
// comes with the revision up to which all changes have then been delivered. It returns
// errs.ErrNotFound if changes after the revision have been compacted, and otherwise ends with an
// error once the context ends, an outage begins or a delivery fails.
func (f *Fake) follow(ctx context.Context, from, to string, after storer.Revision, deliver func([]storer.Event, storer.Revision) error) error {
	f.injector.count(func(c *Counts) { c.Watches++; c.WatchesWaiting++ })
	defer f.injector.count(func(c *Counts) { c.WatchesWaiting-- })
	poll := time.NewTicker(watchPoll)
	defer poll.Stop()
	for {
		faults, faultsChanged := f.injector.get()
		if faults.Outage {
			return errOutage
		}
		f.injector.applyDue(f.now())
		events, reached, changed, ok := f.table.Since(f.now(), from, to, after)
		if !ok {
			return errs.ErrNotFound
		}
		after = max(after, reached)
		if len(events) > 0 {
			if err := deliver(events, reached); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-faultsChanged:
		case <-changed:
		case <-poll.C:
		}
	}
}

// admitRead admits a read as admit does, and counts the read.
func (f *Fake) admitRead(ctx context.Context, op string) error {
	if err := f.admit(ctx, op); err != nil {
		return err
	}
	f.injector.count(func(c *Counts) { c.Reads++ })
	return nil
}

// applyWrite applies a write once it is admitted, with the faults drawn for it. It returns an
// UnknownOutcomeError if the faults lose the request or the response, or delay the write.
func (f *Fake) applyWrite(ctx context.Context, op string, apply func(now time.Time) error) error {
	if err := f.admit(ctx, op); err != nil {
		return err
	}
	switch f.injector.drawEffect() {
	case effectRequestLost:
		return &errs.UnknownOutcomeError{Op: op, Cause: errRequestLost}
	case effectResponseLost:
		_ = apply(f.now())
		return &errs.UnknownOutcomeError{Op: op, Cause: errResponseLost}
	case effectDelayed:
		f.injector.postpone(f.now(), func(now time.Time) { _ = apply(now) })
		return &errs.UnknownOutcomeError{Op: op, Cause: errResponseLost}
	default:
		return apply(f.now())
	}
}

// admit waits for the injected delay and fails during an outage.
func (f *Fake) admit(ctx context.Context, op string) error {
	faults, _ := f.injector.get()
	if faults.DelayMillis > 0 {
		sleep(ctx, time.Duration(faults.DelayMillis)*time.Millisecond)
	}
	for faults, changed := f.injector.get(); faults.Outage && faults.Hang && ctx.Err() == nil; faults, changed = f.injector.get() {
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	if ctx.Err() != nil {
		return &errs.StoreUnavailableError{Op: op, Cause: ctx.Err()}
	}
	f.injector.applyDue(f.now())
	if faults, _ := f.injector.get(); faults.Outage {
		f.injector.count(func(c *Counts) { c.Refused++ })
		return &errs.StoreUnavailableError{Op: op, Cause: errOutage}
	}
	return nil
}

// now returns the present time of the fake.
func (f *Fake) now() time.Time { return (*f.clock.Load())() }

// sleep waits until a delay has passed or the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
