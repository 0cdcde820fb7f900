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

// Times of reading records.
const (
	// loadTimeout is the timeout for reading all records.
	loadTimeout = 4 * time.Second
	// watchWait is how long a watch of the submissions waits for a change.
	watchWait = 3 * time.Second
	// watchInterval is the pause between watches, in which changes accumulate. It
	// may be long, because peers usually report submissions before the watch does.
	watchInterval = time.Second
)

// load reads all submissions of the part with their progress, and the former owner's
// roster and memory. It returns the revision from which to watch the submissions.
func (c *Conductor) load(ctx context.Context) (revision int64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load records: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	progressItems, _, err := c.opts.Store.List(ctx, c.keys.progress)
	if err != nil {
		return 0, err
	}
	items, revision, err := c.opts.Store.List(ctx, c.keys.submissions)
	if err != nil {
		return 0, err
	}
	progress := make(map[string]*submitter.Progress, len(progressItems))
	for _, item := range progressItems {
		id := strings.TrimPrefix(item.Key, c.keys.progress)
		c.revs[id] = item.Revision
		p, err := submitter.DecodeProgress(item.Value)
		if err != nil {
			c.noteUnreadable(item.Key, err)
			continue
		}
		progress[id] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err = c.loadRoster(ctx); err != nil {
		return 0, err
	}
	if err = c.loadMemory(ctx); err != nil {
		return 0, err
	}
	c.addSubmissions(items, progress, time.Now())
	return revision, nil
}

// addSubmissions adds stored submissions and cancellations to the table.
func (c *Conductor) addSubmissions(items []transactor.Item, progress map[string]*submitter.Progress, now time.Time) {
	for _, item := range items {
		if strings.HasSuffix(item.Key, cancelSuffix) {
			continue
		}
		if _, isForward, _ := submitter.DecodeForward(item.Value); isForward {
			continue
		}
		sub, err := submitter.Decode(item.Value)
		if err != nil {
			c.noteUnreadable(item.Key, err)
			continue
		}
		c.table.Add(sub, progress[sub.ID], now)
	}
	for _, item := range items {
		if id, ok := strings.CutSuffix(strings.TrimPrefix(item.Key, c.keys.submissions), cancelSuffix); ok {
			c.table.Cancel(id, now)
		}
	}
}

// noteUnreadable records an event about a value of the store that can't be read,
// decoded or encoded.
func (c *Conductor) noteUnreadable(key string, err error) {
	c.opts.Recorder.Record(time.Now(), EventRecordUnreadable, recorder.Fields{"key": key, "error": err.Error()})
}

// follow watches the store for submissions and cancellations that the daemon which
// accepted them could not report to this owner.
func (c *Conductor) follow(revision int64) {
	for pauser.Sleep(c.ctx, watchInterval) {
		ctx, cancel := context.WithTimeout(c.ctx, watchWait+saveTimeout)
		events, next, err := c.opts.Store.Watch(ctx, c.keys.submissions, revision, watchWait)
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
				c.apply(func(_ *dispatcher.Table, now time.Time) { c.addSubmissions(items, nil, now) })
			}
		case errors.Is(err, transactor.ErrCompacted):
			revision = c.reload(revision)
		default:
			c.noteStoreFailure("watch submissions", err)
		}
	}
}

// reload reads all submissions again after the store has compacted the history
// that the watch needs. It returns the revision to watch from.
func (c *Conductor) reload(revision int64) int64 {
	ctx, cancel := context.WithTimeout(c.ctx, loadTimeout)
	defer cancel()
	items, next, err := c.opts.Store.List(ctx, c.keys.submissions)
	if err != nil {
		c.noteStoreFailure("list submissions", err)
		return revision
	}
	c.apply(func(_ *dispatcher.Table, now time.Time) { c.addSubmissions(items, nil, now) })
	return next
}

// noteStoreFailure records an event about a failed call to the store, unless the term has
// ended.
func (c *Conductor) noteStoreFailure(action string, err error) {
	if c.ctx.Err() == nil {
		c.opts.Recorder.Record(time.Now(), EventStoreFailed, recorder.Fields{"action": action, "error": err.Error()})
	}
}

// Limits of deleting records.
const (
	// cleanupInterval is the pause between deletions, and cleanupPause the one after a
	// deletion that has left more to delete.
	cleanupInterval = 5 * time.Second
	cleanupPause    = 250 * time.Millisecond
	// maxDeletedSubmissions is the number of submissions that one transaction
	// deletes, with up to four keys for each.
	maxDeletedSubmissions = (transactor.MaxEntries - 1) / 4
)

// deleteExpired deletes the records of submissions that ended long ago, so that a
// new owner does not have to read them.
func (c *Conductor) deleteExpired() {
	pause := cleanupInterval
	for pauser.Sleep(c.ctx, pause) {
		pause = cleanupInterval
		c.mu.Lock()
		ids := c.table.Expired(maxDeletedSubmissions, time.Now())
		var keys []string
		for _, id := range ids {
			keys = append(keys, c.keys.Submission(id), c.keys.Cancellation(id), c.keys.Progress(id))
			if home, hasMoved := c.table.Home(id); hasMoved && home != c.opts.Part {
				keys = append(keys, KeysOf(home).Submission(id))
			}
		}
		c.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		txn := transactor.Transaction{Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}}, Deletes: keys}
		ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
		_, err := c.opts.Store.Commit(ctx, txn)
		cancel()
		if err != nil {
			c.noteStoreFailure("delete old records", err)
			continue
		}
		c.apply(func(t *dispatcher.Table, _ time.Time) {
			t.Forget(ids)
			for _, id := range ids {
				delete(c.revs, id)
			}
		})
		if len(ids) == maxDeletedSubmissions {
			pause = cleanupPause
		}
	}
}
