package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/transactor"
	"github.com/kumquatstack/kumquatstack/internal/pauser"
	"github.com/kumquatstack/kumquatstack/internal/version/dispatcher"
)

// memoryInterval is the time between writes of the table's memory, which is what the
// table has learnt of interference between tasks.
const memoryInterval = 4 * time.Second

// loadMemory restores the table's memory as a former owner has stored it. Without it,
// this owner has to learn anew which tasks interfere with each other, and would
// overwrite what is stored with nothing. So it returns an error if the store does not
// answer; a memory that can't be decoded is given up.
func (c *Conductor) loadMemory(ctx context.Context) error {
	item, err := c.opts.Store.Get(ctx, c.keys.memory)
	if errors.Is(err, transactor.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var memory dispatcher.Memory
	if err := json.Unmarshal(item.Value, &memory); err != nil {
		c.noteUnreadable(c.keys.memory, err)
		return nil
	}
	c.table.RestoreMemory(memory)
	return nil
}

// saveMemory stores the table's memory at regular intervals.
func (c *Conductor) saveMemory() {
	for pauser.Sleep(c.ctx, memoryInterval) {
		c.mu.Lock()
		value, err := json.Marshal(c.table.Memory())
		c.mu.Unlock()
		if err != nil {
			c.noteUnreadable(c.keys.memory, err)
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
		_, err = c.opts.Store.Commit(ctx, transactor.Transaction{
			Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}},
			Writes:     []transactor.Write{{Key: c.keys.memory, Value: value}},
		})
		cancel()
		if err != nil {
			c.noteStoreFailure("save memory", err)
		}
	}
}
