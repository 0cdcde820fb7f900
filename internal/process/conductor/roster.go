package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// A roster is the durable list of the runners on which something may run. The
// registry alone does not tell a new owner: it drops runners that the store has
// not heard for a while, though they run on.
type roster struct {
	saved map[string]dispatcher.RunnerInfo // by id
}

// loadRoster reads the roster of the former owner.
func (c *Conductor) loadRoster(ctx context.Context) (infos []dispatcher.RunnerInfo, err error) {
	item, err := c.opts.Store.Get(ctx, c.keys.roster)
	if errors.Is(err, transactor.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(item.Value, &infos); err != nil {
		c.recordFault(c.keys.roster, err)
		return nil, nil // the registry has to do
	}
	c.roster.note(infos)
	return infos, nil
}

// record makes the roster durable with the runners of a new list. It returns
// those of the list that are on it.
func (c *Conductor) record(infos []dispatcher.RunnerInfo) []dispatcher.RunnerInfo {
	c.mu.Lock()
	known := c.table.KnownRunners()
	c.mu.Unlock()
	wanted := make(map[string]dispatcher.RunnerInfo, len(known)+len(infos))
	for _, info := range slices.Concat(known, infos) {
		wanted[info.ID] = info
	}
	if c.roster.equals(wanted) {
		return infos
	}
	if err := c.saveRoster(wanted); err != nil {
		c.storeFailed("save roster", err)
		return slices.DeleteFunc(slices.Clone(infos), func(info dispatcher.RunnerInfo) bool {
			_, ok := c.roster.saved[info.ID]
			return !ok
		})
	}
	return infos
}

func (c *Conductor) saveRoster(wanted map[string]dispatcher.RunnerInfo) error {
	infos := make([]dispatcher.RunnerInfo, 0, len(wanted))
	for _, info := range wanted {
		infos = append(infos, info)
	}
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
		c.roster.note(infos)
	}
	return err
}

func (r *roster) note(infos []dispatcher.RunnerInfo) {
	r.saved = make(map[string]dispatcher.RunnerInfo, len(infos))
	for _, info := range infos {
		r.saved[info.ID] = info
	}
}

// equals reports whether the roster has the same runners, with the same
// addresses and the same will to leave.
func (r *roster) equals(wanted map[string]dispatcher.RunnerInfo) bool {
	if len(wanted) != len(r.saved) {
		return false
	}
	for id, info := range wanted {
		saved, ok := r.saved[id]
		if !ok || saved.Address != info.Address || saved.Draining != info.Draining {
			return false
		}
	}
	return true
}
