package owner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"sort"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// errLeaseLapsed reports that this daemon's lease lapsed, or was replaced,
// during the write of the owner record.
var errLeaseLapsed = errors.New("the daemon's lease lapsed while the partition was being acquired")

// startAction decides on the action for a partition and executes it in a
// goroutine. A partition has one action at a time.
func (o *Owner) startAction(ctx context.Context, p Partition, v view) {
	o.mu.Lock()
	if o.busy[p] {
		o.mu.Unlock()
		return
	}
	act := o.decide(p, v)
	if act == actionNone {
		o.mu.Unlock()
		return
	}
	o.busy[p] = true
	record := o.records[p]
	held, isHeld := o.holdings[p]
	if act == actionDrop {
		delete(o.holdings, p) // Holds returns false from here on.
	}
	o.mu.Unlock()
	o.actions.Go(func() {
		o.actionSlots <- struct{}{}
		err := o.execute(ctx, p, act, record, held, isHeld)
		<-o.actionSlots
		o.mu.Lock()
		delete(o.busy, p)
		o.mu.Unlock()
		if err == nil {
			o.Wake()
			return
		}
		o.settings.Recorder.Record(time.Now(), EventAcquireFailed, recorder.Fields{
			"partition": string(p), "cause": err.Error(),
		})
	})
}

// execute runs the action that was decided for a partition.
func (o *Owner) execute(ctx context.Context, p Partition, act action, record Record, held holding, isHeld bool) error {
	switch act {
	case actionAcquire:
		return o.acquire(ctx, p, record)
	case actionTakeOver:
		return o.takeOver(ctx, p, record)
	case actionRenew:
		return o.renew(ctx, p, held)
	case actionRelease:
		return o.release(ctx, p, record, held, isHeld)
	case actionDrop:
		o.drop(p, held)
	}
	return nil
}

// acquire writes an owner record that names this daemon, then calls OnAcquire.
func (o *Owner) acquire(ctx context.Context, p Partition, former Record) error {
	record, err := o.writeRecord(ctx, p, former.Revision, o.ownRecord())
	if err != nil {
		return err
	}
	if lease := o.settings.Group.Lease(); lease.Incarnation != record.Incarnation || !lease.IsValid(time.Now()) {
		return errLeaseLapsed // The next step acquires the partition under the new incarnation.
	}
	clean := former.Revision == 0 || former.Owner == "" && former.Clean
	var acquiredAt time.Time
	if !clean {
		acquiredAt = time.Now()
	}
	o.mu.Lock()
	o.holdings[p] = holding{record: record, acquiredAt: acquiredAt}
	o.mu.Unlock()
	o.recordEvent(EventAcquired, p, record, "clean", strconv.FormatBool(clean))
	if o.settings.OnAcquire != nil {
		o.settings.OnAcquire(p, record.Epoch)
	}
	return nil
}

// takeOver replaces an owner that is no longer registered. It first evicts the
// former owner, which pledges may still allow to act.
func (o *Owner) takeOver(ctx context.Context, p Partition, former Record) error {
	if o.settings.Evictor != nil {
		if err := o.settings.Evictor.Evict(ctx, former.Owner, former.Incarnation); err != nil {
			return eris.Wrapf(err, "taking over from %s", former.Owner)
		}
	}
	o.settings.Recorder.Record(time.Now(), EventTakeover, recorder.Fields{
		"partition":   string(p),
		"daemon":      former.Owner,
		"incarnation": strconv.FormatInt(former.Incarnation, 10),
	})
	return o.acquire(ctx, p, former)
}

// renew rewrites the record of a held partition under this process's new
// incarnation. The epoch stays, because no other daemon can have owned the
// partition in between.
func (o *Owner) renew(ctx context.Context, p Partition, held holding) error {
	next := o.ownRecord()
	next.Epoch = held.record.Epoch
	record, err := o.writeRecord(ctx, p, held.record.Revision, next)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.holdings[p] = holding{record: record, acquiredAt: held.acquiredAt}
	o.mu.Unlock()
	o.recordEvent(EventRenewed, p, record, "", "")
	return nil
}

