package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A roster is the durable list of the runners on which tasks may be running. A new
// owner can't rely on the registry alone: it drops runners whose registration has
// expired although their processes still run tasks.
type roster struct {
	saved map[string]dispatcher.RunnerInfo // by ID
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
	var infos []dispatcher.RunnerInfo
	if err := json.Unmarshal(item.Value, &infos); err != nil {
		c.noteUnreadable(c.keys.roster, err)
		c.table.ExpectOtherRunners()
		return nil
	}
	c.roster.set(infos)
	c.table.ExpectRunners(infos)
	return nil
}

// updateRoster stores the roster of a table that gets a new list of runners. It returns
// those of the list that may be used: the ones on the stored roster, and draining ones.
func (c *Conductor) updateRoster(listed []dispatcher.RunnerInfo) []dispatcher.RunnerInfo {
	c.mu.Lock()
	wanted := c.table.Roster(listed, time.Now())
	c.mu.Unlock()
	if c.roster.equals(wanted) {
		return listed
	}
	if err := c.saveRoster(wanted); err != nil {
		c.noteStoreFailure("save roster", err)
		return slices.DeleteFunc(slices.Clone(listed), func(info dispatcher.RunnerInfo) bool {
			_, ok := c.roster.saved[info.ID]
			return !ok && !info.Draining
		})
	}
	return listed
}

func (c *Conductor) saveRoster(infos []dispatcher.RunnerInfo) error {
	value, err := json.Marshal(infos)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
	defer cancel()
	_, err = c.opts.Store.Commit(ctx, transactor.Transaction{
		Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}},
		Writes:     []transactor.Write{{Key: c.keys.roster, Value: value}},
	})
	if err == nil {
		c.roster.set(infos)
	}
	return err
}

func (r *roster) set(infos []dispatcher.RunnerInfo) {
	r.saved = make(map[string]dispatcher.RunnerInfo, len(infos))
	for _, info := range infos {
		r.saved[info.ID] = info
	}
}

// equals reports whether the stored roster has the same runners, with the same
// addresses and the same draining state.
func (r *roster) equals(wanted []dispatcher.RunnerInfo) bool {
	if len(wanted) != len(r.saved) {
		return false
	}
	for _, info := range wanted {
		saved, ok := r.saved[info.ID]
		if !ok || saved.Address != info.Address || saved.Draining != info.Draining {
			return false
		}
	}
	return true
}
