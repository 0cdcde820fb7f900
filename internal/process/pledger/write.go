package pledger

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// writeList stores a list of guarantors. While the outcome of the write is
// unknown, both the former and the new list need enough pledges.
func (p *Pledger) writeList(ctx context.Context, guarantors []Guarantor) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	p.mu.Lock()
	own := p.current
	former := own.lists
	own.lists = append(append([][]Guarantor{}, former...), guarantors)
	expected := storer.Revision(own.revision)
	p.mu.Unlock()

	key := Key(p.settings.Group.Identity().Daemon, own.incarnation)
	list := List{Guarantors: guarantors, Attempt: rand.Text()}
	revision, err := p.swapList(ctx, key, expected, list)
	var unavailable *errs.StoreUnavailableError
	p.mu.Lock()
	switch {
	case err == nil:
		own.lists = [][]Guarantor{guarantors}
		own.revision = int64(revision)
	case errors.As(err, &unavailable):
		own.lists = former
	case errors.Is(err, errs.ErrConflict):
		// A successor has closed the list, or a delayed attempt has written it.
		own.lists = nil
	}
	p.mu.Unlock()
	if err != nil {
		p.reloadList(ctx, own, key)
		return
	}
	p.settings.Recorder.Record(time.Now(), EventListWritten, recorder.Fields{
		"incarnation": strconv.FormatInt(own.incarnation, 10),
		"guarantors":  strconv.Itoa(len(guarantors)),
	})
}

// reloadList adopts the stored list if it is newer than the known one. Otherwise a
// write whose outcome is unknown may still take effect: both the former and the new
// list stay until the next write, which fails with a conflict if the delayed write
// comes first.
func (p *Pledger) reloadList(ctx context.Context, own *pledgeSet, key string) {
	entry, err := p.settings.Store.Get(ctx, key)
	if err != nil {
		return
	}
	list, err := parseList(entry)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Closed {
		own.isClosed = true
		return
	}
	if int64(entry.Revision) > own.revision {
		own.lists = [][]Guarantor{list.Guarantors}
		own.revision = int64(entry.Revision)
	}
}

// swapList writes a list by compare-and-swap.
func (p *Pledger) swapList(ctx context.Context, key string, expected storer.Revision, list List) (storer.Revision, error) {
	value, err := json.Marshal(list)
	if err != nil {
		return 0, err
	}
	return p.settings.Store.CompareAndSwap(ctx, storer.Swap{Key: key, Expected: expected, Value: value})
}
