package conductor

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times of writing records.
const (
	// saveDelay lets changes accumulate so that one transaction writes them.
	saveDelay = 70 * time.Millisecond
	// saveTimeout is the timeout of one small transaction.
	saveTimeout = 1500 * time.Millisecond
	// saveRetryDelay is the pause after a failed transaction.
	saveRetryDelay = 150 * time.Millisecond
)

const (
	// recordsPerSave is the number of progress records in one transaction: each takes a
	// condition and a write, and one entry remains for the condition on the owner record.
	recordsPerSave = (transactor.MaxEntries - 1) / 2
	// bytesPerSave is the size of the records from which on they are split over several
	// transactions.
	bytesPerSave = 128 << 10
	// saveBytesPerSecond is the least speed of a connection to the store. Large transactions
	// have that much longer.
	saveBytesPerSecond = 128 << 10
)

// An encodedRecord is a progress record in its stored form.
type encodedRecord struct {
	dispatcher.Record
	value []byte
}

// save writes changed progress to the store whenever there is some.
func (c *Conductor) save() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.unsaved:
		}
		for pauser.Sleep(c.ctx, saveDelay) {
			if more := c.saveDirty(); !more {
				break
			}
		}
	}
}

// saveDirty writes the progress that has waited longest, and reports whether there may be more
// to write.
func (c *Conductor) saveDirty() (more bool) {
	c.mu.Lock()
	records := c.table.Unsaved(recordsPerSave)
	c.mu.Unlock()
	var batch []encodedRecord
	size := 0
	for _, rec := range records {
		value, err := rec.Progress.Encode()
		if err != nil {
			c.failRefused(encodedRecord{Record: rec}, err)
			continue
		}
		if size += len(value); size > bytesPerSave && len(batch) > 0 {
			c.saveBatch(batch)
			batch, size = nil, len(value)
		}
		batch = append(batch, encodedRecord{rec, value})
	}
	if len(batch) > 0 {
		c.saveBatch(batch)
	}
	return len(records) > 0
}

// saveBatch writes records in one transaction, or in several if the store refuses it: a record
// that the store does not take must not keep others from being saved.
func (c *Conductor) saveBatch(batch []encodedRecord) {
	err := c.write(batch)
	var refused *transactor.RefusedError
	if errors.As(err, &refused) {
		if half := len(batch) / 2; half > 0 {
			c.saveBatch(batch[:half])
			c.saveBatch(batch[half:])
			return
		}
		if c.failRefused(batch[0], err) {
			return
		}
	}
	records := make([]dispatcher.Record, len(batch))
	for i, rec := range batch {
		records[i] = rec.Record
	}
	if err != nil {
		c.apply(func(t *dispatcher.Table, _ time.Time) { t.SaveFailed(records) })
		c.noteStoreFailure("save progress", err)
		pauser.Sleep(c.ctx, saveRetryDelay)
		return
	}
	c.apply(func(t *dispatcher.Table, _ time.Time) { t.Saved(records) })
	c.signalSaved()
}

// failRefused fails a submission whose progress the store refuses, and reports whether the
// store has taken that. A store that refuses this, too, does so for another reason.
func (c *Conductor) failRefused(rec encodedRecord, cause error) (done bool) {
	if rec.Progress.State.IsFinal() {
		return false
	}
	failed := &submitter.Progress{State: submitter.Failed, Moves: rec.Progress.Moves}
	value, err := failed.Encode()
	if err != nil {
		return false
	}
	if err = c.write([]encodedRecord{{dispatcher.Record{ID: rec.ID, Progress: failed}, value}}); err != nil {
		return false
	}
	c.opts.Recorder.Record(time.Now(), EventRecordRefused, recorder.Fields{
		"id": rec.ID, "bytes": strconv.Itoa(len(rec.value)), "error": cause.Error(),
	})
	c.opts.Metrics.refused.Add(1)
	c.apply(func(t *dispatcher.Table, now time.Time) { t.FailRefused(rec.ID, now) })
	c.signalSaved()
	return true
}

// write stores progress records. The conditions of the transaction reject the write
// of a deposed owner, and a delayed write that would overwrite a newer one.
func (c *Conductor) write(records []encodedRecord) error {
	txn := transactor.Transaction{Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}}}
	size := 0
	c.mu.Lock()
	for _, rec := range records {
		key := c.keys.Progress(rec.ID)
		txn.Conditions = append(txn.Conditions, transactor.Condition{Key: key, Revision: c.revs[rec.ID]})
		txn.Writes = append(txn.Writes, transactor.Write{Key: key, Value: rec.value})
		size += len(rec.value)
	}
	c.mu.Unlock()
	timeout := saveTimeout + time.Duration(size)*time.Second/saveBytesPerSecond
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	revision, err := c.opts.Store.Commit(ctx, txn)
	var conflict *transactor.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Find(c.opts.OwnerKey).Revision != c.opts.Fence {
			c.opts.OnDeposed("the owner record names another owner")
			return err
		}
		c.setRevisions(records, func(rec encodedRecord) int64 { return conflict.Find(c.keys.Progress(rec.ID)).Revision })
		return err
	}
	if err != nil {
		return err
	}
	c.setRevisions(records, func(encodedRecord) int64 { return revision })
	return nil
}

// setRevisions notes the store revisions of progress records.
func (c *Conductor) setRevisions(records []encodedRecord, revision func(rec encodedRecord) int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rec := range records {
		c.revs[rec.ID] = revision(rec)
	}
}

// savedSignal returns a channel that is closed after the next save.
func (c *Conductor) savedSignal() <-chan struct{} {
	c.savedMu.Lock()
	defer c.savedMu.Unlock()
	return c.saved
}

// signalSaved closes the channel that savedSignal has returned.
func (c *Conductor) signalSaved() {
	c.savedMu.Lock()
	defer c.savedMu.Unlock()
	close(c.saved)
	c.saved = make(chan struct{})
}
