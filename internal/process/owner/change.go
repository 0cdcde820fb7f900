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

// errLapsed reports a partition that was acquired while the lease lapsed.
var errLapsed = errors.New("the lease lapsed meanwhile")

// start decides on a partition and carries the action out in a worker. A
// partition has one action at a time.
func (o *Owner) start(ctx context.Context, p Partition, v view) {
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
		delete(o.holdings, p) // From here on Holds is false.
	}
	o.mu.Unlock()
	o.done.Go(func() {
		o.slots <- struct{}{}
		err := o.carryOut(ctx, p, act, record, held, isHeld)
		<-o.slots
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

func (o *Owner) carryOut(ctx context.Context, p Partition, act action, record Record, held holding, isHeld bool) error {
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

// acquire makes this daemon the owner of a partition.
func (o *Owner) acquire(ctx context.Context, p Partition, former Record) error {
	record, err := o.swap(ctx, p, former.Revision, o.own())
	if err != nil {
		return err
	}
	if lease := o.settings.Group.Lease(); lease.Incarnation != record.Incarnation || !lease.Holds(time.Now()) {
		return errLapsed // The next step acquires it under the next incarnation.
	}
	clean := former.Revision == 0 || former.Owner == "" && former.Clean
	var acquiredAt time.Time
	if !clean {
		acquiredAt = time.Now()
	}
	o.mu.Lock()
	o.holdings[p] = holding{record: record, acquiredAt: acquiredAt}
	o.mu.Unlock()
	o.note(EventAcquired, p, record, "clean", strconv.FormatBool(clean))
	if o.settings.OnAcquire != nil {
		o.settings.OnAcquire(p, record.Epoch)
	}
	return nil
}

// takeOver replaces an owner that is gone.
func (o *Owner) takeOver(ctx context.Context, p Partition, former Record) error {
	if o.settings.Evictor != nil {
		if err := o.settings.Evictor.Evict(ctx, former.Owner, former.Incarnation); err != nil {
			return eris.Wrapf(err, "evicting %s", former.Owner)
		}
	}
	o.settings.Recorder.Record(time.Now(), EventTakeover, recorder.Fields{
		"partition":   string(p),
		"daemon":      former.Owner,
		"incarnation": strconv.FormatInt(former.Incarnation, 10),
	})
	return o.acquire(ctx, p, former)
}

// renew carries a partition over to a new incarnation of this process. The
// epoch stays, because no other daemon can have owned the partition since.
func (o *Owner) renew(ctx context.Context, p Partition, held holding) error {
	next := o.own()
	next.Epoch = held.record.Epoch
	record, err := o.swap(ctx, p, held.record.Revision, next)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.holdings[p] = holding{record: record, acquiredAt: held.acquiredAt}
	o.mu.Unlock()
	o.note(EventRenewed, p, record, "", "")
	return nil
}

// release gives a partition up. The callback has returned before the record
// says so.
func (o *Owner) release(ctx context.Context, p Partition, record Record, held holding, isHeld bool) error {
	if isHeld {
		if err := o.checkStored(ctx, p, held); err != nil {
			return err
		}
		if o.settings.OnLose != nil {
			o.settings.OnLose(p, ReasonHandover)
		}
		o.mu.Lock()
		delete(o.holdings, p)
		o.mu.Unlock()
		record = held.record
	}
	released, err := o.swap(ctx, p, record.Revision, Record{Clean: isHeld})
	if err != nil {
		return err
	}
	o.note(EventReleased, p, released, "reason", string(ReasonHandover))
	return nil
}

// checkStored returns an error unless the store answers and shows the record
// of a holding. A handover that begins while the store is out would leave the
// partition without an owner until it is back. A daemon that stops doesn't ask:
// it gives up everything anyway.
func (o *Owner) checkStored(ctx context.Context, p Partition, held holding) (err error) {
	defer func() { err = eris.Wrapf(err, "reading the owner record of %s", p) }()
	o.mu.Lock()
	leaving := o.leaving
	o.mu.Unlock()
	if leaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	entry, err := o.settings.Store.Get(ctx, Key(p))
	if err == nil && entry.Revision != held.record.Revision {
		return errs.ErrConflict
	}
	return err
}

// drop ends a holding that this daemon may not use any more.
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
	o.note(EventReleased, p, held.record, "reason", string(reason))
}

// own returns a record that names this daemon.
func (o *Owner) own() Record {
	identity := o.settings.Group.Identity()
	return Record{
		Owner:       identity.Daemon,
		Address:     identity.Address,
		Incarnation: o.settings.Group.Lease().Incarnation,
		Token:       o.token,
	}
}

// swap writes an owner record and resolves an unknown outcome by reading back.
func (o *Owner) swap(ctx context.Context, p Partition, expected storer.Revision, next Record) (written Record, err error) {
	defer func() { err = eris.Wrapf(err, "writing the owner record of %s", p) }()
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
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
	o.remember(p, written)
	o.mu.Unlock()
	return written, nil
}

// readBack returns the revision of a record if it is of the given attempt.
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

func (o *Owner) note(number recorder.Number, p Partition, record Record, key, value string) {
	fields := recorder.Fields{
		"partition": string(p),
		"epoch":     strconv.FormatInt(int64(record.Epoch), 10),
	}
	if key != "" {
		fields[key] = value
	}
	o.settings.Recorder.Record(time.Now(), number, fields)
}

func sortCandidates(candidates []Candidate) {
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Daemon < candidates[j].Daemon })
}
