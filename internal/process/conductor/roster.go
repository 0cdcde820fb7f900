package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A roster is the durable list of the runners on which tasks may be running. A new
// owner can't rely on the registry alone: it drops runners whose registration has
// expired although their processes still run tasks.
type roster struct {
	// saved holds, by ID, the runners that the stored roster names, whether or not the
	// writes that have failed are carried out late.
	saved map[string]dispatcher.RunnerInfo
	// revision is that of the stored roster, or zero if there is none.
	revision int64
	// isUncertain says that a write has failed since the last one that succeeded.
	isUncertain bool
}

// loadRoster passes the stored roster of the former owner to the table.
func (c *Conductor) loadRoster(ctx context.Context) error {
	item, err := c.opts.Store.Get(ctx, c.keys.roster)
	if errors.Is(err, transactor.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.roster.revision = item.Revision
	var infos []dispatcher.RunnerInfo
	if err := json.Unmarshal(item.Value, &infos); err != nil {
		c.noteUnreadable(c.keys.roster, err)
		c.table.ExpectOtherRunners()
		return nil
	}
	c.roster.set(infos, item.Revision)
	c.table.ExpectRunners(infos)
	return nil
}

// updateRoster stores the roster of a table that gets a new list of runners, if the table may
// do so. It returns those of the list that may be used: the ones on the stored roster, and
// draining ones.
func (c *Conductor) updateRoster(listed []dispatcher.RunnerInfo) []dispatcher.RunnerInfo {
	c.mu.Lock()
	now := time.Now()
	wanted, mayStore := c.table.Roster(listed, now), c.table.MayStoreRoster(now)
	c.mu.Unlock()
	switch {
	case c.roster.equals(wanted):
		return listed
	case !mayStore:
		return c.roster.usable(listed)
	}
	err := c.saveRoster(wanted)
	if c.findsLateRoster(err) {
		err = c.saveRoster(wanted)
	}
	if err != nil {
		c.roster.keepCertain(wanted)
		c.noteStoreFailure("save roster", err)
		return c.roster.usable(listed)
	}
	return listed
}

// saveRoster writes the roster. A write that is carried out after its call has failed can't
// replace a newer roster, as it requires the revision that was known then.
func (c *Conductor) saveRoster(infos []dispatcher.RunnerInfo) error {
	value, err := json.Marshal(infos)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
	defer cancel()
	c.mu.Lock()
	c.table.RosterUnderWay(infos)
	c.mu.Unlock()
	revision, err := c.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}, {Key: c.keys.roster, Revision: c.roster.revision}},
		Writes:     []transactor.Write{{Key: c.keys.roster, Value: value}},
	})
	if err != nil {
		return err
	}
	c.roster.set(infos, revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RosterStored(infos)
	return nil
}

// findsLateRoster reports whether a write was refused because one that had failed was
// carried out, and notes the revision of that one.
func (c *Conductor) findsLateRoster(err error) bool {
	var conflict *transactor.ConflictError
	if !errors.As(err, &conflict) || conflict.Find(c.opts.OwnerKey).Revision != c.opts.Fence {
		return false
	}
	c.roster.revision = conflict.Find(c.keys.roster).Revision
	return true
}

func (r *roster) set(infos []dispatcher.RunnerInfo, revision int64) {
	r.revision, r.isUncertain = revision, false
	r.saved = make(map[string]dispatcher.RunnerInfo, len(infos))
	for _, info := range infos {
		r.saved[info.ID] = info
	}
}

// usable returns those of a list of runners that may be used while it is not stored.
func (r *roster) usable(listed []dispatcher.RunnerInfo) []dispatcher.RunnerInfo {
	return slices.DeleteFunc(slices.Clone(listed), func(info dispatcher.RunnerInfo) bool {
		_, ok := r.saved[info.ID]
		return !ok && !info.Draining
	})
}

// keepCertain drops the runners that the stored roster does not name if the failed write of
// another one is carried out late.
func (r *roster) keepCertain(failed []dispatcher.RunnerInfo) {
	r.isUncertain = true
	maps.DeleteFunc(r.saved, func(id string, _ dispatcher.RunnerInfo) bool {
		return !slices.ContainsFunc(failed, func(info dispatcher.RunnerInfo) bool { return info.ID == id })
	})
}

// equals reports whether the stored roster has the same runners, with the same
// addresses, incarnations and draining states.
func (r *roster) equals(wanted []dispatcher.RunnerInfo) bool {
	if r.isUncertain || len(wanted) != len(r.saved) {
		return false
	}
	for _, info := range wanted {
		saved, ok := r.saved[info.ID]
		if !ok || saved.Address != info.Address || saved.Draining != info.Draining || saved.Lifetime != info.Lifetime {
			return false
		}
	}
	return true
}
