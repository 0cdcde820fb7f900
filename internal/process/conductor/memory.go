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

// rememberEvery is the pause between writes of what was learnt.
const rememberEvery = 4 * time.Second

// recall reads what a former owner has learnt; without it, all is learnt anew.
func (c *Conductor) recall(ctx context.Context) {
	item, err := c.opts.Store.Get(ctx, c.keys.memory)
	if errors.Is(err, transactor.ErrNotFound) {
		return
	}
	var memory dispatcher.Memory
	if err == nil {
		err = json.Unmarshal(item.Value, &memory)
	}
	if err != nil {
		c.recordFault(c.keys.memory, err)
		return
	}
	c.table.RestoreMemory(memory)
}

// remember writes what was learnt from time to time.
func (c *Conductor) remember() {
	for pauser.Sleep(c.ctx, rememberEvery) {
		c.mu.Lock()
		value, err := json.Marshal(c.table.Memory())
		c.mu.Unlock()
		if err != nil {
			c.recordFault(c.keys.memory, err)
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, saveTimeout)
		_, err = c.opts.Store.Commit(ctx, transactor.Transaction{
			Conditions: []transactor.Condition{{Key: c.opts.OwnerKey, Revision: c.opts.Fence}},
			Writes:     []transactor.Write{{Key: c.keys.memory, Value: value}},
		})
		cancel()
		if err != nil {
			c.storeFailed("save what was learnt", err)
		}
	}
}
