package conductor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// Times of calls to the store.
const (
	// saveEvery gathers changes for one transaction.
	saveEvery = 70 * time.Millisecond
	// saveTimeout bounds one transaction.
	saveTimeout = 1500 * time.Millisecond
	// saveRetry is the pause after a failed transaction.
	saveRetry = 150 * time.Millisecond
	// loadTimeout bounds the reading of all records.
	loadTimeout = 4 * time.Second
	// followFor is how long a watch of the submissions waits.
	followFor = 3 * time.Second
	// followPause gathers changes: peers report submissions faster.
	followPause = time.Second
)

// recordsPerSave leaves room for the condition on the owner's record: each
// record takes a condition and a write.
const recordsPerSave = (transactor.MaxEntries - 1) / 2

// load reads all submissions and what is durable of their runs.
func (c *Conductor) load(ctx context.Context) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load records: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	notes, _, err := c.opts.Store.List(ctx, c.keys.progress)
	if err != nil {
		return 0, err
	}
	work, revision, err := c.opts.Store.List(ctx, c.keys.work)
	if err != nil {
		return 0, err
	}
	expected, err := c.loadRoster(ctx)
	if err != nil {
		return 0, err
	}
	progress := make(map[string]*submitter.Progress, len(notes))
	for _, item := range notes {
		id := strings.TrimPrefix(item.Key, c.keys.progress)
		c.revs[id] = item.Revision
		p, err := submitter.DecodeProgress(item.Value)
		if err != nil {
			c.recordFault(item.Key, err)
			continue
		}
		progress[id] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recall(ctx)
	c.table.ExpectRunners(expected)
	c.takeWork(work, progress, time.Now())
	return revision, nil
}

// takeWork enters submissions and cancellations into the table.
func (c *Conductor) takeWork(items []transactor.Item, progress map[string]*submitter.Progress, now time.Time) {
	for _, item := range items {
		if strings.HasSuffix(item.Key, cancelSuffix) {
			continue
		}
		sub, err := submitter.Decode(item.Value)
		if err != nil {
			c.recordFault(item.Key, err)
			continue
		}
		c.table.Add(sub, progress[sub.ID], now)
	}
	for _, item := range items {
		if id, ok := strings.CutSuffix(strings.TrimPrefix(item.Key, c.keys.work), cancelSuffix); ok {
			c.table.Cancel(id, now)
		}
	}
}

func (c *Conductor) recordFault(key string, err error) {
	c.opts.Recorder.Record(time.Now(), EventRecordUnreadable, recorder.Fields{"key": key, "error": err.Error()})
}

// follow learns of submissions and cancellations whose daemon could not report
// them.
func (c *Conductor) follow(revision int64) {
	for pauser.Sleep(c.ctx, followPause) {
		ctx, cancel := context.WithTimeout(c.ctx, followFor+saveTimeout)
		events, next, err := c.opts.Store.Watch(ctx, c.keys.work, revision, followFor)
		cancel()
		switch {
		case err == nil:
			revision = next
			items := make([]transactor.Item, 0, len(events))
			for _, event := range events {
				if !event.Deleted {
					items = append(items, event.Item)
				}
			}
			if len(items) > 0 {
				c.apply(func(_ *dispatcher.Table, now time.Time) { c.takeWork(items, nil, now) })
			}
		case errors.Is(err, transactor.ErrCompacted):
			revision = c.reload(revision)
		default:
			c.storeFailed("watch submissions", err)
		}
	}
}

// reload reads all submissions again after the store has lost its history.
func (c *Conductor) reload(revision int64) int64 {
	ctx, cancel := context.WithTimeout(c.ctx, loadTimeout)
	defer cancel()
	items, next, err := c.opts.Store.List(ctx, c.keys.work)
	if err != nil {
		c.storeFailed("list submissions", err)
		return revision
	}
	c.apply(func(_ *dispatcher.Table, now time.Time) { c.takeWork(items, nil, now) })
	return next
}

func (c *Conductor) storeFailed(action string, err error) {
	if c.ctx.Err() == nil {
		c.opts.Recorder.Record(time.Now(), EventStoreFailed, recorder.Fields{"action": action, "error": err.Error()})
	}
}

// save writes changed progress, many submissions in one transaction.
func (c *Conductor) save() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.unsaved:
		}
		for pauser.Sleep(c.ctx, saveEvery) {
			if more := c.saveSome(); !more {
				break
			}
		}
	}
}

// saveSome writes one transaction and reports whether more is to be written.
func (c *Conductor) saveSome() (more bool) {
	c.mu.Lock()
	records := c.table.Unsaved(recordsPerSave)
	c.mu.Unlock()
	if len(records) == 0 {
		return false
	}
	err := c.write(records)
	failed := err != nil
	c.apply(func(t *dispatcher.Table, _ time.Time) {
		if failed {
			t.SaveFailed(records)
		} else {
			t.Saved(records)
		}
	})
	if failed {
		c.storeFailed("save progress", err)
		pauser.Sleep(c.ctx, saveRetry)
		return true
	}
	c.signalSaved()
	return true
}

// write makes records durable. The conditions refuse the write of a deposed
// owner, and one that is carried out late after a newer one.
func (c *Conductor) write(records []dispatcher.Record) (err error) {
	txn := transactor.Transaction{Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}}}
	for _, rec := range records {
		value, err := rec.Progress.Encode()
		if err != nil {
			return err
		}
		key := c.keys.Progress(rec.ID)
		txn.Conditions = append(txn.Conditions, transactor.Condition{Key: key, Revision: c.revs[rec.ID]})
		txn.Writes = append(txn.Writes, transactor.Write{Key: key, Value: value})
	}
	ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
	defer cancel()
	revision, err := c.opts.Store.Commit(ctx, txn)
	var conflict *transactor.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Find(c.opts.OwnerKey).Revision != c.opts.Fence {
			c.opts.Deposed("the record names another owner")
			return err
		}
		for _, rec := range records {
			c.revs[rec.ID] = conflict.Find(c.keys.Progress(rec.ID)).Revision
		}
		return err
	}
	if err != nil {
		return err
	}
	for _, rec := range records {
		c.revs[rec.ID] = revision
	}
	return nil
}

func (c *Conductor) savedSignal() <-chan struct{} {
	c.savedMu.Lock()
	defer c.savedMu.Unlock()
	return c.saved
}

func (c *Conductor) signalSaved() {
	c.savedMu.Lock()
	defer c.savedMu.Unlock()
	close(c.saved)
	c.saved = make(chan struct{})
}

// Bounds of deleting records.
const (
	// cleanEvery is the pause between deletions.
	cleanEvery = 5 * time.Second
	// cleanedAtOnce leaves room for three keys a submission.
	cleanedAtOnce = (transactor.MaxEntries - 1) / 3
)

// clean deletes the records of submissions that ended long ago, so that a new
// owner does not have to read them.
func (c *Conductor) clean() {
	for pauser.Sleep(c.ctx, cleanEvery) {
		c.mu.Lock()
		ids := c.table.Expired(cleanedAtOnce, time.Now())
		c.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		txn := transactor.Transaction{Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}}}
		for _, id := range ids {
			txn.Deletes = append(txn.Deletes, c.keys.Work(id), c.keys.Cancel(id), c.keys.Progress(id))
		}
		ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
		_, err := c.opts.Store.Commit(ctx, txn)
		cancel()
		if err != nil {
			c.storeFailed("delete old records", err)
			continue
		}
		c.apply(func(t *dispatcher.Table, _ time.Time) { t.Forget(ids) })
	}
}