// release gives up a partition. OnLose returns before the owner record is
// cleared, so that the next owner can't start earlier.
func (o *Owner) release(ctx context.Context, p Partition, record Record, held holding, isHeld bool) error {
	isEnded := isHeld
	if isHeld {
		if err := o.checkStored(ctx, p, held); err != nil {
			return err
		}
		if o.settings.OnLose != nil {
			isEnded = o.settings.OnLose(p, ReasonHandover)
		}
		o.mu.Lock()
		delete(o.holdings, p)
		o.mu.Unlock()
		record = held.record
	}
	released, err := o.writeRecord(ctx, p, record.Revision, Record{Clean: isEnded})
	if err != nil {
		return err
	}
	o.recordEvent(EventReleased, p, released, "reason", string(ReasonHandover))
	return nil
}

// checkStored returns an error unless the store answers and still contains the owner
// record of a holding. A handover that begins during a store outage would leave the
// partition without an owner until the store is back. A daemon that is stopping skips
// the check, because it gives up all its partitions anyway.
func (o *Owner) checkStored(ctx context.Context, p Partition, held holding) (err error) {
	defer func() { err = eris.Wrapf(err, "reading the owner record of %s", p) }()
	o.mu.Lock()
	isLeaving := o.isLeaving
	o.mu.Unlock()
	if isLeaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := o.settings.Store.Get(ctx, Key(p))
	if err == nil && entry.Revision != held.record.Revision {
		return errs.ErrConflict
	}
	return err
}

// drop reports the loss of a partition for which this daemon may no longer act. The
// holding has already been removed.
func (o *Owner) drop(p Partition, held holding) {
	o.mu.Lock()
	reason := ReasonLapsed
	if o.records[p].Revision > held.record.Revision {
		reason = ReasonFenced
	}
	o.mu.Unlock()
	if o.settings.OnLose != nil {
		o.settings.OnLose(p, reason)
	}
	o.recordEvent(EventReleased, p, held.record, "reason", string(reason))
}

// ownRecord returns an owner record that names this daemon.
func (o *Owner) ownRecord() Record {
	identity := o.settings.Group.Identity()
	return Record{
		Owner:       identity.Daemon,
		Address:     identity.Address,
		Incarnation: o.settings.Group.Lease().Incarnation,
		Token:       o.token,
	}
}

// writeRecord writes an owner record by compare-and-swap. If the outcome of the
// write is unknown, it reads the record back.
func (o *Owner) writeRecord(ctx context.Context, p Partition, expected storer.Revision, next Record) (written Record, err error) {
	defer func() { err = eris.Wrapf(err, "writing the owner record of %s", p) }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next.Attempt = rand.Text()
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, err
	}
	revision, err := o.settings.Store.CompareAndSwap(ctx, storer.Swap{Key: Key(p), Expected: expected, Value: value})
	var unknown *errs.UnknownOutcomeError
	if errors.As(err, &unknown) {
		revision, err = o.readBack(ctx, p, next.Attempt)
	}
	if err != nil {
		return Record{}, err
	}
	written = next.WithRevision(revision)
	o.mu.Lock()
	o.keepNewest(p, written)
	o.mu.Unlock()
	return written, nil
}

// readBack returns the revision of the stored record if the given attempt wrote
// it, and ErrConflict otherwise.
func (o *Owner) readBack(ctx context.Context, p Partition, attempt string) (storer.Revision, error) {
	entry, err := o.settings.Store.Get(ctx, Key(p))
	if err != nil {
		return 0, err
	}
	_, record, err := ParseRecord(entry)
	if err != nil {
		return 0, err
	}
	if record.Attempt != attempt {
		return 0, errs.ErrConflict
	}
	return entry.Revision, nil
}

// recordEvent records an event about a partition; key and value are an
// additional field, if key is not empty.
func (o *Owner) recordEvent(number recorder.Number, p Partition, record Record, key, value string) {
	fields := recorder.Fields{
		"partition": string(p),
		"epoch":     strconv.FormatInt(int64(record.Epoch), 10),
	}
	if key != "" {
		fields[key] = value
	}
	o.settings.Recorder.Record(time.Now(), number, fields)
}

// sortCandidates sorts candidates by the names of the daemons.
func sortCandidates(candidates []Candidate) {
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Daemon < candidates[j].Daemon })
}
